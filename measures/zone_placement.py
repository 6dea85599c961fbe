"""Measure what it buys that one instance places the streams of a whole fleet.

Usage:
  zone_placement [--seeds=N]

Options:
  --seeds=N  Seeds for each row [default: 3].

Each row: who places, then median, 95th and 99th percentile of the time to the first token in
seconds, the share later than 1.5 s, and the share placed on an engine without room. The product's
own choice is run on a model of 22 engines in five zones and 29 streams a second. An instance that
places by itself knows the engines of its zone as they were 0.45 s ago (a report each 0.2 s, a sum
each 0.5 s from two collectors), those of other zones as they were 0.75 s ago; who places for all
knows its own choices at once.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Sequence
from typing import Final

from docopt import docopt

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.selection import (
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
"""Share of chats; the others are summaries with short outputs."""
SECONDS: Final = 60.0
WARM_S: Final = 10.0
NEAR_AGE_S: Final = 0.45
FAR_AGE_S: Final = 0.75
LATE_S: Final = 1.5
READ_PER_S: Final = 7_000.0
"""Prompt tokens that an engine reads in a second beside others: each of its steps takes 7 ms and
reads 112 tokens of one prompt in 8 ms more."""
UPSTREAMS: Final = tuple(
    Upstream(
        str(index), "s", "", ZONES[index % len(ZONES)], 24, UpstreamState.READY, StoreVersion(1)
    )
    for index in range(ENGINES)
)


def sample_requirement(source: random.Random) -> TokenRequirement:
    """Draw a prompt and an output, in tokens."""
    if source.random() < CHATS:
        prompt = min(6000.0, max(200.0, source.gauss(3000, 1050)))
        return TokenRequirement(int(prompt), int(4 * min(562.0, source.lognormvariate(5.2, 0.74))))
    return TokenRequirement(int(min(6000.0, max(200.0, source.gauss(2200, 1300)))), 12)


def _options(
    placed: list[PlacedGeneration], zone: str, now: float, *, knows_all: bool
) -> list[Option]:
    """Return the engines as who places in a zone sees them."""
    found = []
    for index, upstream in enumerate(UPSTREAMS):
        age_s = NEAR_AGE_S if upstream.zone == zone else FAR_AGE_S
        if knows_all:
            age_s = 0.0
        found.append(Option(upstream, usage_as_of(placed, index, now - age_s), 0.0, False))
    return found


class Model:
    """Hold the engines of the model and what runs there."""

    def __init__(self) -> None:
        """Start with idle engines."""
        self.placed: list[PlacedGeneration] = []
        self._reads_until = [0.0] * ENGINES

    def run(self, index: int, need: TokenRequirement, now: float) -> tuple[float, bool]:
        """Run a generation on an engine; return the wait for its first token, and any overflow."""
        running = [one for one in self.placed if one.engine == index and one.ends_at > now]
        reads_s = (1 + 0.03 * len(running)) * need.prompt_tokens / READ_PER_S
        first_at = max(self._reads_until[index], now) + reads_s
        self._reads_until[index] = first_at
        step_s = (10.0 + 0.12 * len(running)) / 1000
        ends_at = first_at + max(1, need.output_tokens) * step_s
        held = sum(one.held(now) for one in running)
        self.placed.append(PlacedGeneration(now, index, need, first_at, ends_at))
        return first_at - now, held + need.prompt_tokens > ENGINE.memory_tokens

    def forget(self, now: float) -> None:
        """Forget generations that ended so long ago that no sum shows them."""
        self.placed = [one for one in self.placed if one.ends_at > now - 1.0]


def play(seed: int, *, knows_all: bool, seconds: float = SECONDS) -> Row:
    """Place generations for some seconds, the first ten of which do not count."""
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
        need = sample_requirement(source)
        zone = source.choice(ZONES)
        model.forget(now)
        options = _options(model.placed, zone, now, knows_all=knows_all)
        chosen = choose_stream(options, ENGINE, need, zone, sampler)
        assert chosen is not None
        wait_s, full = model.run(int(chosen.upstream.upstream_id), need, now)
        if now > WARM_S:
            waits.append(wait_s)
            overfull += full
    return Row(waits, overfull / len(waits))


def columns(rows: Sequence[Row]) -> list[float]:
    """Return the means of the columns of some runs."""
    values = [row.values(LATE_S) for row in rows]
    return [statistics.mean(column) for column in zip(*values, strict=True)]


def main() -> None:
    """Print the table."""
    seeds = range(int(docopt(__doc__)["--seeds"]))
    print("who places        p50    p95    p99    late   overfull")
    for name, knows_all in {"each by itself": False, "one for all": True}.items():
        rows = [play(seed, knows_all=knows_all) for seed in seeds]
        text = "  ".join(f"{mean:.3f}" for mean in columns(rows))
        print(f"{name:<16}  {text}")


if __name__ == "__main__":
    main()
