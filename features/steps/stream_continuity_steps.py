"""Test streams whose resumed runs do not continue them."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then

from driftstall.gateway.ingress import LAST_CHUNK, encode_chunk
from features.steps.gateway_stream_steps import await_copy
from features.worlds.gateway_world import script_upstreams, world_of
from stand_ins.routed import Script, event_bytes

END: Final = "end"


def _piece(word: str) -> bytes:
    """Return an event, or the last chunk, as a chunked response sends it."""
    if word == END:
        return LAST_CHUNK
    event_id, _, data = word.partition("=")
    return encode_chunk(b"id: %d\ndata: piece %d\n\n" % (int(event_id), int(data or event_id)))


def _raw_script(words: str) -> Script:
    """Return the script of a stream that sends some events, and its end if they name it."""
    return Script(raw_body=tuple(map(_piece, words.split())))


@given('the engine of "{request_id}" will break off after 3 events, and the next one sends {words}')
def breaks_and_continues(context: Any, request_id: str, words: str) -> None:
    """Break a stream off once its backup is ready, and script the resumed run."""
    context.script = Script(break_after=3)
    later = [Script(not_run=True) for _ in world_of(context).engines]
    script_upstreams(world_of(context), request_id, [context.script, _raw_script(words), *later])
    await_copy(context, 3)


@then('{count:d} events of "{request_id}" came, in order, and the end')
def all_events(context: Any, count: int, request_id: str) -> None:
    """Check the events of a complete stream."""
    expected = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, True), answer
