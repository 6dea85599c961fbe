"""Reckon what a day could have reached at the most, beside what it did reach.

Usage:
  day_limit LOG REPORT [LOG REPORT]... [--plot=FILE] [--token-ms=MS] [--prompt-ms=MS]

Options:
  --plot=FILE     Draw the days beside their limits.
  --token-ms=MS   Time of a token at an engine that reads no prompt [default: 7.1].
  --prompt-ms=MS  Time to the first token at an empty engine [default: 220].

Only what no system could save counts as lost in the limit: streams that would be open when all
instances end even at the fastest decoding, requests that come while none lives, answers of 500 that
follow the request to each upstream, and prices that are paid however little is done.
"""

from __future__ import annotations

import math
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from docopt import docopt

LONG_WORTH: Final = 130.0
SHORT_WORTH: Final = 14.0
CALL_WORTH: Final = 1.0
PROMPT_TOKENS: Final = 3_000
OUTPUT_WEIGHT: Final = 10
"""What a token made weighs beside one read, in a stream's size."""
FIXED_SHARE: Final = 0.3
"""Share of a stream's worth that does not depend on its size."""
WINDOW_S: Final = 2.0
WORST_WINDOWS: Final = 2
MAX_NINES: Final = 3.0


@dataclass(frozen=True, slots=True)
class Pace:
    """Hold how fast an engine makes tokens while it does nothing else, in seconds."""

    token_s: float
    prompt_s: float


@dataclass(frozen=True, slots=True)
class PlacedStream:
    """Hold one stream as the instances' logs tell of it."""

    placed_s: float
    tokens: int
    """Tokens that it made; the forecast where it broke off."""
    is_long: bool
    is_complete: bool

    def ends_at_s(self, pace: Pace) -> float:
        """Return when it would have ended at the fastest."""
        return self.placed_s + pace.prompt_s + pace.token_s * self.tokens


@dataclass(frozen=True, slots=True)
class Weights:
    """Hold what each part of a day's worth weighs."""

    whole: float
    nines: float
    windows: float
    worst_kind: float


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """Hold one played day."""

    name: str
    worth: float
    weights: Weights
    asked: int
    calls: int
    failed: int
    lost_calls: int
    """Requests that failed with an answer of 500 or came while no instance lived."""
    prices: float
    fixed_prices: float
    streams: tuple[PlacedStream, ...]
    ends_s: float | None
    """When all instances ended; None on a day on which they did not."""


@dataclass(frozen=True, slots=True)
class DayParts:
    """Hold the parts of a day's worth by one reckoning."""

    whole: float
    nines: float
    windows: float
    worst_kind: float
    prices: float
    lost_long: int

    def worth(self, weights: Weights) -> float:
        """Return the parts together, less prices."""
        parts = (
            self.whole * weights.whole
            + self.nines * weights.nines
            + self.windows * weights.windows
            + self.worst_kind * weights.worst_kind
        )
        return parts - self.prices


def compute_reached(day: PlayedDay) -> DayParts:
    """Reckon what was reached from the same streams as the limit."""
    served = [one.is_complete for one in day.streams]
    return _reckon(day, served, day.failed, day.prices)


def compute_limit(day: PlayedDay, pace: Pace) -> DayParts:
    """Reckon what could have been reached at the most."""
    ends = math.inf if day.ends_s is None else day.ends_s
    served = [one.placed_s >= ends or one.ends_at_s(pace) <= ends for one in day.streams]
    failed = day.lost_calls + served.count(False)
    return _reckon(day, served, failed, day.fixed_prices)


def _reckon(day: PlayedDay, served: list[bool], failed: int, prices: float) -> DayParts:
    """Put the parts together from which streams were served."""
    worths = _worths(day.streams)
    streams = list(zip(day.streams, worths, served, strict=True))
    kept = sum(worth for _, worth, is_served in streams if is_served)
    calls = day.calls * CALL_WORTH
    kept_calls = max(0, day.calls - day.lost_calls) * CALL_WORTH
    long = [(worth, is_served) for one, worth, is_served in streams if one.is_long]
    long_worth = sum(worth for worth, _ in long)
    kept_long = sum(worth for worth, is_served in long if is_served)
    return DayParts(
        whole=(kept + kept_calls) / (sum(worths) + calls),
        nines=min(1.0, math.log10(day.asked / max(1, failed)) / MAX_NINES),
        windows=_worst_windows(streams),
        worst_kind=kept_long / long_worth if long_worth else 1.0,
        prices=prices,
        lost_long=sum(not is_served for _, is_served in long),
    )


def _worths(streams: Iterable[PlacedStream]) -> list[float]:
    """Return what each stream is worth, by its size among those of its kind."""
    known = list(streams)
    sizes = [PROMPT_TOKENS + OUTPUT_WEIGHT * one.tokens for one in known]
    means: dict[bool, float] = {}
    for kind in (False, True):
        of_kind = [size for one, size in zip(known, sizes, strict=True) if one.is_long is kind]
        means[kind] = sum(of_kind) / len(of_kind) if of_kind else 1.0
    return [
        (LONG_WORTH if one.is_long else SHORT_WORTH)
        * (FIXED_SHARE + (1 - FIXED_SHARE) * size / means[one.is_long])
        for one, size in zip(known, sizes, strict=True)
    ]


def _worst_windows(streams: Iterable[tuple[PlacedStream, float, bool]]) -> float:
    """Return the mean share kept of the two worst windows; all of it where there are none."""
    owed: dict[int, float] = defaultdict(float)
    kept: dict[int, float] = defaultdict(float)
    for one, worth, is_served in streams:
        window = int(one.placed_s // WINDOW_S)
        owed[window] += worth
        kept[window] += worth * is_served
    worst = sorted(kept[window] / owed[window] for window in owed)[:WORST_WINDOWS]
    return sum(worst) / len(worst) if worst else 1.0


def table(days: Iterable[PlayedDay], pace: Pace) -> str:
    """Return a table of the days, as the pages show it."""
    lines = [
        "| day | worth | by this reckoning | limit | long streams lost | unavoidable | failed "
        "| unavoidable |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for day in days:
        was, most = compute_reached(day), compute_limit(day, pace)
        unavoidable = day.lost_calls + most.lost_long
        lines.append(
            f"| {day.name} | {day.worth:.3f} | {was.worth(day.weights):.3f} "
            f"| {most.worth(day.weights):.3f} | {was.lost_long} | {most.lost_long} "
            f"| {day.failed} | {unavoidable} |"
        )
    return "\n".join(lines)


def plot(days: Iterable[PlayedDay], pace: Pace, path: Path) -> None:
    """Draw each day's worth beside its limit."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    known = list(days)
    figure, axes = plt.subplots(figsize=(1.5 + 0.8 * len(known), 4))
    places = range(len(known))
    limits = [compute_limit(day, pace).worth(day.weights) for day in known]
    axes.bar(places, limits, color="lightgrey", label="limit of the day")
    axes.bar(places, [day.worth for day in known], width=0.5, label="reached")
    axes.set_xticks(list(places), [day.name for day in known], rotation=60, fontsize=8)
    axes.set_ylabel("worth")
    axes.legend(fontsize=8, loc="lower left")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> int:
    """Print the table, and draw the plot if it is wanted."""
    # Loaded here, so that the reckoning itself knows no format of a report.
    from measures.played_days import read_day

    options = docopt(__doc__ or "")
    pairs = zip(options["LOG"], options["REPORT"], strict=True)
    days = [read_day(Path(log), Path(report)) for log, report in pairs]
    pace = Pace(float(options["--token-ms"]) / 1000, float(options["--prompt-ms"]) / 1000)
    print(table(days, pace))
    if options["--plot"]:
        plot(days, pace, Path(options["--plot"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
