"""Draw a plan of faults and changes from a seed; the same seed gives the same plan."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

CALM_FIRST_S: Final = 1.0
CALM_LAST_S: Final = 6.0
"""The last seconds are left without faults, so that recovery can be checked."""
MEAN_GAP_S: Final = 0.8
"""Mean time between two steps; faults last longer, so they overlap."""
SERIES: Final = 3
"""Signals and changes also come in series of so many."""


class Kind(StrEnum):
    """Name what a step does."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store link"
    UPSTREAM_LINK = "upstream link"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store forgets"
    STORE_LOSES = "store loses answers"
    LEAVE = "upstream leaves"
    REMOVE = "upstream removed"
    CRASH = "upstream crashes"
    CONFIGURE = "configuration changes"
    BREAK_OFF = "upstreams break requests off"
    """All of a service break off some of their requests, wherever these are."""
    SILENCE = "open connections to the store fall silent"
    """For good, and without a reset; new ones work."""
    SILENCE_ONE = "those of one instance fall silent"
    CORDON = "a zone is cordoned"
    START_AGAIN = "upstream starts again under its name"
    """It is cold then, and holds nothing of before."""
    STORE_RETURNS = "store comes back from an older copy"
    """Operators and upstreams write theirs again soon after."""
    LEAVE_UNSEEN = "engines leave one after another while the store is silent"
    """They themselves say so to who asks them; the store takes their notices after its return."""
    LEAVE_SIGNALLED = "upstream signals with its responses that it leaves"
    """Its entry in the store stays ready until it ends."""
    REJECT = "upstream rejects requests with a back-off"
    REJECT_ALL = "all upstreams of a service do"
    LIMIT = "upstream names a limit"
    """It tells with its answers how many requests a second it takes; less, after a while."""


class Plan(StrEnum):
    """Name what a run is to try."""

    MIXED = "mixed"
    """All kinds of faults, one over another."""
    LEAVING = "leaving"
    """Upstreams that leave and serve on for long, with few other faults: an instance must be
    calm for some seconds until it can be held to what it should know by then."""
    ZONES = "zones"
    """Zones that are cordoned and freed again, and upstreams that start again, with few others."""
    CRASHING = "crashing"
    """Requests that end each engine that runs them and come again, beside ordinary streams that are
    all alike, with few other faults."""
    RETURNING = "returning"
    """The store comes back from an older copy now and then, with few other faults."""
    UNSEEN = "unseen"
    """Engines that leave in series while the store is silent, with few other faults."""
    SIGNALLING = "signalling"
    """Upstreams that signal that they leave, or reject requests with a back-off, one over another
    and with kills, pauses and a store that is silent."""
    LIMITED = "limited"
    """Upstreams that name for a while how many requests they take, with few other faults."""


class Fault(StrEnum):
    """Name what a link suffers."""

    DELAY = "delay"
    RESET = "reset"
    CUT_OUT = "cut out"
    """What is sent through the link is lost; what comes back passes."""
    CUT_BACK = "cut back"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Step:
    """Hold one step of the plan."""

    at_s: float
    """Seconds from the start of traffic."""
    kind: Kind
    target: int
    """Number of the instance or upstream, where the kind has one."""
    for_s: float
    fault: Fault = Fault.DELAY


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
"""How often each kind is drawn; all faults that one seldom sees alone are well mixed in."""
BREAK_OFF_GAP_S: Final = 4.0
"""Mean time between two steps of that kind, drawn apart: seeds kept from before keep their plan."""


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
"""Mean time between two steps of that plan; disturbing ones are some six seconds apart, so most
notices fall into a calm stretch or right behind a disturbance."""


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
PLAN_WEIGHTS: Final = {
    Plan.RETURNING: RETURNING_WEIGHTS,
    Plan.UNSEEN: UNSEEN_WEIGHTS,
    Plan.LIMITED: LIMITED_WEIGHTS,
    Plan.SIGNALLING: SIGNALLING_WEIGHTS,
    Plan.LEAVING: LEAVING_WEIGHTS,
    Plan.ZONES: ZONES_WEIGHTS,
    Plan.CRASHING: CRASHING_WEIGHTS,
}
LIMIT_FOR_S: Final = (8.0, 14.0)
"""For how long an upstream names a limit: longer than the time within which all must know."""
CORDON_FOR_S: Final = (4.0, 9.0)
"""For how long a zone is cordoned: longer than the time within which all must know."""

UNSEEN_FOR_S: Final = (6.0, 9.0)
"""For how long the store is silent then: longer than the time within which all must know."""

LASTS: Final = {
    Kind.CORDON: CORDON_FOR_S,
    Kind.LIMIT: LIMIT_FOR_S,
    Kind.LEAVE_UNSEEN: UNSEEN_FOR_S,
}


def draw_steps(
    seed: int, *, instances: int, upstreams: int, seconds: float, plan: Plan = Plan.MIXED
) -> tuple[Step, ...]:
    """Return the steps of a run, in their order."""
    if plan is not Plan.MIXED:
        return tuple(_sparse(seed, plan, instances, upstreams, seconds))
    source = random.Random(seed)
    steps: list[Step] = []
    at = CALM_FIRST_S
    last = seconds - CALM_LAST_S
    while True:
        at += source.expovariate(1 / MEAN_GAP_S)
        if at >= last:
            steps += _break_offs(seed, last, upstreams)
            return tuple(sorted(steps, key=lambda one: one.at_s))
        kind = source.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        times = SERIES if source.random() < 0.15 else 1
        steps += [
            _step(source, kind, at + 0.1 * index, last, instances, upstreams)
            for index in range(times)
        ]


def _sparse(
    seed: int, plan: Plan, instances: int, upstreams: int, seconds: float
) -> Iterator[Step]:
    """Draw the steps of a plan with calm stretches."""
    source = random.Random(f"{seed} {plan.value}")
    weights = PLAN_WEIGHTS[plan]
    last = seconds - CALM_LAST_S
    at = CALM_FIRST_S + source.expovariate(1 / LEAVING_GAP_S)
    while at < last:
        kind = source.choices(list(weights), list(weights.values()))[0]
        yield _step(source, kind, at, last, instances, upstreams)
        at += source.expovariate(1 / LEAVING_GAP_S)


def _break_offs(seed: int, last: float, upstreams: int) -> Iterator[Step]:
    """Draw the steps at which upstreams break requests off."""
    source = random.Random(f"{seed} break off")
    at = CALM_FIRST_S + source.expovariate(1 / BREAK_OFF_GAP_S)
    while at < last:
        for_s = min(source.uniform(0.2, 3.0), last - at)
        yield Step(at, Kind.BREAK_OFF, source.randrange(upstreams), for_s)
        at += source.expovariate(1 / BREAK_OFF_GAP_S)


def _step(
    source: random.Random, kind: Kind, at: float, last: float, instances: int, upstreams: int
) -> Step:
    """Draw what one step hits, for how long and how."""
    pick: Callable[[int], int] = source.randrange
    of_upstream = kind in (
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
    )
    target = pick(upstreams if of_upstream else instances)
    lasts = LASTS.get(kind, (0.2, 3.0))
    for_s = min(source.uniform(*lasts), max(0.1, last - at))
    return Step(at, kind, target, for_s, source.choice(list(Fault)))
