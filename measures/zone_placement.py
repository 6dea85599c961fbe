"""Compare placement by one instance for the whole fleet with placement by each instance.

Usage:
  zone_placement [--seeds=N]

Options:
  --seeds=N  Seeds for each row [default: 3].

Each row: the kind of placement, then median, 95th and 99th percentile of the time to the first
token in seconds, the share later than 1.5 s, and the share placed on an engine without enough free
memory. The product's own choice is run on a model of 22 engines in five zones and 29 streams a
second. An instance that places its own streams knows the engines of its zone as they were 0.45 s
ago (a report each 0.2 s, a sum each 0.5 s from two collectors), and those of other zones as they
were 0.75 s ago. A single placer knows all its own choices at once.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Sequence
from typing import Final

from docopt import docopt

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.scheduling.selection import (
    CROSS_ZONE_STREAM_PENALTY,
    SAMPLE_SIZE,
    Option,
    Sampler,
    TokenRequirement,
    choose_stream,
)
from measures.stale_sums import ENGINE, PlacedGeneration, Row, usage_as_of

ZONES: Final = "abcde"
ENGINES: Final = 22
REQUESTS_PER_S: Final = 29.0
CHATS: Final = 0.41
"""Share of chats; the other requests are summaries with short outputs."""
SECONDS: Final = 60.0
WARM_S: Final = 10.0
OWN_ZONE_AGE_S: Final = 0.45
OTHER_ZONE_AGE_S: Final = 0.75
LATE_S: Final = 1.5
PREFILL_PER_S: Final = 7_000.0
"""Prompt tokens that an engine prefills in a second while it decodes others: each of its steps
takes 7 ms, and 8 ms more in which it prefills 112 tokens of one prompt."""
UPSTREAMS: Final = tuple(
    Upstream(
        str(index), "s", "", ZONES[index % len(ZONES)], 24, UpstreamState.READY, StoreVersion(1)
    )
    for index in range(ENGINES)
)


def sample_requirement(source: random.Random) -> TokenRequirement:
    """Return a random prompt length and output length, in tokens."""
    if source.random() < CHATS:
        prompt = min(6000.0, max(200.0, source.gauss(3000, 1050)))
        return TokenRequirement(int(prompt), int(4 * min(562.0, source.lognormvariate(5.2, 0.74))))
    return TokenRequirement(int(min(6000.0, max(200.0, source.gauss(2200, 1300)))), 12)


def _build_options(
    placed: list[PlacedGeneration], zone: str, now: float, *, knows_all: bool
) -> list[Option]:
    """Return the engines with their loads as known to the placing instance of a zone."""
    options = []
    for index, upstream in enumerate(UPSTREAMS):
        age_s = OWN_ZONE_AGE_S if upstream.zone == zone else OTHER_ZONE_AGE_S
        if knows_all:
            age_s = 0.0
        options.append(Option(upstream, usage_as_of(placed, index, now - age_s), 0.0, False))
    return options


class Model:
    """The engines of the model with their generations."""

    def __init__(self) -> None:
        """Initialize with idle engines."""
        self.placed: list[PlacedGeneration] = []
        self._prefill_until = [0.0] * ENGINES

    def run(self, index: int, requirement: TokenRequirement, now: float) -> tuple[float, bool]:
        """Run a generation on an engine.

        Return the time to its first token in seconds, and whether the engine lacks memory for it.
        """
        running = [
            generation
            for generation in self.placed
            if generation.engine == index and generation.ends_at > now
        ]
        prefill_s = (1 + 0.03 * len(running)) * requirement.prompt_tokens / PREFILL_PER_S
        first_at = max(self._prefill_until[index], now) + prefill_s
        self._prefill_until[index] = first_at
        step_s = (10.0 + 0.12 * len(running)) / 1000
        ends_at = first_at + max(1, requirement.output_tokens) * step_s
        used_tokens = sum(generation.memory_tokens(now) for generation in running)
        self.placed.append(PlacedGeneration(now, index, requirement, first_at, ends_at))
        return first_at - now, used_tokens + requirement.prompt_tokens > ENGINE.memory_tokens

    def remove_ended(self, now: float) -> None:
        """Remove generations that ended so long ago that no load sum includes them."""
        self.placed = [generation for generation in self.placed if generation.ends_at > now - 1.0]


def play(seed: int, *, knows_all: bool, seconds: float = SECONDS) -> Row:
    """Place generations for some seconds, of which the first WARM_S do not count."""
    source = random.Random(seed)
    sampler = (
        Sampler(source, cross_zone_penalty=CROSS_ZONE_STREAM_PENALTY)
        if knows_all
        else Sampler(source, SAMPLE_SIZE)
    )
    model = Model()
    waits: list[float] = []
    overfull = 0
    now = 0.0
    while now < seconds:
        now += source.expovariate(REQUESTS_PER_S)
        requirement = sample_requirement(source)
        zone = source.choice(ZONES)
        model.remove_ended(now)
        options = _build_options(model.placed, zone, now, knows_all=knows_all)
        chosen = choose_stream(options, ENGINE, requirement, zone, sampler)
        assert chosen is not None
        wait_s, is_overfull = model.run(int(chosen.upstream.upstream_id), requirement, now)
        if now > WARM_S:
            waits.append(wait_s)
            overfull += is_overfull
    return Row(waits, overfull / len(waits))


def columns(rows: Sequence[Row]) -> list[float]:
    """Return the mean of each column over the runs."""
    values = [row.values(LATE_S) for row in rows]
    return [statistics.mean(column) for column in zip(*values, strict=True)]


def main() -> None:
    """Print the table."""
    seeds = range(int(docopt(__doc__)["--seeds"]))
    print("placement         p50    p95    p99    late   overfull")
    for name, knows_all in {"each instance": False, "one placer": True}.items():
        rows = [play(seed, knows_all=knows_all) for seed in seeds]
        text = "  ".join(f"{mean:.3f}" for mean in columns(rows))
        print(f"{name:<16}  {text}")


if __name__ == "__main__":
    main()
