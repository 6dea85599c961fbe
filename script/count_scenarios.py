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
    for name in known_names(Path(known_file)):
        red = [one for one in bad if one == name or one.startswith(f"{name}{OF_OUTLINE}")]
        failed -= len(red)
        print(f"known red: {name}" if red else f"listed as known red but not failed: {name}")
    if exit_code != 0 and not bad:
        failed = max(1, failed)
    print(f"{passed} passed, {max(0, failed)} failed")
    return 1 if failed > 0 else 0


def known_names(path: Path) -> list[str]:
    """Return the names of the scenarios that are known to fail."""
    lines = path.read_text().splitlines() if path.exists() else []
    return [line.split(",")[0].strip() for line in lines if line.strip()]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
