"""Make the tables of the design notes from the recorded comparisons."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import orjson

DECISIONS: Final = Path("docs/results/decisions.jsonl")
EXTRA: Final = Path("docs/results/extra.jsonl")
Runs = dict[tuple[str, float], list[dict[str, Any]]]


def load(path: Path) -> list[dict[str, Any]]:
    """Return the recorded comparisons of a file."""
    return [orjson.loads(line) for line in path.read_text().splitlines()]


def grouped(runs: list[dict[str, Any]]) -> Runs:
    """Group comparisons by deployment and rate."""
    out: Runs = defaultdict(list)
    for one in sorted(runs, key=lambda one: (one["deployment"], one["rate"], one["seed"])):
        out[one["deployment"], one["rate"]].append(one)
    return out


def row_of(run: dict[str, Any], method: str) -> dict[str, Any]:
    """Return one method's figures."""
    found: dict[str, Any] = next(one for one in run["rows"] if one["method"] == method)
    return found


def _spread(values: list[float], digits: int = 0) -> str:
    """Return a median with its range."""
    middle = statistics.median(values)
    return f"{middle:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def _column(runs: list[dict[str, Any]], method: str, field: str, digits: int = 0) -> str:
    """Return one method's figure over the seeds."""
    return _spread([row_of(one, method)[field] for one in runs], digits)


def forecast_table() -> str:
    """Compare the methods on the first rank, long prompts and preemptions."""
    head = "| workload | method | first kind's stall p99, ms | long prompts' stall p99, s "
    lines = [head + "| preemptions per 1,000 | tokens/s |", "|---|---|---|---|---|---|"]
    for (deployment, rate), runs in grouped(load(DECISIONS)).items():
        for method in ("first_come", "worst_case", "forecast", "oracle"):
            stall = [row_of(one, method)["long_stall_p99_ms"] / 1000 for one in runs]
            lines.append(
                f"| {deployment} {rate:g}/s | `{method}` "
                f"| {_column(runs, method, 'first_stall_p99_ms')} | {_spread(stall, 1)} "
                f"| {_column(runs, method, 'preemptions_per_1000', 1)} "
                f"| {_column(runs, method, 'tokens_per_second')} |"
            )
    return "\n".join(["Median over seeds 201 to 205 (range):", "", *lines])


def long_table() -> str:
    """Compare token gaps and long prompts in the enrolment deployment."""
    head = "| rate | seed | gap p95 `first_come` | `forecast` | `oracle` "
    head += "| long stall p99 `first_come` | `forecast` | ratio |"
    lines = [head, "|---|---|---|---|---|---|---|---|"]
    for (deployment, rate), runs in grouped(load(DECISIONS)).items():
        if deployment != "enrolment":
            continue
        for run in runs:
            ours, base = row_of(run, "forecast"), row_of(run, "first_come")
            limit = row_of(run, "oracle")
            ratio = ours["long_stall_p99_ms"] / base["long_stall_p99_ms"]
            lines.append(
                f"| {rate:g}/s | {run['seed']} | {base['first_gap_p95_ms']} ms "
                f"| {ours['first_gap_p95_ms']} ms | {limit['first_gap_p95_ms']} ms "
                f"| {base['long_stall_p99_ms'] / 1000:.1f} s "
                f"| {ours['long_stall_p99_ms'] / 1000:.1f} s | {ratio:.2f} |"
            )
    return "\n".join(lines)


def refuse_table() -> str:
    """Show refusals, returns, floods, drift and slow progress reports."""
    lines = [
        "| run | seed | method | first stall p99, ms | others' stall p99, s "
        "| preemptions per 1,000 | returns | refused again |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for run in load(EXTRA):
        for method in ("first_come", "forecast", "oracle"):
            row = row_of(run, method)
            lines.append(
                f"| {run['label']} | {run['seed']} | `{method}` "
                f"| {row['first_stall_p99_ms']:.0f} "
                f"| {row['others_stall_p99_ms'] / 1000:.1f} | {row['preemptions_per_1000']} "
                f"| {row['returns']} | {row['returns_refused']} |"
            )
    return "\n".join(lines)


TABLES: Final[dict[str, Callable[[], str]]] = {
    "forecast": forecast_table,
    "long": long_table,
    "refuse": refuse_table,
}
