"""Compute an upper bound on the result of a played day, next to the result reached.

Usage:
  day_limit LOG REPORT [LOG REPORT]... [--plot=FILE] [--token-ms=MS] [--prompt-ms=MS]

Options:
  --plot=FILE     Draw the days beside their limits.
  --token-ms=MS   Time of a token at an engine that reads no prompt [default: 7.1].
  --prompt-ms=MS  Time to the first token at an empty engine [default: 220].

The limit counts only losses that no system could avoid: streams that would still be open when all
instances end, even with the fastest decoding, requests that arrive while no instance is live,
requests that get a 500 from each upstream, and prices that do not depend on the work done.
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
"""Weight of an output token relative to a prompt token, in the size of a stream."""
FIXED_SHARE: Final = 0.3
"""Share of a stream's worth that does not depend on its size."""
WINDOW_S: Final = 2.0
WORST_WINDOWS: Final = 2
MAX_NINES: Final = 3.0


@dataclass(frozen=True, slots=True)
class Pace:
    """Times of an otherwise idle engine for the prompt and for each token, in seconds."""

    token_s: float
    prompt_s: float


@dataclass(frozen=True, slots=True)
class PlacedStream:
    """A stream, from the logs of the instances."""

    placed_s: float
    tokens: int
    """Number of generated tokens; the forecast if the stream was interrupted."""
    is_long: bool
    is_complete: bool

    def earliest_end_s(self, pace: Pace) -> float:
        """Return the earliest time at which the stream could have ended."""
        return self.placed_s + pace.prompt_s + pace.token_s * self.tokens


@dataclass(frozen=True, slots=True)
class Weights:
    """Weights of the parts of a day's result."""

    whole: float
    nines: float
    windows: float
    worst_kind: float


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """A played day, with its result and the counts from which the limit is computed."""

    name: str
    worth: float
    weights: Weights
    asked: int
    calls: int
    failed: int
    lost_calls: int
    """Requests that failed with a 500 or arrived while no instance was live."""
    prices: float
    fixed_prices: float
    streams: tuple[PlacedStream, ...]
    ends_s: float | None
    """Time at which all instances ended; None if they did not."""


@dataclass(frozen=True, slots=True)
class DayParts:
    """The computed parts of a day's result."""

    whole: float
    nines: float
    windows: float
    worst_kind: float
    prices: float
    lost_long: int

    def worth(self, weights: Weights) -> float:
        """Return the weighted sum of the parts, less the prices."""
        parts = (
            self.whole * weights.whole
            + self.nines * weights.nines
            + self.windows * weights.windows
            + self.worst_kind * weights.worst_kind
        )
        return parts - self.prices


def compute_reached(day: PlayedDay) -> DayParts:
    """Compute the parts that were reached, from the same streams as the limit."""
    served = [stream.is_complete for stream in day.streams]
    return _compute_parts(day, served, day.failed, day.prices)


def compute_limit(day: PlayedDay, pace: Pace) -> DayParts:
    """Compute the highest parts that could have been reached."""
    ends = math.inf if day.ends_s is None else day.ends_s
    served = [
        stream.placed_s >= ends or stream.earliest_end_s(pace) <= ends for stream in day.streams
    ]
    failed = day.lost_calls + served.count(False)
    return _compute_parts(day, served, failed, day.fixed_prices)


def _compute_parts(day: PlayedDay, served: list[bool], failed: int, prices: float) -> DayParts:
    """Compute the parts; served says for each stream whether it was served."""
    worths = _worths(day.streams)
    streams = list(zip(day.streams, worths, served, strict=True))
    kept = sum(worth for _, worth, is_served in streams if is_served)
    calls = day.calls * CALL_WORTH
    kept_calls = max(0, day.calls - day.lost_calls) * CALL_WORTH
    long = [(worth, is_served) for stream, worth, is_served in streams if stream.is_long]
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
    """Return each stream's worth, by its size relative to the mean of long or short streams."""
    known = list(streams)
    sizes = [PROMPT_TOKENS + OUTPUT_WEIGHT * stream.tokens for stream in known]
    means: dict[bool, float] = {}
    for is_long in (False, True):
        same = [
            size for stream, size in zip(known, sizes, strict=True) if stream.is_long is is_long
        ]
        means[is_long] = sum(same) / len(same) if same else 1.0
    return [
        (LONG_WORTH if stream.is_long else SHORT_WORTH)
        * (FIXED_SHARE + (1 - FIXED_SHARE) * size / means[stream.is_long])
        for stream, size in zip(known, sizes, strict=True)
    ]


def _worst_windows(streams: Iterable[tuple[PlacedStream, float, bool]]) -> float:
    """Return the mean share served in the WORST_WINDOWS worst windows; 1.0 without any streams."""
    total: dict[int, float] = defaultdict(float)
    kept: dict[int, float] = defaultdict(float)
    for stream, worth, is_served in streams:
        window = int(stream.placed_s // WINDOW_S)
        total[window] += worth
        kept[window] += worth * is_served
    worst = sorted(kept[window] / total[window] for window in total)[:WORST_WINDOWS]
    return sum(worst) / len(worst) if worst else 1.0


def table(days: Iterable[PlayedDay], pace: Pace) -> str:
    """Return a Markdown table of the days."""
    lines = [
        "| day | worth | by this reckoning | limit | long streams lost | unavoidable | failed "
        "| unavoidable |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for day in days:
        reached, limit = compute_reached(day), compute_limit(day, pace)
        unavoidable = day.lost_calls + limit.lost_long
        lines.append(
            f"| {day.name} | {day.worth:.3f} | {reached.worth(day.weights):.3f} "
            f"| {limit.worth(day.weights):.3f} | {reached.lost_long} | {limit.lost_long} "
            f"| {day.failed} | {unavoidable} |"
        )
    return "\n".join(lines)


def plot(days: Iterable[PlayedDay], pace: Pace, path: Path) -> None:
    """Plot each day's worth and its limit."""
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
    """Print the table, and write the plot if --plot is given."""
    # Imported here, so that the computation does not depend on the format of the reports.
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
