"""Choose the upstream of a request, where its copy is kept, and where a run moves.

All instances see nearly the same sums (see loads), so the least loaded upstream is
chosen outright; equal ones are told apart by chance, so that instances that decide
at the same moment do not all choose the same.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from driftstall.gateway.loads import Use
from driftstall.gateway.model import Engine, Upstream

PREFILL_TOKENS_PER_S: Final = 14_000.0
"""Prompt tokens that an engine reads in a second (from the engines' sheet)."""
STREAM_PENALTY: Final = 0.3
"""Weight of a full batch; each running request slows the tokens of the others."""
MEMORY_PENALTY: Final = 0.6
"""Weight of full memory; beyond it the engine preempts."""
FAR_PENALTY: Final = 0.03
"""Weight of another zone: its bytes are priced, and moves take twice as long."""
FAR_MOVE_PENALTY: Final = 0.3
"""Weight of another zone for a move: the notice is short and the copy takes twice as long."""
NOISE: Final = 0.01
"""Chance between upstreams that are about equal."""
FULL: Final = 0.92
"""Share of memory beyond which a new run would soon be preempted."""
BACKUP_FULL: Final = 0.70
"""Share of memory beyond which no copy is put on an engine; runs go first."""
OVERFULL_PENALTY: Final = 5.0


@dataclass(frozen=True, slots=True)
class Option:
    """Hold one upstream that may be chosen, with what runs there."""

    upstream: Upstream
    use: Use
    penalty: float
    """How much worse than usual its answers are."""
    rests: bool
    """Whether it is to be left alone for a while."""


@dataclass(frozen=True, slots=True)
class Need:
    """Hold what a generation will take."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the memory at its end, in tokens."""
        return self.prompt_tokens + self.output_tokens


def choose_call(options: Iterable[Option], source: random.Random) -> Option | None:
    """Return the upstream for a plain call: the one with the most free places."""

    def cost(option: Option) -> float:
        busy = (option.use.running + 1) / max(1, option.upstream.slots)
        return busy * (1 + option.penalty) + option.penalty + NOISE * source.random()

    return _least(options, cost)


def choose_stream(
    options: Iterable[Option], engine: Engine, need: Need, zone: str, source: random.Random
) -> Option | None:
    """Return the upstream for a generation."""

    def cost(option: Option) -> float:
        return _stream_cost(option, engine, need, zone) + NOISE * source.random()

    return _least(options, cost)


def has_room(option: Option, engine: Engine, need: Need) -> bool:
    """Tell whether a generation fits an engine's memory, as far as can be forecast."""
    expected = need.prompt_tokens + need.output_tokens // 2
    return _memory(option.use, engine, expected) <= FULL


def choose_backup(
    options: Iterable[Option], engine: Engine, need: Need, primary: Upstream, source: random.Random
) -> Option | None:
    """Return the engine that keeps a copy of a run, or None where none has room."""
    fitting = [
        option
        for option in options
        if option.upstream.upstream_id != primary.upstream_id
        and not option.rests
        and _memory(option.use, engine, need.total) <= BACKUP_FULL
    ]

    def cost(option: Option) -> float:
        far = FAR_PENALTY if option.upstream.zone != primary.zone else 0.0
        return _memory(option.use, engine, need.total) + far + NOISE * source.random()

    return _least(fitting, cost)


def choose_move(
    options: Iterable[Option],
    engine: Engine,
    need: Need,
    primary: Upstream,
    source: random.Random,
    *,
    most_memory: float,
) -> Option | None:
    """Return where a run's memory is copied; in the same zone if it can."""
    fitting = [one for one in options if _memory(one.use, engine, need.total) <= most_memory]

    def cost(option: Option) -> float:
        far = FAR_MOVE_PENALTY if option.upstream.zone != primary.zone else 0.0
        return _memory(option.use, engine, need.total) + far + NOISE * source.random()

    return _least(fitting, cost)


def _stream_cost(option: Option, engine: Engine, need: Need, zone: str) -> float:
    """Return what a generation would suffer on an upstream, about in seconds."""
    use = option.use
    memory = _memory(use, engine, need.total)
    cost = (use.prefill + need.prompt_tokens) / PREFILL_TOKENS_PER_S
    cost += STREAM_PENALTY * use.running / max(1, engine.slots)
    cost += MEMORY_PENALTY * memory * memory
    if memory > FULL:
        cost += OVERFULL_PENALTY * (memory - FULL)
    if option.upstream.zone != zone:
        cost += FAR_PENALTY
    return cost + option.penalty


def _memory(use: Use, engine: Engine, added: int) -> float:
    """Return the share of an engine's memory in use with so many tokens more."""
    return (use.tokens + use.copies + added) / max(1, engine.memory_tokens)


def _least(options: Iterable[Option], cost: Callable[[Option], float]) -> Option | None:
    """Return the cheapest option; one that rests only if all do."""
    known = list(options)
    awake = [option for option in known if not option.rests]
    return min(awake or known, key=cost, default=None)
