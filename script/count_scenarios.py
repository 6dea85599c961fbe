"""Count the scenarios of a test run and end with one line: N passed, N failed.

Usage: count_scenarios OUTPUT KNOWN_RED EXIT_CODE. Scenarios that have failed and are listed
in the file of known faults (one line each: test, cause, issue) are printed and do not fail
the run. One that is listed and has passed is printed as well: its line is to be taken out.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

COUNTS = re.compile(r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?")
ENDED_BADLY = re.compile(r"^  \S+\.feature:\d+  (.*?) *$", re.MULTILINE)
"""A line of the lists of failed and of errored scenarios, at the end of the output."""
SHOWN = re.compile(r"^  (\S.*?)  [.A-Z]*$", re.MULTILINE)
"""A scenario's line in the course of the run."""
OF_OUTLINE = " -- @"
"""Follows the name of an outline where behave names one of its examples."""


def main(output: str, known_file: str, exit_code: int) -> int:
    """Print the count; zero only if nothing failed but what is known."""
    text = Path(output).read_text()
    found = COUNTS.search(text)
    if found is None:
        print("0 passed, 1 failed")
        return 1
    passed = int(found.group(1))
    failed = int(found.group(2)) + int(found.group(3) or 0)
    bad = ENDED_BADLY.findall(text)
    names = {_scenario(name) for name in [*SHOWN.findall(text), *bad]}
    for line in known_lines(Path(known_file)):
        # A name may hold commas, and begin as another one does: the longest is meant.
        known = max((one for one in names if line.startswith(f"{one},")), key=len, default="")
        red = [one for one in bad if _scenario(one) == known]
        failed -= len(red)
        print(f"known red: {line}" if red else f"listed as known red but not failed: {line}")
    if exit_code != 0 and not bad:
        failed = max(1, failed)
    print(f"{passed} passed, {max(0, failed)} failed")
    return 1 if failed > 0 else 0


def _scenario(name: str) -> str:
    """Return a scenario's name without the number of an outline's example."""
    return name.partition(OF_OUTLINE)[0].strip()


def known_lines(path: Path) -> list[str]:
    """Return the lines of the known faults; each begins with its scenario's name."""
    lines = path.read_text().splitlines() if path.exists() else []
    return [line.strip() for line in lines if line.strip()]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
