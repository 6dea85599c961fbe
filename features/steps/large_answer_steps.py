"""Check gateway processes beside many large answers, framed and not."""

from __future__ import annotations

from typing import Any, Final

from behave import then, when

from features.steps.endless_stream_steps import STREAM_HEAD, DiscardedStream, read_stream
from features.steps.endless_upstream_steps import spawn_crowd
from features.steps.gateway_node_steps import wait_for_processes
from stand_ins.routed import Script

MIB: Final = 1 << 20
FRAMINGS: Final = {"a length": False, "no framing": True}


@when("{count:d} callers read answers of {size:d} MiB with {framing}")
def read_answers(context: Any, count: int, size: int, framing: str) -> None:
    """Send calls whose callers discard what they read, and wait until one has begun to run."""
    context.answer_bytes = size * MIB
    large = Script(body=b"x" * context.answer_bytes, unframed=FRAMINGS[framing])
    for upstream in context.upstreams:
        for number in range(count):
            upstream.scripts[f"endless-{number}"] = [large.with_new_events()]
    spawn_crowd(context, ["/once/a"] * count, read_stream)
    wait_for_processes("a call runs", lambda: any(each.seen for each in context.upstreams))


@then("each of them gets a whole answer, a refusal or an error")
def whole_or_refused(context: Any) -> None:
    """Check that no answer is cut, and that some are whole."""
    streams: list[DiscardedStream] = [call.get() for call in context.calls]
    assert all(stream.has_ended for stream in streams), streams
    whole = [stream for stream in streams if stream.first == STREAM_HEAD]
    assert whole
    assert all(stream.received_bytes > context.answer_bytes for stream in whole), whole
    if context.config.userdata.getbool("peaks"):
        print(f"PEAK {len(whole)} of {len(streams)} whole")
