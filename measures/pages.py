"""Write the tables of measured figures into the pages, between their markers.

Usage:
  pages [--check]

Options:
  --check  Only compare the pages with the figures; end with 1 if one is old.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import Final

from docopt import docopt

from measures.capacity_page import capacity_figures
from measures.tables import TABLES

MARKED: Final = re.compile(r"(<!-- figures (\w+) -->\n)(.*?)(<!-- end of figures -->)", re.DOTALL)
MAKERS: Final = TABLES | {"capacity": capacity_figures}


def update_figures(text: str) -> str:
    """Return a page's text with its tables generated again from the results."""

    def replace(found: re.Match[str]) -> str:
        return f"{found.group(1)}\n{MAKERS[found.group(2)]()}\n\n{found.group(4)}"

    return MARKED.sub(replace, text)


def main() -> int:
    """Update the pages, or check that they are up to date."""
    options = docopt(__doc__ or "")
    outdated = []
    for path in sorted(Path("docs").rglob("*.md")):
        text = path.read_text()
        updated = update_figures(text)
        if updated == text:
            continue
        outdated.append(str(path))
        if not options["--check"]:
            path.write_text(updated)
    print("\n".join(f"{'old' if options['--check'] else 'renewed'}: {name}" for name in outdated))
    return 1 if outdated and options["--check"] else 0


if __name__ == "__main__":
    sys.exit(main())
