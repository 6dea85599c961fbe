"""Random plans of faults and fleet changes; the same seed always gives the same plan."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Final

from soak.plan import Fault, Kind, PartitionFault, Plan, Step

CALM_FIRST_S: Final = 1.0
CALM_LAST_S: Final = 6.0
"""The last seconds of a run have no faults, so that recovery can be checked."""
MEAN_GAP_S: Final = 0.8
"""Mean time between two steps; it is shorter than most faults, so that faults overlap."""
STEPS_IN_SERIES: Final = 3
"""Number of steps when a kind comes as a series in quick succession."""

WEIGHTS: Final[dict[Kind, float]] = {
    Kind.KILL: 1.0,
    Kind.STOP: 1.0,
    Kind.PAUSE: 1.0,
    Kind.RELOAD: 0.5,
    Kind.STORE_LINK: 1.5,
    Kind.UPSTREAM_LINK: 1.5,
    Kind.STORE_DOWN: 0.5,
    Kind.STORE_SILENT: 0.4,
    Kind.STORE_SLOW: 0.4,
    Kind.STORE_FORGETS: 0.4,
    Kind.STORE_LOSES: 0.4,
    Kind.LEAVE: 1.5,
    Kind.REMOVE: 0.7,
    Kind.CRASH: 0.7,
    Kind.CONFIGURE: 1.5,
}
"""Relative frequency of each kind; faults that rarely occur alone are frequent as well."""
BREAK_OFF_GAP_S: Final = 4.0
"""Mean time between two steps of that kind. They are sampled with a generator of their own, so that
the plans of older recorded seeds stay the same."""


LEAVING_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.LEAVE: 4.0,
    Kind.REMOVE: 2.0,
    Kind.CONFIGURE: 2.0,
    Kind.SILENCE: 1.0,
    Kind.SILENCE_ONE: 0.5,
    Kind.PAUSE: 0.5,
    Kind.STORE_FORGETS: 0.5,
    Kind.STORE_LINK: 0.5,
}
LEAVING_GAP_S: Final = 1.5
"""Mean time between two steps of that plan. Disturbing steps are about six seconds apart, so most
notices come in an undisturbed period or directly after a disturbance."""


ZONES_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.CORDON: 4.0,
    Kind.START_AGAIN: 4.0,
    Kind.LEAVE: 1.5,
    Kind.REMOVE: 0.5,
    Kind.CRASH: 0.5,
    Kind.SILENCE: 0.5,
    Kind.KILL: 0.5,
    Kind.STORE_FORGETS: 0.5,
    Kind.STORE_LINK: 0.5,
    Kind.CONFIGURE: 1.0,
}
CRASHING_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.KILL: 1.5,
    Kind.PAUSE: 1.0,
    Kind.LEAVE: 1.0,
    Kind.REMOVE: 0.5,
    Kind.CRASH: 1.0,
    Kind.BREAK_OFF: 1.0,
    Kind.STORE_LINK: 0.5,
    Kind.STORE_DOWN: 0.5,
    Kind.UPSTREAM_LINK: 0.5,
}
LIMITED_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.LIMIT: 5.0,
    Kind.KILL: 1.0,
    Kind.STOP: 0.5,
    Kind.PAUSE: 1.0,
    Kind.LEAVE: 1.0,
    Kind.CRASH: 0.5,
    Kind.BREAK_OFF: 0.5,
    Kind.STORE_LINK: 0.5,
    Kind.STORE_DOWN: 0.5,
}
CONTENDED_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.BURST: 5.0,
    Kind.KILL: 1.5,
    Kind.LEAVE: 2.5,
    Kind.STOP: 0.5,
    Kind.PAUSE: 0.5,
    Kind.CRASH: 0.5,
    Kind.REMOVE: 0.5,
    Kind.CONFIGURE: 0.5,
    Kind.STORE_DOWN: 0.3,
}
FOLLOWING_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.REJECT_FOLLOWERS: 4.0,
    Kind.CONFIGURE: 2.0,
    Kind.LEAVE: 1.0,
    Kind.REMOVE: 0.5,
    Kind.KILL: 0.5,
    Kind.SILENCE_ONE: 0.5,
}
UNSEEN_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.LEAVE_UNSEEN: 3.0,
    Kind.LEAVE: 1.0,
    Kind.CRASH: 0.5,
    Kind.KILL: 0.5,
    Kind.PAUSE: 0.5,
    Kind.STORE_LINK: 0.5,
    Kind.CONFIGURE: 1.0,
}
SIGNALLING_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.LEAVE_SIGNALLED: 4.0,
    Kind.REJECT: 3.0,
    Kind.REJECT_ALL: 1.0,
    Kind.LEAVE: 0.5,
    Kind.CRASH: 0.5,
    Kind.KILL: 1.0,
    Kind.PAUSE: 0.7,
    Kind.STORE_SILENT: 1.0,
    Kind.STORE_LINK: 0.7,
    Kind.UPSTREAM_LINK: 0.3,
}
RETURNING_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.STORE_RETURNS: 2.0,
    Kind.LEAVE: 2.0,
    Kind.REMOVE: 2.5,
    Kind.CONFIGURE: 2.0,
    Kind.KILL: 0.5,
    Kind.PAUSE: 0.5,
    Kind.STORE_LINK: 0.5,
    Kind.STORE_SLOW: 0.5,
}
PARTITIONED_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.PARTITION: 3.0,
    Kind.KILL: 1.0,
    Kind.STOP: 0.5,
    Kind.PAUSE: 0.5,
    Kind.LEAVE: 1.0,
    Kind.CRASH: 1.0,
    Kind.REMOVE: 0.5,
    Kind.CONFIGURE: 1.0,
}
REJECTING_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.TURN_AWAY: 4.0,
    Kind.KILL: 2.0,
    Kind.PAUSE: 0.5,
    Kind.STOP: 0.5,
    Kind.CRASH: 0.3,
}
DISTURBED_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.SIGNAL_START: 4.0,
    Kind.HOLD_ADDRESS: 1.5,
    Kind.RESTART_BESIDE: 2.0,
    Kind.SPOIL_START: 1.5,
    Kind.SPOIL_SETTINGS: 1.0,
    Kind.LATE_STORE: 1.0,
    Kind.ODD_ENTRY: 4.0,
    Kind.LEAVE: 2.0,
    Kind.REMOVE: 0.5,
    Kind.CRASH: 0.5,
    Kind.STOP: 0.5,
    Kind.KILL: 0.5,
    Kind.CONFIGURE: 1.0,
}
TRUNCATED_WEIGHTS: Final[dict[Kind, float]] = {
    Kind.TRUNCATE: 5.0,
    Kind.KILL: 0.7,
    Kind.STOP: 0.5,
    Kind.PAUSE: 0.5,
    Kind.LEAVE: 1.0,
    Kind.CRASH: 0.5,
    Kind.UPSTREAM_LINK: 0.5,
    Kind.STORE_LINK: 0.5,
    Kind.STORE_SILENT: 0.3,
}
PLAN_WEIGHTS: Final = {
    Plan.TRUNCATED: TRUNCATED_WEIGHTS,
    Plan.DISTURBED: DISTURBED_WEIGHTS,
    Plan.REJECTING: REJECTING_WEIGHTS,
    Plan.PARTITIONED: PARTITIONED_WEIGHTS,
    Plan.RETURNING: RETURNING_WEIGHTS,
    Plan.UNSEEN: UNSEEN_WEIGHTS,
    Plan.CONTENDED: CONTENDED_WEIGHTS,
    Plan.LIMITED: LIMITED_WEIGHTS,
    Plan.SIGNALLING: SIGNALLING_WEIGHTS,
    Plan.LEAVING: LEAVING_WEIGHTS,
    Plan.ZONES: ZONES_WEIGHTS,
    Plan.CRASHING: CRASHING_WEIGHTS,
    Plan.FOLLOWING: FOLLOWING_WEIGHTS,
}
LIMIT_FOR_S: Final = (8.0, 14.0)
"""Duration of a rate limit: longer than the bound within which all instances must know of it."""
CORDON_FOR_S: Final = (4.0, 9.0)
"""Duration of a cordon: longer than the bound within which all instances must know of it."""

REJECT_FOLLOWERS_FOR_S: Final = (2.0, 6.0)
"""Duration of the rejection: longer than the bound within which a change must be in force."""
PARTITION_FOR_S: Final = (5.0, 10.0)
"""Duration of a partition: longer than the bound within which its callers must be served."""
TURN_AWAY_FOR_S: Final = (0.5, 2.0)
"""Duration of a spell in which upstreams turn requests away: shorter than the budget's window."""
ODD_ENTRY_FOR_S: Final = (6.0, 11.0)
"""Lifetime of an odd entry: longer than the bound within which an upstream that joins is used."""
UNSEEN_FOR_S: Final = (6.0, 9.0)
"""Duration of the store's silence while engines leave: longer than the bound within which all
instances must know of it."""

TRUNCATE_FOR_S: Final = (1.0, 4.0)
"""Duration in which upstreams end responses early: several responses of each kind."""
FIRST_TRUNCATE_FOR_S: Final = 4.0
"""The first duration, which each run has: long enough for a few early closes."""

DURATIONS_S: Final = {
    Kind.TRUNCATE: TRUNCATE_FOR_S,
    Kind.CORDON: CORDON_FOR_S,
    Kind.LIMIT: LIMIT_FOR_S,
    Kind.LEAVE_UNSEEN: UNSEEN_FOR_S,
    Kind.PARTITION: PARTITION_FOR_S,
    Kind.TURN_AWAY: TURN_AWAY_FOR_S,
    Kind.REJECT_FOLLOWERS: REJECT_FOLLOWERS_FOR_S,
    Kind.ODD_ENTRY: ODD_ENTRY_FOR_S,
}


def draw_steps(
    seed: int, *, instances: int, upstreams: int, seconds: float, plan: Plan = Plan.MIXED
) -> tuple[Step, ...]:
    """Return the steps of a run, sorted by time."""
    if plan is not Plan.MIXED:
        return tuple(_draw_sparse(seed, plan, instances, upstreams, seconds))
    source = random.Random(seed)
    steps: list[Step] = []
    at = CALM_FIRST_S
    last = seconds - CALM_LAST_S
    while True:
        at += source.expovariate(1 / MEAN_GAP_S)
        if at >= last:
            steps += _draw_break_offs(seed, last, upstreams)
            return tuple(sorted(steps, key=lambda step: step.at_s))
        kind = source.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        count = STEPS_IN_SERIES if source.random() < 0.15 else 1
        steps += [
            _draw_step(source, kind, at + 0.1 * index, last, instances, upstreams)
            for index in range(count)
        ]


def _draw_sparse(
    seed: int, plan: Plan, instances: int, upstreams: int, seconds: float
) -> Iterator[Step]:
    """Yield the steps of a plan with undisturbed periods."""
    source = random.Random(f"{seed} {plan.value}")
    weights = PLAN_WEIGHTS[plan]
    last = seconds - CALM_LAST_S
    if plan is Plan.TRUNCATED:
        # Each run shows something of them, at the first and the last service.
        for target in (0, upstreams - 1):
            yield Step(CALM_FIRST_S, Kind.TRUNCATE, target, FIRST_TRUNCATE_FOR_S)
    at = CALM_FIRST_S + source.expovariate(1 / LEAVING_GAP_S)
    while at < last:
        kind = source.choices(list(weights), list(weights.values()))[0]
        yield _draw_step(source, kind, at, last, instances, upstreams)
        at += source.expovariate(1 / LEAVING_GAP_S)


def _draw_break_offs(seed: int, last: float, upstreams: int) -> Iterator[Step]:
    """Yield the steps at which upstreams interrupt requests."""
    source = random.Random(f"{seed} break off")
    at = CALM_FIRST_S + source.expovariate(1 / BREAK_OFF_GAP_S)
    while at < last:
        for_s = min(source.uniform(0.2, 3.0), last - at)
        yield Step(at, Kind.BREAK_OFF, source.randrange(upstreams), for_s)
        at += source.expovariate(1 / BREAK_OFF_GAP_S)


def _draw_step(
    source: random.Random, kind: Kind, at: float, last: float, instances: int, upstreams: int
) -> Step:
    """Return a step with a random target, duration and fault."""
    pick: Callable[[int], int] = source.randrange
    has_upstream_target = kind in (
        Kind.UPSTREAM_LINK,
        Kind.LEAVE,
        Kind.REMOVE,
        Kind.CRASH,
        Kind.START_AGAIN,
        Kind.BREAK_OFF,
        Kind.LIMIT,
        Kind.LEAVE_SIGNALLED,
        Kind.REJECT,
        Kind.REJECT_ALL,
        Kind.TURN_AWAY,
        Kind.TRUNCATE,
    )
    target = pick(upstreams if has_upstream_target else instances)
    duration_s = DURATIONS_S.get(kind, (0.2, 3.0))
    for_s = min(source.uniform(*duration_s), max(0.1, last - at))
    if kind is Kind.PARTITION:
        targets = source.sample(range(instances), source.randint(1, instances - 1))
        fault = source.choice(list(PartitionFault))
        return Step(at, kind, target, for_s, targets=tuple(targets), partition_fault=fault)
    return Step(at, kind, target, for_s, source.choice(list(Fault)))
