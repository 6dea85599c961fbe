"""Test what may be sent once more: first the rules alone, then the gateway's relays."""

from __future__ import annotations

import re
from typing import Any

import gevent
from behave import given, then
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from driftstall.decisions.sends import BACKUP_READY_AFTER_S, ReplicaKind, SendHistory, SendOutcome
from features.worlds.gateway_world import GatewayWorld, Received, script_upstreams, wait_for
from features.worlds.sends_world import UPSTREAMS, Behavior, Draw, SendsWorld
from stand_ins.routed import ReceivedRequest, Script, event_bytes

MAX_ORDERS = 400
"""Number of generated orders of sends; each takes about a tenth of a millisecond."""
MAX_RELAYED = 40
"""Number of generated requests for each sort; each takes some milliseconds."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = 5


@given("a request that may begin {most:d} runs")
def request_with(context: Any, most: int) -> None:
    """Set how often the request may run."""
    context.most = most


@then(
    "no drawn order of sends begins more, nor is called not run when it ran, from seed {number:d}"
)
def drawn_orders(context: Any, number: int) -> None:
    """Generate orders of sends; the same seed generates the same ones."""
    draws = st.builds(
        Draw,
        st.sampled_from(UPSTREAMS),
        st.sampled_from([None, *ReplicaKind]),
        st.sampled_from(["x", "y"]),
        st.one_of(st.none(), st.floats(0.0, 1.0)),
        st.sampled_from(list(Behavior)),
    )

    @seed(int(context.config.userdata.get("seed", number)))
    @settings(max_examples=MAX_ORDERS, deadline=None, database=None)
    @for_all(st.lists(draws, max_size=12))
    def check(order: list[Draw]) -> None:
        world = SendsWorld(SendHistory(context.most))
        for draw in order:
            world.send(draw)

    check()


@then("these sends may follow")
def each_rule(context: Any) -> None:
    """Compare the rules with the table, for a request that may run once."""
    for row in context.table:
        history = SendHistory(1)
        for before in re.finditer(r"(\w) ([a-z ]+?)(?: at copy (\w))?(?:, |$)", row["before"]):
            history.begin(before.group(1), before.group(3) or "")
            history.end(SendOutcome(before.group(2)))
        allowed = _may_follow(history, row["next"])
        assert allowed == (row["may follow"] == "yes"), (row["before"], row["next"], allowed)


def _may_follow(history: SendHistory, wanted: str) -> bool:
    """Return whether the history allows the send named in the table."""
    if wanted.startswith("anew"):
        return history.can_restart
    named = re.fullmatch(r"at copy (\w) at (\w)", wanted)
    if named is not None:
        return history.can_resume(ReplicaKind.NAMED, named.group(2), named.group(1), None)
    found = re.fullmatch(r"kept up at (\w)(?:, no event| after ([\d.]+) s)", wanted)
    assert found is not None, wanted
    making_s = float(found.group(2)) if found.group(2) else None
    return history.can_resume(ReplicaKind.BACKUP, found.group(1), "kept", making_s)


FAULTS: dict[str, list[Script]] = {
    "stream": [
        Script(),
        Script(reset=True),
        Script(reset_after_head=True),
        Script(not_run=True),
        Script(break_after=1),
        Script(break_after=3),
        Script(break_after=3, pause_after=2),
        Script(break_after=2, pause_after=1, half_event=True),
        Script(skip_event=2),
        Script(skip_event=3, pause_after=1),
        Script(repeat_event=2),
        Script(pause_after=1, coalesce_from=2, skip_event=4),
    ],
    "once": [
        Script(),
        Script(reset=True),
        Script(not_run=True),
        Script(status=500, body=b"failed"),
        Script(cut_after=2),
        Script(surplus_before=True),
        Script(surplus_after=True),
        Script(unframed=True),
        Script(only_another=True),
    ],
}
"""Faults of an upstream in one send; a pause lasts until the backup exists."""
FAULTS["safe"] = FAULTS["once"]


@then('no drawn faults make a "{sort}" run more often than it may, from seed {number:d}')
def drawn_faults(context: Any, sort: str, number: int) -> None:
    """Relay generated requests through the gateway to its stand-ins."""
    drawn = st.lists(st.sampled_from(range(len(FAULTS[sort]))), min_size=1, max_size=6)

    @seed(int(context.config.userdata.get("seed", number)))
    @settings(
        max_examples=int(context.config.userdata.get("examples", MAX_RELAYED)),
        deadline=None,
        database=None,
    )
    @for_all(drawn, st.lists(st.integers(0, 2), max_size=1))
    def check(faults: list[int], gone: list[int]) -> None:
        serve_drawn(sort, [FAULTS[sort][index].with_new_events() for index in faults], gone)

    check()


def serve_drawn(sort: str, scripts: list[Script], gone: list[int]) -> None:
    """Relay one request; the upstreams named as gone accept no connection."""
    world = GatewayWorld()
    try:
        upstreams = world.engines if sort == "stream" else world.plain
        for number in gone:
            upstreams[number % len(upstreams)].stop()
        gates = [gevent.spawn(open_gate, world, script) for script in scripts]
        script_upstreams(world, "r1", scripts)
        answer = world.ask(f"/{sort}/a", "r1")
        gevent.killall(gates)
        seen = [script for upstream in upstreams for script in upstream.seen]
        check_runs(sort, answer, seen)
    finally:
        world.close()


def open_gate(world: GatewayWorld, script: Script) -> None:
    """Let a paused stream continue once its backup can exist."""
    script.paused.wait()
    waiting = script.pause_after or 0
    wait_for("the events", lambda: any(run.events >= waiting for run in world.state.runs.all))
    world.pass_time(BACKUP_READY_AFTER_S)
    script.gate.set()


def check_runs(sort: str, answer: Received, seen: list[ReceivedRequest]) -> None:
    """Compare the caller's response with the runs that the upstreams saw."""
    runs = sum(not request.is_resumed for request in seen)
    evidence = (answer, [(each.headers.get("kv-from"), each.is_resumed) for each in seen])
    assert runs <= (2 if sort == "safe" else 1), evidence
    if answer.status in NOT_RUN_STATUSES:
        assert not seen, evidence
    if sort == "stream" and answer.status == 200:
        whole = b"".join(event_bytes(number) for number in range(1, EVENTS + 1))
        assert whole.startswith(answer.body), evidence
        assert not answer.whole or answer.body == whole, evidence
