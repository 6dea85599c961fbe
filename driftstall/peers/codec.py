"""Turn peer messages into authenticated bytes and back, by Cap'n Proto.

A frame is a length of four bytes, a protocol version, a keyed hash and the encoded
envelope. The recipient checks the version, the hash, that it is meant, and that
the sequence has grown.

The codec's own exceptions walk the native stack, which crashes the process inside
a greenlet. So nothing here may provoke one: a union member is initialised before
it is filled, and a frame reaches the decoder only with the right version and hash.
Its packed form crashes likewise, for messages of some ten kilobytes written in a
greenlet; so envelopes are written plain and compressed by zlib.
"""

from __future__ import annotations

import dataclasses
import hmac
import math
import struct
import types
import typing
import zlib
from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Any, Final

import capnp

from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import MessageError
from driftstall.peers.envelope import Envelope
from driftstall.util.signing import MAC_BYTES, mac

MAX_FRAME_BYTES: Final = 4_000_000
MAX_PLAIN_BYTES: Final = 16_000_000
"""Size of an envelope before compression; texts shrink to a tenth and less."""
COMPRESSION: Final = 1
"""The quickest level: messages are small and many."""
HEADER: Final = struct.Struct(">I")
TRAVERSAL_WORDS: Final = 2_000_000
PROTOCOL: Final = b"DRIFT\x08"
"""The protocol and its version."""
FAR_FUTURE: Final = 1e300
"""Stands for an infinite time on the wire."""

_schema: Any = capnp.load(str(Path(__file__).with_name("schema.capnp")))


def _camel(name: str) -> str:
    """Turn a field's name into its name in the schema."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _union_field(kind: type) -> str:
    """Return the envelope's field for a message type."""
    return kind.__name__[0].lower() + kind.__name__[1:]


Kinds = Mapping[str, type]
"""Message types by their field in the schema's envelope."""


def kinds_of(messages: Any) -> Kinds:
    """Return the kinds of a union of message types."""
    return {_union_field(kind): kind for kind in typing.get_args(messages)}


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """Describe how one field travels."""

    name: str
    wire: str
    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]
    optional: bool


@cache
def _fields(kind: Any) -> tuple[_Field, ...]:
    """Return how a data class travels."""
    hints = typing.get_type_hints(kind)
    return tuple(_field(one.name, hints[one.name]) for one in dataclasses.fields(kind))


def _field(name: str, hint: Any) -> _Field:
    """Return how one field travels."""
    wire = _camel(name)
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        inner = next(arg for arg in typing.get_args(hint) if arg is not types.NoneType)
        if not dataclasses.is_dataclass(inner):
            return _Field(name, wire, _same, _same, True)
        return _Field(name, wire, _to_wire, lambda value: _from_wire(inner, value), True)
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        if dataclasses.is_dataclass(item):
            return _Field(
                name,
                wire,
                lambda values: [_to_wire(value) for value in values],
                lambda values: tuple([_from_wire(item, value) for value in values]),
                False,
            )
        return _Field(name, wire, list, tuple, False)
    if dataclasses.is_dataclass(hint):
        return _Field(name, wire, _to_wire, lambda value: _from_wire(hint, value), False)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return _Field(name, wire, str, hint, False)
    if hint is StoreVersion:
        return _Field(name, wire, int, StoreVersion, False)
    if hint is float:
        return _Field(name, wire, _finite, _infinite, False)
    return _Field(name, wire, _same, _same, False)


def _same(value: Any) -> Any:
    """Return a plain value as it is."""
    return value


def _finite(value: float) -> float:
    """Replace infinity for the wire."""
    return FAR_FUTURE if math.isinf(value) else value


def _infinite(value: float) -> float:
    """Put infinity back."""
    return math.inf if value >= FAR_FUTURE else value


def _to_wire(value: Any) -> dict[str, Any]:
    """Turn a data class into the schema's fields."""
    out: dict[str, Any] = {}
    kind: Any = type(value)
    for one in _fields(kind):
        part = getattr(value, one.name)
        if one.optional:
            out["has" + one.wire[0].upper() + one.wire[1:]] = part is not None
            if part is None:
                continue
        out[one.wire] = one.encode(part)
    return out


def _from_wire(kind: Any, reader: Any) -> Any:
    """Turn the schema's fields into a data class."""
    values: list[Any] = []
    for one in _fields(kind):
        if one.optional and not getattr(reader, "has" + one.wire[0].upper() + one.wire[1:]):
            values.append(None)
        else:
            values.append(one.decode(getattr(reader, one.wire)))
    return kind(*values)


def encode(envelope: Envelope, key: bytes) -> bytes:
    """Return the frame of an envelope."""
    message = envelope.message
    builder = _schema.Envelope.new_message()
    builder.sender = envelope.sender
    builder.recipient = envelope.recipient
    builder.sequence = envelope.sequence
    builder.init(_union_field(type(message))).from_dict(_to_wire(message))
    body = PROTOCOL + zlib.compress(builder.to_bytes(), COMPRESSION)
    return HEADER.pack(len(body) + MAC_BYTES) + mac(key, body) + body


def decode(frame: bytes, key: bytes, kinds: Kinds) -> Envelope:
    """Return the envelope of a frame without its length, or raise MessageError.

    A message of none of the kinds is malformed.
    """
    tag, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(tag, mac(key, body)):
        raise MessageError("the message is not authentic")
    if not body.startswith(PROTOCOL):
        raise MessageError("the message is of another protocol version")
    try:
        plain = zlib.decompressobj().decompress(body[len(PROTOCOL) :], MAX_PLAIN_BYTES)
        with _schema.Envelope.from_bytes(plain, traversal_limit_in_words=TRAVERSAL_WORDS) as reader:
            name = str(reader.which())
            message = _from_wire(kinds[name], getattr(reader, name))
            return Envelope(reader.sender, reader.recipient, reader.sequence, message)
    except (capnp.KjException, zlib.error, KeyError, ValueError) as fault:
        raise MessageError(f"the message is malformed: {type(fault).__name__}") from fault
