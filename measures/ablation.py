"""Ablation study: replay days with one mechanism after the other switched off.

Usage:
  ablation BENCH SITE FOLDER [--days=NAMES] [--seeds=NUMBERS] [--jobs=N] [--only=NAMES]

Options:
  --days=NAMES     Days that are played [default: quiet-1,trouble-3,scale-1].
  --seeds=NUMBERS  Seeds of each day [default: 11,12,13].
  --jobs=N         Plays at a time [default: 4].
  --only=NAMES     Mechanisms that are switched off; all of measures/ablations without it.

BENCH is the program that plays days, SITE its file, FOLDER where scratch copies and reports go.
Each copy is a checkout of the newest commit with one patch. Plays that have a report are skipped.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import orjson
from docopt import docopt

PATCHES: Final = Path(__file__).parent / "ablations"
WHOLE: Final = "whole"
"""Name of the unchanged code."""


@dataclass(frozen=True, slots=True)
class Play:
    """A replay of a day without one mechanism."""

    mechanism: str
    day: str
    seed: int

    def report(self, folder: Path) -> Path:
        """Return the path of the report."""
        return folder / "reports" / f"{self.mechanism}-{self.day}-{self.seed}.json"


@dataclass(frozen=True, slots=True)
class Difference:
    """The contribution of a mechanism: results of the unchanged code less those without it."""

    mechanism: str
    differences: tuple[float, ...]
    broken: int
    """Number of days without the mechanism on which a rule was broken or the system failed."""

    @classmethod
    def from_reports(
        cls, mechanism: str, pairs: Iterable[tuple[dict[str, Any], dict[str, Any]]]
    ) -> Difference:
        """Compare pairs of reports of the same day, with and without the mechanism."""
        known = list(pairs)
        differences = tuple(unchanged["G"] - without["G"] for unchanged, without in known)
        broken = sum(bool(without["breaks"] or without["fault"]) for _, without in known)
        return cls(mechanism, differences, broken)

    @property
    def row(self) -> str:
        """Return the table row with mean, standard error and number of days."""
        mean = statistics.mean(self.differences)
        count = len(self.differences)
        error = statistics.stdev(self.differences) / count**0.5 if count > 1 else 0.0
        return f"| {self.mechanism} | {mean:+.4f} | {error:.4f} | {count} | {self.broken} |"


def scratch_copy(folder: Path, mechanism: str) -> Path:
    """Create a checkout without a mechanism, unless there is one, and return its path."""
    copy = folder / "copies" / mechanism
    if not copy.exists():
        subprocess.run(["git", "worktree", "add", "-q", "--detach", copy, "HEAD"], check=True)
        if mechanism != WHOLE:
            patch = (PATCHES / f"{mechanism}.patch").resolve()
            subprocess.run(["git", "apply", patch], cwd=copy, check=True)
    return copy


def run_play(bench: Path, site: Path, folder: Path, play: Play) -> None:
    """Replay a day and write its report, unless there is one."""
    report = play.report(folder)
    if report.exists():
        return
    why = f"Ablation: {play.mechanism}"
    with report.with_suffix(".log").open("w") as log:
        options = ["--seed", str(play.seed), "--report", str(report), "--why", why]
        subprocess.run(
            [str(bench), "run", str(site), play.day, *options],
            cwd=folder / "copies" / play.mechanism,
            stdout=log,
            stderr=subprocess.STDOUT,
            check=False,
        )


def table(folder: Path, plays: list[Play]) -> str:
    """Return the table of all mechanisms, over the days that have both reports."""
    reports = {
        play: orjson.loads(play.report(folder).read_bytes())
        for play in plays
        if play.report(folder).exists()
    }
    lines = ["| mechanism | worth | error of the mean | days | broken |", "|---|---|---|---|---|"]
    for mechanism in sorted({play.mechanism for play in reports} - {WHOLE}):
        pairs = [
            (reports[unchanged], report)
            for play, report in reports.items()
            if play.mechanism == mechanism
            and (unchanged := Play(WHOLE, play.day, play.seed)) in reports
        ]
        if pairs:
            lines.append(Difference.from_reports(mechanism, pairs).row)
    return "\n".join(lines)


def main() -> int:
    """Run the plays without a report, and print the table."""
    options = docopt(__doc__ or "")
    bench, site = Path(options["BENCH"]).resolve(), Path(options["SITE"]).resolve()
    folder = Path(options["FOLDER"]).resolve()
    (folder / "reports").mkdir(parents=True, exist_ok=True)
    known = sorted(path.stem for path in PATCHES.glob("*.patch"))
    selected = options["--only"].split(",") if options["--only"] else known
    mechanisms = [WHOLE, *selected]
    for mechanism in mechanisms:
        scratch_copy(folder, mechanism)
    plays = [
        Play(mechanism, day, int(seed))
        for seed in options["--seeds"].split(",")
        for day in options["--days"].split(",")
        for mechanism in mechanisms
    ]
    with ThreadPoolExecutor(int(options["--jobs"])) as threads:
        list(threads.map(lambda play: run_play(bench, site, folder, play), plays))
    print(table(folder, plays))
    return 0


if __name__ == "__main__":
    sys.exit(main())
