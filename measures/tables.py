"""Generate the tables of the design notes from the recorded comparisons of methods."""

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
    for run in sorted(runs, key=lambda run: (run["deployment"], run["rate"], run["seed"])):
        out[run["deployment"], run["rate"]].append(run)
    return out


def row_of(run: dict[str, Any], method: str) -> dict[str, Any]:
    """Return the results of one method."""
    found: dict[str, Any] = next(row for row in run["rows"] if row["method"] == method)
    return found


def _format_spread(values: list[float], digits: int = 0) -> str:
    """Return the median and the range as a text."""
    median = statistics.median(values)
    return f"{median:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def _format_cell(runs: list[dict[str, Any]], method: str, field: str, digits: int = 0) -> str:
    """Return the median and the range of one method's figure over the seeds."""
    return _format_spread([row_of(run, method)[field] for run in runs], digits)


def forecast_table() -> str:
    """Return the table of the methods' stalls, preemptions and token rates."""
    head = "| workload | method | first kind's stall p99, ms | long prompts' stall p99, s "
    lines = [head + "| preemptions per 1,000 | tokens/s |", "|---|---|---|---|---|---|"]
    for (deployment, rate), runs in grouped(load(DECISIONS)).items():
        for method in ("first_come", "worst_case", "forecast", "oracle"):
            stall = [row_of(run, method)["long_stall_p99_ms"] / 1000 for run in runs]
            lines.append(
                f"| {deployment} {rate:g}/s | `{method}` "
                f"| {_format_cell(runs, method, 'first_stall_p99_ms')} "
                f"| {_format_spread(stall, 1)} "
                f"| {_format_cell(runs, method, 'preemptions_per_1000', 1)} "
                f"| {_format_cell(runs, method, 'tokens_per_second')} |"
            )
    return "\n".join(["Median over seeds 201 to 205 (range):", "", *lines])


def long_table() -> str:
    """Return the table of token gaps and long prompts' stalls in the enrolment deployment."""
    head = "| rate | seed | gap p95 `first_come` | `forecast` | `oracle` "
    head += "| long stall p99 `first_come` | `forecast` | ratio |"
    lines = [head, "|---|---|---|---|---|---|---|---|"]
    for (deployment, rate), runs in grouped(load(DECISIONS)).items():
        if deployment != "enrolment":
            continue
        for run in runs:
            forecast, first_come = row_of(run, "forecast"), row_of(run, "first_come")
            oracle = row_of(run, "oracle")
            ratio = forecast["long_stall_p99_ms"] / first_come["long_stall_p99_ms"]
            lines.append(
                f"| {rate:g}/s | {run['seed']} | {first_come['first_gap_p95_ms']} ms "
                f"| {forecast['first_gap_p95_ms']} ms | {oracle['first_gap_p95_ms']} ms "
                f"| {first_come['long_stall_p99_ms'] / 1000:.1f} s "
                f"| {forecast['long_stall_p99_ms'] / 1000:.1f} s | {ratio:.2f} |"
            )
    return "\n".join(lines)


def refuse_table() -> str:
    """Return the table of runs with refusals, floods, drift or slow progress reports."""
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
