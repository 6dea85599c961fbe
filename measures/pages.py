"""Put measured figures into the pages, between their markers.

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
    """Return a page's text with its figures made anew."""

    def replace(found: re.Match[str]) -> str:
        return f"{found.group(1)}\n{MAKERS[found.group(2)]()}\n\n{found.group(4)}"

    return MARKED.sub(replace, text)


def main() -> int:
    """Renew the pages, or compare them."""
    options = docopt(__doc__ or "")
    old = []
    for path in sorted(Path("docs").rglob("*.md")):
        text = path.read_text()
        wanted = update_figures(text)
        if wanted == text:
            continue
        old.append(str(path))
        if not options["--check"]:
            path.write_text(wanted)
    print("\n".join(f"{'old' if options['--check'] else 'renewed'}: {one}" for one in old))
    return 1 if old and options["--check"] else 0


if __name__ == "__main__":
    sys.exit(main())
