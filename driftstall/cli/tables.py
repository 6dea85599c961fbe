"""Print the status as tables."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def print_status(status: dict[str, Any]) -> None:
    """Print an instance's status: key figures, instances, runners and groups."""
    print(
        f"instance {status['instance']}, {status['phase']}, "
        f"policy {status['policy'] or 'none'}, generation {status['generation']}"
    )
    gauges = status["gauges"]
    print(
        f"waiting {gauges['waiting_requests']:.0f}, "
        f"memory {gauges['memory_share']:.0%}, requests {status['counters']['requests']}, "
        f"refused {status['counters']['refused']}"
    )
    print()
    print_table(("INSTANCE", "ZONE", "ADDRESS", "STATE"), status["instances"])
    print()
    columns = ("RUNNER", "ZONE", "SERVES", "STATE", "OPEN", "MEMORY", "FORECAST")
    print_table(columns, status["runners"])
    print()
    for name, group in sorted(status["groups"].items()):
        print(f"group {name}: owner {group['owner']}, runners {', '.join(group['runners'])}")


def print_table(columns: Sequence[str], rows: list[dict[str, Any]]) -> None:
    """Print rows as a sorted table; each column shows the field of its name in lower case."""
    cells = [[_format_cell(row[name.lower()]) for name in columns] for row in rows]
    widths = [
        max([len(name), *(len(row[index]) for row in cells)]) for index, name in enumerate(columns)
    ]
    for row in [list(columns), *sorted(cells)]:
        print(
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        )


def _format_cell(value: Any) -> str:
    """Format a value; None becomes a dash."""
    return "-" if value is None else str(value)
