"""Test what callers receive when a defect of the gateway ends their request."""

from __future__ import annotations

from typing import Any

from behave import given, then

from features.worlds.gateway_world import world_of


def _fail(*_: Any) -> Any:
    """Raise an error that no code expects."""
    raise RuntimeError("defect")


@given("an unexpected error as an upstream's response is decoded")
def fail_to_decode(context: Any) -> None:
    """Let the decoder of response heads fail."""
    world_of(context).state.dialect.read_response = _fail  # type: ignore[assignment,method-assign]


@given("an unexpected error as the first event of a stream is recorded")
def fail_to_record(context: Any) -> None:
    """Let the record of generated tokens fail, which follows the head of the response."""
    world_of(context).state.lengths.record_progress = _fail  # type: ignore[assignment,method-assign]


@then("the response is whole, and its connection ends")
def whole_and_closed(context: Any) -> None:
    """Check the end of the response; the caller has read until the end of the connection."""
    assert context.answer.whole, context.answer
    assert context.answer.headers["connection"] == "close", context.answer


@then("its response ends after the head, and is not whole")
def broken_off(context: Any) -> None:
    """Check that nothing follows the head."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, b"", False), answer
