"""Select the upstream of a request, the engine of its backup, and the target of a migration.

In a small fleet all instances see nearly the same load sums (see loads), so the least loaded
upstream is selected directly, with random jitter between equal ones. In a large fleet the sums
are some hundred milliseconds old, and all instances that decide in that time would select the
same upstream. There an instance compares only a small random sample (power-of-d-choices
sampling), upstreams of its own zone first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.generation_times import PREFILL_TOKENS_PER_S
from driftstall.decisions.replica_limits import backup_fill_limit
from driftstall.decisions.upstream_load import LoadEstimate, expected_completion
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Engine, Upstream

STREAM_PENALTY: Final = 0.3
"""Cost of a full batch; each running request slows down the tokens of the others."""
MEMORY_PENALTY: Final = 0.6
"""Cost of full memory; beyond it the engine preempts."""
CROSS_ZONE_PENALTY: Final = 0.03
"""Cost of another zone: traffic between zones is billed, and migrations take twice as long."""
CROSS_ZONE_MOVE_PENALTY: Final = 0.3
"""Cost of another zone for a migration: the notice is short and the copy takes twice as long."""
TIE_BREAK_JITTER: Final = 0.01
"""Upper bound of the random cost that breaks ties between upstreams of about equal cost."""
MEMORY_FULL_SHARE: Final = 0.92
"""Memory share above which a new run would soon be preempted."""
OVERFULL_PENALTY: Final = 5.0
"""Cost per unit of memory share above MEMORY_FULL_SHARE."""
SAMPLE_SIZE: Final = 3
"""Number of upstreams that an instance of a large fleet compares."""
MAX_LOCAL_COST: Final = 0.40
"""Cost up to which an engine of the own zone is selected without comparing other zones: it is
less than half full and prefills no other prompt. Above it, as many engines of other zones are
compared with it."""
CROSS_ZONE_STREAM_PENALTY: Final = 0.08
"""Cost of another zone for a stream of a large fleet: the price of the traffic between zones,
expressed as seconds of waiting."""


@dataclass(frozen=True, slots=True)
class Option:
    """Represent an upstream that may be selected, with its current load."""

    upstream: Upstream
    use: Use
    penalty: float
    """Cost added for recent failures and slow responses."""
    is_ejected: bool
    """Whether the upstream is ejected as an outlier; it is selected only if all are ejected."""
    cold_s: float = 0.0
    """Remaining cold time in seconds; 0 if the upstream is warm."""
    is_limited: bool = False
    """Whether the upstream signals a rate limit."""
    load: LoadEstimate | None = None
    """The load that the upstream reports; None if it has reported none lately."""
    is_brittle_and_full: bool = False
    """Whether the upstream is brittle and may have to reject a further call of this instance."""

    @property
    def is_full(self) -> bool:
        """Return True if a further call is known to be beyond the upstream's slots and queue."""
        return self.is_brittle_and_full or (self.load is not None and self.load.is_full)


@dataclass(frozen=True, slots=True)
class TokenRequirement:
    """Hold the tokens that a generation is expected to need."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the memory needed at the end of the generation, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Sampler:
    """Sample the options to compare, and provide the jitter that breaks ties."""

    source: random.Random
    sample_size: int | None = None
    """Number of options to compare; None for all."""
    cross_zone_penalty: float = CROSS_ZONE_PENALTY
    """Cost of another zone for a stream when all options are compared."""

    def sample(self, options: Sequence[Option]) -> Sequence[Option]:
        """Return the options to compare: a random sample, or all of them."""
        if self.sample_size is None or len(options) <= self.sample_size:
            return options
        return self.source.sample(options, self.sample_size)

    def jitter(self) -> float:
        """Return a small random cost that breaks ties between equal options."""
        return TIE_BREAK_JITTER * self.source.random()


def choose_call(options: Iterable[Option], sampler: Sampler) -> Option | None:
    """Select the upstream of a plain call; return None if all are known to be full.

    If an upstream reports its pace, the one where the call is expected to finish first is selected,
    otherwise the one with the largest share of free slots.
    """
    candidates = _without_ejected(options)
    compares_pace = any(option.load and option.load.reports_pace for option in candidates)

    def cost(option: Option) -> float:
        busy = (option.use.running + 1) / max(1, option.upstream.slots)
        if compares_pace:
            busy = _expected_completion(option)
        return busy * (1 + option.penalty) + option.penalty + sampler.jitter()

    open_options = [option for option in candidates if not option.is_full]
    return _select_cheapest(open_options, cost, sampler)


def are_all_full(options: Iterable[Option]) -> bool:
    """Return True if no upstream is known to take a further call, and there are upstreams."""
    candidates = _without_ejected(options)
    return bool(candidates) and all(option.is_full for option in candidates)


def choose_stream(
    options: Iterable[Option],
    engine: Engine,
    requirement: TokenRequirement,
    zone: str,
    sampler: Sampler,
) -> Option | None:
    """Select the upstream of a generation.

    When a sample is compared, the best engine of the zone is selected if its cost is at most
    MAX_LOCAL_COST; otherwise it is compared with the best sampled engine of other zones.
    """

    def cost(option: Option) -> float:
        zone_penalty = sampler.cross_zone_penalty if option.upstream.zone != zone else 0.0
        return _stream_cost(option, engine, requirement) + zone_penalty + sampler.jitter()

    candidates = list(options)
    if sampler.sample_size is None:
        return _select_cheapest(candidates, cost, sampler)
    local = _select_cheapest(
        [option for option in candidates if option.upstream.zone == zone], cost, sampler
    )
    if local is not None and not local.is_ejected and cost(local) <= MAX_LOCAL_COST:
        return local
    remote = _select_cheapest(
        [option for option in candidates if option.upstream.zone != zone], cost, sampler
    )
    if local is None or remote is None:
        return local or remote
    if local.is_ejected != remote.is_ejected:
        return remote if local.is_ejected else local
    return local if cost(local) <= cost(remote) + CROSS_ZONE_STREAM_PENALTY else remote


def run_memory_share(options: Iterable[Option], engine: Engine) -> float:
    """Return the share of the engines' total memory that runs use, not counting replicas."""
    candidates = list(options)
    return sum(option.use.tokens for option in candidates) / max(
        1, engine.memory_tokens * len(candidates)
    )


def has_room(
    option: Option,
    engine: Engine,
    requirement: TokenRequirement,
    limit: float = MEMORY_FULL_SHARE,
) -> bool:
    """Return True if a generation is expected to fit into an engine's memory up to a share."""
    expected = requirement.prompt_tokens + requirement.output_tokens // 2
    return _memory_share(option.use, engine, expected) <= limit


def choose_backup(
    options: Iterable[Option],
    engine: Engine,
    requirement: TokenRequirement,
    primary: Upstream,
    sampler: Sampler,
) -> Option | None:
    """Select the backup engine of a run; return None if no engine has room for the replica."""
    candidates = list(options)
    max_memory_share = backup_fill_limit(run_memory_share(candidates, engine))
    fitting = [
        option
        for option in candidates
        if option.upstream.upstream_id != primary.upstream_id
        and not option.is_ejected
        and not option.cold_s
        and _memory_share(option.use, engine, requirement.total) <= max_memory_share
    ]

    def cost(option: Option) -> float:
        zone_penalty = CROSS_ZONE_PENALTY if option.upstream.zone != primary.zone else 0.0
        return (
            _memory_share(option.use, engine, requirement.total) + zone_penalty + sampler.jitter()
        )

    return _select_cheapest(
        _prefer_zone(_prefer_unlimited(fitting), primary.zone, sampler), cost, sampler
    )


def choose_migration_target(
    options: Iterable[Option],
    engine: Engine,
    requirement: TokenRequirement,
    primary: Upstream,
    sampler: Sampler,
    *,
    max_memory_share: float,
) -> Option | None:
    """Select the engine to which a run's memory is copied, in the same zone if possible.

    Engines are excluded whose memory share would exceed max_memory_share with the replica.
    """
    fitting = [
        option
        for option in options
        # Resuming at a replica sends the engine one more request, so a cold engine is excluded.
        if not option.cold_s
        and _memory_share(option.use, engine, requirement.total) <= max_memory_share
    ]

    def cost(option: Option) -> float:
        zone_penalty = CROSS_ZONE_MOVE_PENALTY if option.upstream.zone != primary.zone else 0.0
        return (
            _memory_share(option.use, engine, requirement.total) + zone_penalty + sampler.jitter()
        )

    return _select_cheapest(
        _prefer_zone(_prefer_unlimited(fitting), primary.zone, sampler), cost, sampler
    )


def _stream_cost(option: Option, engine: Engine, requirement: TokenRequirement) -> float:
    """Return the expected delay of a generation on an upstream, roughly in seconds."""
    use = option.use
    memory = _memory_share(use, engine, requirement.total)
    cost = (use.prefill + requirement.prompt_tokens) / PREFILL_TOKENS_PER_S
    cost += STREAM_PENALTY * use.running / max(1, engine.slots)
    cost += MEMORY_PENALTY * memory * memory
    if memory > MEMORY_FULL_SHARE:
        cost += OVERFULL_PENALTY * (memory - MEMORY_FULL_SHARE)
    pace = option.load.pace if option.load is not None else 1.0
    return cost * pace + option.penalty


def _expected_completion(option: Option) -> float:
    """Return when a call is expected to finish on an upstream, in mean work times."""
    load = option.load
    if load is None:
        return expected_completion(option.use.running, max(1, option.upstream.slots), 1.0)
    return expected_completion(load.busy, load.slots, load.pace)


def _memory_share(use: Use, engine: Engine, added: int) -> float:
    """Return the memory share of an engine after a number of tokens is added."""
    return (use.tokens + use.copies + added) / max(1, engine.memory_tokens)


def _prefer_unlimited(options: list[Option]) -> list[Option]:
    """Return the options without a rate limit, or all options if each has one.

    Resuming at a replica is a send, which counts against a rate limit.
    """
    return [option for option in options if not option.is_limited] or options


def _prefer_zone(options: list[Option], zone: str, sampler: Sampler) -> list[Option]:
    """Return the options of a zone if there are any; return all when all are compared anyway."""
    if sampler.sample_size is None:
        return options
    return [option for option in options if option.upstream.zone == zone] or options


def _select_cheapest(
    options: Iterable[Option], cost: Callable[[Option], float], sampler: Sampler
) -> Option | None:
    """Return the sampled option of least cost; an ejected one only if all are ejected."""
    return min(sampler.sample(_without_ejected(options)), key=cost, default=None)


def _without_ejected(options: Iterable[Option]) -> list[Option]:
    """Return the options that are not ejected, or all options if each one is."""
    candidates = list(options)
    return [option for option in candidates if not option.is_ejected] or candidates
