"""Switch off one mechanism after the other, and play days with each.

Usage:
  ablation BENCH SITE FOLDER [--days=NAMES] [--seeds=NUMBERS] [--jobs=N] [--only=NAMES]

Options:
  --days=NAMES     Days that are played [default: quiet-1,trouble-3,scale-1].
  --seeds=NUMBERS  Seeds of each day [default: 11,12,13].
  --jobs=N         Plays at a time [default: 4].
  --only=NAMES     Mechanisms that are switched off; all of measures/ablations without it.

BENCH is the program that plays days, SITE its file, FOLDER where scratch copies and reports go.
Each copy is a checkout of the newest commit with one patch. What has a report already is not played
again.
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
"""Names the code as it is."""


@dataclass(frozen=True, slots=True)
class Play:
    """Name one play."""

    mechanism: str
    day: str
    seed: int

    def report(self, folder: Path) -> Path:
        """Return where its report is written."""
        return folder / "reports" / f"{self.mechanism}-{self.day}-{self.seed}.json"


@dataclass(frozen=True, slots=True)
class Difference:
    """Hold what a mechanism is worth: the code as it is, less the code without it."""

    mechanism: str
    differences: tuple[float, ...]
    broken: int
    """Days without it on which a rule was broken or the system failed."""

    @classmethod
    def from_reports(
        cls, mechanism: str, pairs: Iterable[tuple[dict[str, Any], dict[str, Any]]]
    ) -> Difference:
        """Compare reports of the same days, the code as it is first."""
        known = list(pairs)
        differences = tuple(whole["G"] - without["G"] for whole, without in known)
        broken = sum(bool(one["breaks"] or one["fault"]) for _, one in known)
        return cls(mechanism, differences, broken)

    @property
    def row(self) -> str:
        """Return it as a row of a table."""
        mean = statistics.mean(self.differences)
        count = len(self.differences)
        error = statistics.stdev(self.differences) / count**0.5 if count > 1 else 0.0
        return f"| {self.mechanism} | {mean:+.4f} | {error:.4f} | {count} | {self.broken} |"


def scratch_copy(folder: Path, mechanism: str) -> Path:
    """Return a checkout without a mechanism."""
    copy = folder / "copies" / mechanism
    if not copy.exists():
        subprocess.run(["git", "worktree", "add", "-q", "--detach", copy, "HEAD"], check=True)
        if mechanism != WHOLE:
            patch = (PATCHES / f"{mechanism}.patch").resolve()
            subprocess.run(["git", "apply", patch], cwd=copy, check=True)
    return copy


def play(bench: Path, site: Path, folder: Path, one: Play) -> None:
    """Play one day, and leave its report."""
    report = one.report(folder)
    if report.exists():
        return
    why = f"Ablation: {one.mechanism}"
    with report.with_suffix(".log").open("w") as log:
        wanted = ["--seed", str(one.seed), "--report", str(report), "--why", why]
        subprocess.run(
            [str(bench), "run", str(site), one.day, *wanted],
            cwd=folder / "copies" / one.mechanism,
            stdout=log,
            stderr=subprocess.STDOUT,
            check=False,
        )


def table(folder: Path, plays: list[Play]) -> str:
    """Return what each mechanism is worth, over the days that have both reports."""
    reports = {
        one: orjson.loads(one.report(folder).read_bytes())
        for one in plays
        if one.report(folder).exists()
    }
    lines = ["| mechanism | worth | error of the mean | days | broken |", "|---|---|---|---|---|"]
    for mechanism in sorted({one.mechanism for one in reports} - {WHOLE}):
        pairs = [
            (reports[whole], told)
            for one, told in reports.items()
            if one.mechanism == mechanism and (whole := Play(WHOLE, one.day, one.seed)) in reports
        ]
        if pairs:
            lines.append(Difference.from_reports(mechanism, pairs).row)
    return "\n".join(lines)


def main() -> int:
    """Play what has no report yet, and print the table."""
    options = docopt(__doc__ or "")
    bench, site = Path(options["BENCH"]).resolve(), Path(options["SITE"]).resolve()
    folder = Path(options["FOLDER"]).resolve()
    (folder / "reports").mkdir(parents=True, exist_ok=True)
    known = sorted(path.stem for path in PATCHES.glob("*.patch"))
    wanted = options["--only"].split(",") if options["--only"] else known
    mechanisms = [WHOLE, *wanted]
    for mechanism in mechanisms:
        scratch_copy(folder, mechanism)
    plays = [
        Play(mechanism, day, int(seed))
        for seed in options["--seeds"].split(",")
        for day in options["--days"].split(",")
        for mechanism in mechanisms
    ]
    with ThreadPoolExecutor(int(options["--jobs"])) as threads:
        list(threads.map(lambda one: play(bench, site, folder, one), plays))
    print(table(folder, plays))
    return 0


if __name__ == "__main__":
    sys.exit(main())
