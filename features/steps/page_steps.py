"""Test that the documentation matches the code and the recorded runs."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from behave import then

from driftstall import const
from driftstall.cli import main as command
from driftstall.daemon.settings import Settings
from driftstall.daemon.stats import COUNTERS, GAUGES
from features.worlds.paths import PATHS
from measures.pages import update_figures


@then("the pages' figures are those of the recorded runs")
def figures_hold(context: Any) -> None:
    """Regenerate the figures and compare."""
    for path in sorted(Path("docs").rglob("*.md")):
        text = path.read_text()
        assert update_figures(text) == text, f"{path} is old: run script/measure pages"


@then("every setting, metric, log prefix, problem code and exit code is in the operators' page")
def names_hold(context: Any) -> None:
    """Search the page for every name."""
    page = Path("docs/OPERATIONS.md").read_text()
    names = [f"--{field.name.replace('_', '-')}" for field in dataclasses.fields(Settings)]
    names += [f"{name}_total" for name in COUNTERS] + list(GAUGES)
    for name, value in vars(const).items():
        if name.startswith(("PREFIX_", "CODE_")):
            names.append(str(value))
    codes = [value for name, value in vars(command).items() if name.startswith("EXIT_")]
    names += [f"| {code} |" for code in codes]
    missing = [name for name in names if name not in page]
    assert not missing, missing


@then("every fault and path of the matrix is in the proofs' page")
def proofs_hold(context: Any) -> None:
    """Search the page for every path and fault."""
    page = Path("docs/PROOFS.md").read_text()
    names = list(PATHS) + [fault for path in PATHS.values() for fault in path.faults]
    missing = [name for name in names if name not in page]
    assert not missing, missing
