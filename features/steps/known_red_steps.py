"""Test the summary of a test run with known failures."""

from __future__ import annotations

import contextlib
import io
import re
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then

from script.count_scenarios import main

ALL = ("one, of many", "two", "one")


@given("a test run in which {failed} failed")
def test_run(context: Any, failed: str) -> None:
    """Write the output of a run in behave's format."""
    context.folder = Path(tempfile.mkdtemp())
    names = re.findall(r'"([^"]+)"', failed)
    lines = [f"  {name}  ...{'F' * (name in names)}" for name in ALL]
    if names:
        lines += ["Failing scenarios:"]
        lines += [f"  features/parts/x.feature:{line}  {name}" for line, name in enumerate(names)]
    lines.append(f"{len(ALL) - len(names)} scenarios passed, {len(names)} failed, 0 skipped")
    (context.folder / "output").write_text("\n".join(lines))
    context.exit_code = int(bool(names))


@given('scenario "{name}" is listed as a known fault')
def listed(context: Any, name: str) -> None:
    """Write the list of known failures."""
    (context.folder / "known").write_text(f"{name}, a cause, an issue\n")


@then('its last line is "{line}" and it ends with {code:d}')
def counted(context: Any, line: str, code: int) -> None:
    """Run the summary, and check its last line and its exit code."""
    printed = io.StringIO()
    output, known = str(context.folder / "output"), str(context.folder / "known")
    with contextlib.redirect_stdout(printed):
        ended = main(output, known, context.exit_code)
    assert (printed.getvalue().splitlines()[-1], ended) == (line, code), printed.getvalue()
