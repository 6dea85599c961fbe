"""Plot the recorded comparisons as a PNG.

Usage:
  plot [--out=FILE]

Options:
  --out=FILE  Where to write [default: docs/results/decisions.png].
"""

from __future__ import annotations

import statistics
import sys
from typing import Any, Final

import matplotlib as mpl
from docopt import docopt

from measures.tables import DECISIONS, grouped, load, row_of

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

METHODS: Final = ("first_come", "worst_case", "forecast", "oracle")
PANELS: Final = (
    ("first_stall_p99_ms", "first kind's stall p99, ms"),
    ("first_gap_p95_ms", "first kind's token gap p95, ms"),
    ("long_stall_p99_ms", "long prompts' stall p99, ms"),
    ("preemptions_per_1000", "preemptions per 1,000"),
)


def draw(axes: Any, field: str, title: str, deployment: str) -> None:
    """Plot the median of one figure over the rates, with a line for each method."""
    runs_by_rate = {
        rate: runs for (name, rate), runs in grouped(load(DECISIONS)).items() if name == deployment
    }
    for method in METHODS:
        medians = [
            statistics.median(row_of(run, method)[field] for run in runs)
            for runs in runs_by_rate.values()
        ]
        axes.plot(list(runs_by_rate), medians, marker="o", label=method)
    axes.set_title(f"{deployment}: {title}", fontsize=9)
    axes.set_xlabel("generations a second", fontsize=8)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)


def main() -> int:
    """Plot both deployments."""
    options = docopt(__doc__ or "")
    figure, axes = plt.subplots(2, len(PANELS), figsize=(16, 7))
    for row, deployment in enumerate(("enrolment", "parcel")):
        for column, (field, title) in enumerate(PANELS):
            draw(axes[row][column], field, title, deployment)
    axes[0][0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(options["--out"], dpi=90)
    return 0


if __name__ == "__main__":
    sys.exit(main())
