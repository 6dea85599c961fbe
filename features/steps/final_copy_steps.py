"""Test streams whose run a final copy stops, with each answer to it."""

from __future__ import annotations

from typing import Any

from behave import given, when

from driftstall.gateway import replica_finder
from features.steps.gateway_stream_steps import waiting_stream
from features.worlds.gateway_world import world_of
from stand_ins.routed import RoutedUpstream, Script

ANSWER_TIMEOUT_S = 0.3
FALSE_END = "chunks, the last one false"
Answer = tuple[int, dict[str, Any]]


@given('stream "{request_id}" of {framing} waits after event {number:d}')
def stream_waits(context: Any, request_id: str, framing: str, number: int) -> None:
    """Start a stream without a backup, and shorten the wait for the final copy."""
    waiting_stream(context, request_id, number, unframed=framing == "no framing")
    context.script.is_end_false = framing == FALSE_END
    for name in ("FINAL_COPY_TIMEOUT_S", "MOVED_TIMEOUT_S"):
        context.add_cleanup(setattr, replica_finder, name, getattr(replica_finder, name))
        setattr(replica_finder, name, ANSWER_TIMEOUT_S)
    context.add_cleanup(context.script.late.set)
    context.holds_copies = True


@given("no engine holds a copy at the end")
def no_copies_held(context: Any) -> None:
    """Let all engines drop their copies when the final one is requested."""
    context.holds_copies = False


def _answer(engine: RoutedUpstream, script: Script, order: dict[str, Any], answer: str) -> Answer:
    """Return the answer to a final copy; the engine holds what the answer says."""
    if answer == "200 with the copy":
        return engine.copy_run(order)
    if answer == "200 without the copy":
        return 200, {}
    if answer == "503 with a kept run":
        engine.copies["kept"] = engine.running[order["id"]]
        return 503, {"handle": "kept"}
    if answer == "with nothing":
        raise ConnectionError("the answer is lost")
    if answer == "too late":
        script.late.wait()
        return 200, {"handle": "late"}
    return int(answer), {}


def _leave(context: Any, answer: str, *, stops: bool) -> None:
    """Give notice, and answer the final copy."""
    engine, script, engines = context.engine, context.script, world_of(context).engines
    holds_copies = context.holds_copies

    def drop_copies() -> None:
        if not holds_copies:
            for each in engines:
                each.copies.clear()

    def final(order: dict[str, Any]) -> Answer:
        if stops:
            engine.stopped.add("s1")
        drop_copies()
        script.gate.set()
        if not stops:
            script.ended.wait()
        try:
            return _answer(engine, script, order, answer)
        finally:
            drop_copies()

    engine.move_answers = [engine.copy_run, final]
    world_of(context).give_notice(engine)
    context.answer = context.asked.get(timeout=5.0)


@when("its engine leaves, stops the run at the final copy, and answers {answer}")
def stops_run(context: Any, answer: str) -> None:
    """Let the engine stop the run, which closes its response."""
    _leave(context, answer, stops=True)


@when("its engine leaves, ends the run whole before the final copy, and answers {answer}")
def ends_first(context: Any, answer: str) -> None:
    """Let the run end by itself while the final copy is requested."""
    _leave(context, answer, stops=False)
