"""Measure how the age of load sums and the number of compared engines affect time to first token.

Usage:
  stale_sums [--seeds=N]

Options:
  --seeds=N  Seeds for each row [default: 3].

Each row: age of the sums in seconds, engines compared, median, 95th and 99th percentile of
the time to the first token in seconds, share later than 1.7 s, share placed on an engine
without enough free memory. The product's own choice is run on a model of 23 engines.
"""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass
from typing import Final

from docopt import docopt

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Engine, Upstream, UpstreamState
from driftstall.gateway.scheduling.selection import Option, Sampler, TokenRequirement, choose_stream

ENGINES: Final = 23
REQUESTS_PER_S: Final = 24.0
SECONDS: Final = 60.0
WARM_S: Final = 10.0
CHATS: Final = 0.47
"""Share of chats; the other requests are summaries with short outputs."""
PREFILL_PER_S: Final = 14_000.0
LATE_S: Final = 1.7
ENGINE: Final = Engine(24, 33_600, 18_432, 337_500_000.0, True, True, 4)
AGES_S: Final = (0.0, 0.3, 0.6)
COMPARED: Final = (None, 2, 3, 4, 6)


@dataclass(frozen=True, slots=True)
class PlacedGeneration:
    """A generation on an engine of the model."""

    at: float
    engine: int
    requirement: TokenRequirement
    first_at: float
    ends_at: float

    def memory_tokens(self, now: float) -> int:
        """Return the engine memory that the generation uses, in tokens."""
        if now >= self.ends_at:
            return 0
        part = max(0.0, (now - self.first_at) / (self.ends_at - self.first_at))
        return self.requirement.prompt_tokens + int(part * self.requirement.output_tokens)


@dataclass(frozen=True, slots=True)
class Row:
    """The results of one run."""

    waits: list[float]
    overfull: float
    """Share of generations placed on an engine without enough free memory."""

    def values(self, late_s: float = LATE_S) -> list[float]:
        """Return the values of the columns: percentiles, late share and overfull share."""
        waits = sorted(self.waits)
        percentiles = [waits[int(share * len(waits)) - 1] for share in (0.5, 0.95, 0.99)]
        late = sum(wait > late_s for wait in waits) / len(waits)
        return [*percentiles, late, self.overfull]


def sample_requirement(source: random.Random) -> TokenRequirement:
    """Return a random prompt length and output length."""
    if source.random() < CHATS:
        prompt = min(6000.0, max(200.0, source.gauss(3000, 1050)))
        return TokenRequirement(int(prompt), int(4 * min(439.0, source.lognormvariate(4.97, 0.7))))
    return TokenRequirement(int(min(6000.0, max(200.0, source.gauss(2200, 1300)))), 12)


def usage_as_of(placed: list[PlacedGeneration], engine: int, as_of: float) -> Use:
    """Return the load of an engine at a time in the past."""
    running = [
        generation
        for generation in placed
        if generation.engine == engine and generation.at <= as_of < generation.ends_at
    ]
    return Use(
        str(engine),
        running=len(running),
        tokens=sum(
            generation.requirement.prompt_tokens + generation.requirement.output_tokens // 2
            for generation in running
        ),
        prefill=sum(
            generation.requirement.prompt_tokens
            for generation in running
            if as_of < generation.first_at
        ),
    )


def play(age_s: float, compared: int | None, seed: int) -> Row:
    """Place a minute of generations with load sums of an age; compared is None for all engines."""
    source = random.Random(seed)
    sampler = Sampler(source, compared)
    placed: list[PlacedGeneration] = []
    prefill_until = [0.0] * ENGINES
    waits: list[float] = []
    overfull = 0
    now = 0.0
    while now < SECONDS:
        now += source.expovariate(REQUESTS_PER_S)
        requirement = sample_requirement(source)
        placed = [generation for generation in placed if generation.ends_at > now - 1.0]
        options = [
            Option(
                Upstream(str(index), "s", "", "a", 24, UpstreamState.READY, StoreVersion(1)),
                usage_as_of(placed, index, now - age_s),
                0.0,
                False,
            )
            for index in range(ENGINES)
        ]
        chosen = choose_stream(options, ENGINE, requirement, "a", sampler)
        assert chosen is not None
        engine = int(chosen.upstream.upstream_id)
        running = [
            generation
            for generation in placed
            if generation.engine == engine and generation.ends_at > now
        ]
        slowdown = 1 + 0.03 * len(running)
        first_at = (
            max(prefill_until[engine], now) + slowdown * requirement.prompt_tokens / PREFILL_PER_S
        )
        prefill_until[engine] = first_at
        step_s = (10.0 + 0.12 * len(running)) / 1000
        ends_at = first_at + max(1, requirement.output_tokens) * step_s
        used_tokens = sum(generation.memory_tokens(now) for generation in running)
        placed.append(PlacedGeneration(now, engine, requirement, first_at, ends_at))
        if now > WARM_S:
            waits.append(first_at - now)
            overfull += used_tokens + requirement.prompt_tokens > ENGINE.memory_tokens
    return Row(waits, overfull / len(waits))


def main() -> None:
    """Print the table."""
    seeds = int(docopt(__doc__)["--seeds"])
    print("age  compared  p50    p95    p99    late   overfull")
    for age_s in AGES_S:
        for compared in COMPARED:
            rows = [play(age_s, compared, seed).values() for seed in range(seeds)]
            means = [statistics.mean(column) for column in zip(*rows, strict=True)]
            text = "  ".join(f"{mean:.3f}" for mean in means)
            print(f"{age_s:.1f}  {compared or 'all':>8}  {text}")


if __name__ == "__main__":
    main()
