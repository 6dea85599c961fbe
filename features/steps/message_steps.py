"""Test that messages hold integers of any size."""

from __future__ import annotations

import dataclasses
import types
import typing
from enum import StrEnum
from typing import Any

from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.model import CallerMetadata
from driftstall.peers.codec import HEADER, decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.gateway_messages import GatewayMessage
from driftstall.peers.messages import DaemonMessage
from driftstall.platform.headers import read_request
from features.worlds.samples import KEY

KINDS = {**message_types_of(DaemonMessage), **message_types_of(GatewayMessage)}
INTEGERS = st.sampled_from(
    [
        sign * (2**bits + more)
        for bits in (8, 16, 31, 32, 63, 64, 70)
        for sign in (1, -1)
        for more in (-1, 0)
    ]
)
EXAMPLES = 8
MAX_BITS = 64


def values_of(hint: Any) -> Any:
    """Return the strategy for the values of a type hint."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        return st.one_of([values_of(each) for each in arguments])
    if typing.get_origin(hint) is tuple:
        return st.tuples(values_of(arguments[0]))
    if hint is types.NoneType:
        return st.none()
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        hints = typing.get_type_hints(hint)
        fields = {field.name: values_of(hints[field.name]) for field in dataclasses.fields(hint)}
        return st.builds(hint, **fields)
    if hint in (int, StoreVersion):
        return INTEGERS.map(hint)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return st.sampled_from(hint)
    return st.just({str: "text", bool: True, float: 1.5, bytes: b"bytes"}[hint])


def assert_nearest(sent: Any, received: Any) -> None:
    """Check that a value arrived unchanged, but for integers that its field cannot hold."""
    assert type(sent) is type(received), (sent, received)
    if dataclasses.is_dataclass(sent):
        for field in dataclasses.fields(sent):
            assert_nearest(getattr(sent, field.name), getattr(received, field.name))
    elif isinstance(sent, tuple):
        assert len(sent) == len(received)
        for each, other in zip(sent, received, strict=True):
            assert_nearest(each, other)
    elif isinstance(sent, int) and sent != received:
        limits = {0} | {2**bits - 1 for bits in (8, 16, 32, MAX_BITS, 31, 63)}
        limits |= {-(2**31), -(2**63)}
        assert received in limits, (sent, received)
        assert (sent > received) == (received > 0), (sent, received)
    else:
        assert sent == received, (sent, received)


@when("messages of each type are drawn with integers that their fields cannot hold")
def draw_messages(context: Any) -> None:
    """Encode and decode messages of each type."""
    context.pairs = []
    for kind in KINDS.values():

        @settings(
            max_examples=EXAMPLES,
            deadline=None,
            database=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        )
        @given(values_of(kind))
        def send(message: Any) -> None:
            frame = encode(Envelope("a", "b", 1, message), KEY)
            received = decode(frame[HEADER.size :], KEY, KINDS).message
            context.pairs.append((message, received))

        send()


@then("each arrives with the nearest figures that its fields can hold")
def nearest(context: Any) -> None:
    """Compare what was sent with what arrived."""
    assert {type(sent) for sent, _ in context.pairs} == set(KINDS.values())
    for sent, received in context.pairs:
        assert_nearest(sent, received)


@when("a caller states {stated} as token counts, length hint and prompt part")
def state_figures(context: Any, stated: str) -> None:
    """Decode the headers of a request."""
    figure, _, times = stated.partition(" repeated ")
    value = figure.encode() * int(times.split()[0] if times else 1)
    context.metadata = read_request(
        (
            (b"X-Driftstall-Token-Count", value + b"," + value),
            (b"Length-Hint", value),
            (b"X-Driftstall-Prompt-Prefix", b"5c1e:" + value),
        )
    )


@then("{tokens:d} tokens are decoded")
def tokens_decoded(context: Any, tokens: int) -> None:
    """Check the decoded figures, and that the headers are forwarded as they came."""
    metadata: CallerMetadata = context.metadata
    decoded = {metadata.input_tokens, metadata.max_tokens, metadata.length_hint}
    assert decoded | {part.tokens for part in metadata.prompt} == {tokens}, metadata
    assert len(metadata.forwarded_headers) == 3
