"""Measure what the reported pace of upstreams on shared machines is worth to plain calls.

Usage:
  uneven_upstreams [--seeds=N] [--rate=R]

Options:
  --seeds=N  Seeds for each row [default: 5].
  --rate=R   Calls a second from all instances together [default: 60].

Each row: figures that upstreams report, median, 95th and 99th percentile and mean of the response
time in seconds, share longer than LATE_S, calls rejected per 1,000. The product's own choice,
load estimate and outlier detection are run on a model of 3 upstreams of 6 slots and 27 instances.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from docopt import docopt

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_load import (
    LoadSource,
    ReportedLoad,
    UpstreamLoads,
    mean_pace,
)
from driftstall.decisions.upstream_signals import LoadSignal
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.outcomes import Outcome, OutlierDetector
from driftstall.gateway.scheduling.selection import SAMPLE_SIZE, Option, Sampler, choose_call

UPSTREAMS: Final = 3
SLOTS: Final = 6
QUEUE: Final = 12
INSTANCES: Final = 27
SECONDS: Final = 60.0
WARM_S: Final = 5.0
WORK_S: Final = 0.12
"""Mean work time of a call at the normal pace."""
SLOW_PACE: Final = 2.5
SLOW_S: Final = 0.6
SLOW_SHARE: Final = 0.15
SUMS_AGE_S: Final = 0.4
"""Mean age of other instances' sums, as collectors forward them."""
SHARED_AGE_S: Final = (0.1, 0.7)
"""Age at which the load of a response reaches the other instances with a summary."""
LATE_S: Final = 0.5


class Machine:
    """An upstream on a shared machine, with slots, a queue and slow periods."""

    def __init__(self, source: random.Random) -> None:
        """Draw the slow periods."""
        self.times: list[float] = [0.0]
        self.paces: list[float] = [1.0]
        at = 0.0
        while at < SECONDS + 30:
            at += source.expovariate(SLOW_SHARE / (SLOW_S * (1 - SLOW_SHARE)))
            length_s = SLOW_S * source.uniform(0.7, 1.3)
            self.times += [at, at + length_s]
            self.paces += [SLOW_PACE, 1.0]
            at += length_s
        self._free_at = [0.0] * SLOTS
        self.calls: list[tuple[float, float, float]] = []
        """Arrival, start and end of calls."""

    def pace(self, now: float) -> float:
        """Return the pace at a time."""
        return self.paces[bisect_right(self.times, now) - 1]

    def signal(self, now: float, *, figures: int) -> LoadSignal:
        """Return the load that a response reports."""
        live = [call for call in self.calls if call[0] <= now <= call[2]]
        running = sum(call[1] <= now for call in live)
        if figures == 3:
            return LoadSignal(running, len(live) - running, SLOTS)
        pace = self.pace(now)
        return LoadSignal(running, len(live) - running, SLOTS, pace, reports_pace=True)

    def in_progress(self, at: float) -> int:
        """Return the calls that ran or waited at a time."""
        return sum(call[0] <= at < call[2] for call in self.calls)

    def serve(self, now: float, work_s: float) -> float | None:
        """Return the end of a call that arrives; None if it is rejected."""
        self.calls = [call for call in self.calls if call[2] > now - 2.0]
        if sum(call[1] > now for call in self.calls) >= QUEUE:
            return None
        start = max(now, heapq.heappop(self._free_at))
        end, remaining_s = start, work_s
        while True:
            index = bisect_right(self.times, end)
            until = self.times[index] if index < len(self.times) else float("inf")
            pace = self.paces[index - 1]
            if end + remaining_s * pace <= until:
                end += remaining_s * pace
                break
            remaining_s -= (until - end) / pace
            end = until
        heapq.heappush(self._free_at, end)
        self.calls.append((now, start, end))
        return end


@dataclass(slots=True)
class Instance:
    """What one instance knows."""

    loads: UpstreamLoads = field(default_factory=UpstreamLoads)
    outcomes: OutlierDetector = field(default_factory=OutlierDetector)
    own: list[int] = field(default_factory=lambda: [0] * UPSTREAMS)


@dataclass(slots=True)
class Model:
    """A run of the model."""

    figures: int
    """Figures in the loads; 0 if upstreams report none."""
    source: random.Random
    rate: float
    machines: list[Machine] = field(init=False)
    instances: list[Instance] = field(init=False)
    events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    times: list[float] = field(default_factory=list)
    rejected: int = 0

    def __post_init__(self) -> None:
        """Create the machines and the instances."""
        self.machines = [Machine(self.source) for _ in range(UPSTREAMS)]
        self.instances = [Instance() for _ in range(INSTANCES)]

    def known_running(self, instance: Instance, upstream_id: str, now: float) -> int:
        """Return the calls in progress at an upstream by the sums that an instance has."""
        index = int(upstream_id)
        others = self.machines[index].in_progress(now - SUMS_AGE_S) * (1 - 1 / INSTANCES)
        return instance.own[index] + round(others)

    def options(self, instance: Instance, avoid: set[int], now: float) -> list[Option]:
        """Return the upstreams as an instance sees them."""
        found = []
        for index in range(UPSTREAMS):
            if index in avoid:
                continue
            name = str(index)
            running = self.known_running(instance, str(index), now)
            found.append(
                Option(
                    Upstream(name, "s", "", "a", SLOTS, UpstreamState.READY, StoreVersion(1)),
                    Use(name, running=running),
                    instance.outcomes.penalty(name, "s", now),
                    instance.outcomes.is_ejected(name, now),
                    load=instance.loads.estimate(name, running, now),
                )
            )
        return found

    def send(self, instance: Instance, arrived_at: float, avoid: set[int], now: float) -> None:
        """Send a call, or try another upstream after a rejection."""
        chosen = choose_call(self.options(instance, avoid, now), Sampler(self.source, SAMPLE_SIZE))
        if chosen is None:
            self.rejected += 1
            return
        index = int(chosen.upstream.name)
        work_s = self.source.lognormvariate(-0.125, 0.5) * WORK_S
        end = self.machines[index].serve(now, work_s)
        if end is None:
            instance.outcomes.record_outcome(str(index), "s", Outcome.FULL, now, 0.0)
            self.respond(instance, index, now)
            instance.loads.record_rejection(
                str(index), self.known_running(instance, str(index), now), now
            )
            self.send(instance, arrived_at, avoid | {index}, now)
            return
        instance.own[index] += 1
        started_pace = instance.loads.pace(str(index), now)

        def handle_end(at: float) -> None:
            self.respond(instance, index, at)
            instance.own[index] -= 1
            pace = mean_pace(started_pace, instance.loads.pace(str(index), at))
            instance.outcomes.record_outcome(str(index), "s", Outcome.GOOD, at, at - now, pace)
            if at > WARM_S:
                self.times.append(at - arrived_at)

        self.add(end, handle_end)

    def add(self, at: float, event: Callable[[float], None]) -> None:
        """Add an event, which is called with its time."""
        heapq.heappush(self.events, (at, next(self.numbers), event))

    def respond(self, instance: Instance, index: int, now: float) -> None:
        """Record the load of a response, and let the others learn of it later."""
        if not self.figures:
            return
        signal = self.machines[index].signal(now, figures=self.figures)
        running = self.known_running(instance, str(index), now)
        instance.loads.record_response(str(index), signal, running, now)
        if signal.reports_pace:
            age_s = self.source.uniform(*SHARED_AGE_S)
            counts = (signal.running, signal.waiting, signal.slots)
            load = ReportedLoad(str(index), *counts, signal.pace, int(1000 * age_s))
            self.add(now + age_s, lambda at: self.share(load, at))

    def share(self, load: ReportedLoad, now: float) -> None:
        """Let all instances learn of a load that one of them got."""
        for instance in self.instances:
            known_running = partial(self.known_running, instance, now=now)
            instance.loads.record_peer((load,), LoadSource.SUMMARY, known_running, now)

    def arrive(self, now: float) -> None:
        """Send a call from any instance, and schedule the next one."""
        if now < SECONDS:
            self.add(now + self.source.expovariate(self.rate), self.arrive)
            self.send(self.source.choice(self.instances), now, set(), now)

    def play(self) -> list[float]:
        """Run the model; return the values of the columns."""
        self.add(0.0, self.arrive)
        while self.events:
            now, _, event = heapq.heappop(self.events)
            event(now)
        times = sorted(self.times)
        percentiles = [times[int(share * len(times)) - 1] for share in (0.5, 0.95, 0.99)]
        late = sum(each > LATE_S for each in times) / len(times)
        rejected = 1000 * self.rejected / (len(times) + self.rejected)
        return [*percentiles, statistics.mean(times), late, rejected]


def main() -> None:
    """Print the table."""
    options = docopt(__doc__)
    print("figures  p50    p95    p99    mean   late   rejected")
    for figures in (0, 3, 4):
        rows = [
            Model(figures, random.Random(seed), float(options["--rate"])).play()
            for seed in range(int(options["--seeds"]))
        ]
        means = [statistics.mean(column) for column in zip(*rows, strict=True)]
        print(f"{figures:>7}  " + "  ".join(f"{mean:.3f}" for mean in means))


if __name__ == "__main__":
    main()
