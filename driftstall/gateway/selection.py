"""Choose the upstream of a request, where its copy is kept, and where a run moves.

In a small fleet all instances see nearly the same sums (see loads), so the least loaded
upstream is chosen outright; equal ones are told apart by chance. In a large fleet the
sums are some hundred milliseconds old, and all who decide meanwhile would choose the same
one. So there an instance compares only a few that it draws, near ones first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.copy_room import backup_line
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Engine, Upstream

PREFILL_TOKENS_PER_S: Final = 14_000.0
"""Prompt tokens that an engine reads in a second (from the engines' sheet)."""
STREAM_PENALTY: Final = 0.3
"""Weight of a full batch; each running request slows the tokens of the others."""
MEMORY_PENALTY: Final = 0.6
"""Weight of full memory; beyond it the engine preempts."""
CROSS_ZONE_PENALTY: Final = 0.03
"""Weight of another zone: its bytes are priced, and moves take twice as long."""
CROSS_ZONE_MOVE_PENALTY: Final = 0.3
"""Weight of another zone for a move: the notice is short and the copy takes twice as long."""
TIE_BREAK_JITTER: Final = 0.01
"""Chance between upstreams that are about equal."""
MEMORY_FULL_SHARE: Final = 0.92
"""Share of memory beyond which a new run would soon be preempted."""
OVERFULL_PENALTY: Final = 5.0
SAMPLE_SIZE: Final = 3
"""Upstreams that an instance of a large fleet compares."""
MAX_LOCAL_COST: Final = 0.40
"""Cost up to which a near engine is taken without a look at others: one that is less than
half full and reads no other prompt. Beyond it, as many far ones are compared with it."""
CROSS_ZONE_STREAM_PENALTY: Final = 0.08
"""Weight of another zone for a stream of a large fleet: what its bytes between zones cost,
as seconds of waiting."""


@dataclass(frozen=True, slots=True)
class Option:
    """Hold one upstream that may be chosen, with what runs there."""

    upstream: Upstream
    use: Use
    penalty: float
    """How much worse than usual its answers are."""
    is_ejected: bool
    """Whether it is avoided for its failures: chosen only where all are."""
    cold_s: float = 0.0
    """How much longer it is cold, in seconds."""
    is_limited: bool = False
    """Whether it names how many requests it takes."""


@dataclass(frozen=True, slots=True)
class TokenRequirement:
    """Hold what a generation will take."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the memory at its end, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Sampler:
    """Hold the chance in a choice, and among how many options it is made."""

    source: random.Random
    sample_size: int | None = None
    """Options that are compared; None for all."""
    cross_zone_penalty: float = CROSS_ZONE_PENALTY
    """Weight of another zone for a stream where all options are compared."""

    def sample(self, options: Sequence[Option]) -> Sequence[Option]:
        """Return the options to compare."""
        if self.sample_size is None or len(options) <= self.sample_size:
            return options
        return self.source.sample(options, self.sample_size)

    def jitter(self) -> float:
        """Return a small cost by which equal options are told apart."""
        return TIE_BREAK_JITTER * self.source.random()


def choose_call(options: Iterable[Option], sampler: Sampler) -> Option | None:
    """Return the upstream for a plain call: the one with the most free places."""

    def cost(option: Option) -> float:
        busy = (option.use.running + 1) / max(1, option.upstream.slots)
        return busy * (1 + option.penalty) + option.penalty + sampler.jitter()

    return _least(options, cost, sampler)


def choose_stream(
    options: Iterable[Option], engine: Engine, need: TokenRequirement, zone: str, sampler: Sampler
) -> Option | None:
    """Return the upstream for a generation."""

    def cost(option: Option) -> float:
        far = sampler.cross_zone_penalty if option.upstream.zone != zone else 0.0
        return _stream_cost(option, engine, need) + far + sampler.jitter()

    known = list(options)
    if sampler.sample_size is None:
        return _least(known, cost, sampler)
    near = _least([one for one in known if one.upstream.zone == zone], cost, sampler)
    if near is not None and not near.is_ejected and cost(near) <= MAX_LOCAL_COST:
        return near
    far = _least([one for one in known if one.upstream.zone != zone], cost, sampler)
    if near is None or far is None:
        return near or far
    if near.is_ejected != far.is_ejected:
        return far if near.is_ejected else near
    return near if cost(near) <= cost(far) + CROSS_ZONE_STREAM_PENALTY else far


def run_memory_share(options: Iterable[Option], engine: Engine) -> float:
    """Return the share of the engines' memory that runs take, without copies."""
    known = list(options)
    return sum(one.use.tokens for one in known) / max(1, engine.memory_tokens * len(known))


def has_room(option: Option, engine: Engine, need: TokenRequirement) -> bool:
    """Tell whether a generation fits an engine's memory, as far as can be forecast."""
    expected = need.prompt_tokens + need.output_tokens // 2
    return _memory(option.use, engine, expected) <= MEMORY_FULL_SHARE


def choose_backup(
    options: Iterable[Option],
    engine: Engine,
    need: TokenRequirement,
    primary: Upstream,
    sampler: Sampler,
) -> Option | None:
    """Return the engine that keeps a copy of a run, or None where none has room."""
    known = list(options)
    line = backup_line(run_memory_share(known, engine))
    fitting = [
        option
        for option in known
        if option.upstream.upstream_id != primary.upstream_id
        and not option.is_ejected
        and not option.cold_s
        and _memory(option.use, engine, need.total) <= line
    ]

    def cost(option: Option) -> float:
        far = CROSS_ZONE_PENALTY if option.upstream.zone != primary.zone else 0.0
        return _memory(option.use, engine, need.total) + far + sampler.jitter()

    return _least(_near_first(_unlimited(fitting), primary.zone, sampler), cost, sampler)


def choose_move(
    options: Iterable[Option],
    engine: Engine,
    need: TokenRequirement,
    primary: Upstream,
    sampler: Sampler,
    *,
    max_memory_share: float,
) -> Option | None:
    """Return where a run's memory is copied; in the same zone if it can."""
    fitting = [
        one
        for one in options
        # What runs at a copy there is a request more to it.
        if not one.cold_s and _memory(one.use, engine, need.total) <= max_memory_share
    ]

    def cost(option: Option) -> float:
        far = CROSS_ZONE_MOVE_PENALTY if option.upstream.zone != primary.zone else 0.0
        return _memory(option.use, engine, need.total) + far + sampler.jitter()

    return _least(_near_first(_unlimited(fitting), primary.zone, sampler), cost, sampler)


def _stream_cost(option: Option, engine: Engine, need: TokenRequirement) -> float:
    """Return what a generation would suffer on an upstream, about in seconds."""
    use = option.use
    memory = _memory(use, engine, need.total)
    cost = (use.prefill + need.prompt_tokens) / PREFILL_TOKENS_PER_S
    cost += STREAM_PENALTY * use.running / max(1, engine.slots)
    cost += MEMORY_PENALTY * memory * memory
    if memory > MEMORY_FULL_SHARE:
        cost += OVERFULL_PENALTY * (memory - MEMORY_FULL_SHARE)
    return cost + option.penalty


def _memory(use: Use, engine: Engine, added: int) -> float:
    """Return the share of an engine's memory in use with so many tokens more."""
    return (use.tokens + use.copies + added) / max(1, engine.memory_tokens)


def _unlimited(options: list[Option]) -> list[Option]:
    """Return the options that name no limit if there are any: what goes on at a copy is a send."""
    return [one for one in options if not one.is_limited] or options


def _near_first(options: list[Option], zone: str, sampler: Sampler) -> list[Option]:
    """Return the options of a zone if there are any, where only some are compared."""
    if sampler.sample_size is None:
        return options
    return [one for one in options if one.upstream.zone == zone] or options


def _least(
    options: Iterable[Option], cost: Callable[[Option], float], sampler: Sampler
) -> Option | None:
    """Return the cheapest of the options drawn; an ejected one only if all are."""
    known = list(options)
    awake = [option for option in known if not option.is_ejected]
    return min(sampler.sample(awake or known), key=cost, default=None)
