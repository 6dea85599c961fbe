"""Read a played day from the log of its instances and its report."""

from __future__ import annotations

import re
import statistics
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import orjson

from measures.day_limit import PlacedStream, PlayedDay, Weights

LINE: Final = re.compile(r"\s*(-?[\d.]+) \S+ (\{.*\})")
LONG_TOKENS: Final = 100
"""Forecast output from which a stream counts as long."""
EVENT_TOKENS: Final = 4
PART_NAMES: Final = {"whole": "whole day", "windows": "worst windows", "worst_kind": "worst class"}
FIXED_PRICES: Final = frozenset({"machine-seconds", "memory, GB x seconds", "processor seconds"})
UNAVOIDABLE_FAILURES: Final = frozenset({"500 from a server", "no connection"})


def read_day(log: Path, report: Path) -> PlayedDay:
    """Return a day from the log of its instances and the report of its play."""
    values: dict[str, Any] = orjson.loads(report.read_bytes())
    parts = {name: weight for name, weight, _ in values["parts"]}
    classes = values["classes"]
    ends_s = _find_closing(values["events"])
    streams = read_streams(log, ends_s)
    return PlayedDay(
        name=report.stem,
        worth=values["G"],
        weights=Weights(
            nines=parts.get("nines", 0.0),
            **{field: parts.get(name, 0.0) for field, name in PART_NAMES.items()},
        ),
        asked=values["all"]["n"],
        calls=sum(row["n"] for row in classes[2:]),
        failed=values["all"]["failed"],
        lost_calls=sum(row[1] for row in values["unserved_by"] if row[0] in UNAVOIDABLE_FAILURES),
        prices=sum(row[2] for row in values["prices"]),
        fixed_prices=sum(row[2] for row in values["prices"] if row[0] in FIXED_PRICES),
        streams=streams,
        ends_s=ends_s,
    )


def read_streams(log: Path, ends_s: float | None) -> tuple[PlacedStream, ...]:
    """Return the streams that instances have placed, from their log lines.

    A stream that was open when all instances ended counts with its forecast, or with the tokens
    that other streams generate in the time that it was open, if these are more.
    """
    placed: dict[str, tuple[float, int]] = {}
    ended: dict[str, tuple[float, int]] = {}
    for at, line in _read_lines(log):
        message = line.get("message", "")
        if "A stream is placed" in message:
            placed.setdefault(line["request"], (at, line["expected"]))
        elif "A stream has ended whole" in message:
            ended[line["request"]] = (at, line["events"] * EVENT_TOKENS)
    rates = [
        tokens / (at - placed[request][0])
        for request, (at, tokens) in ended.items()
        if request in placed and tokens >= LONG_TOKENS and at > placed[request][0]
    ]
    rate = statistics.median(rates) if rates else 0.0
    return tuple(
        PlacedStream(
            at,
            ended[request][1] if request in ended else _min_tokens(at, expected, rate, ends_s),
            expected >= LONG_TOKENS,
            request in ended,
        )
        for request, (at, expected) in placed.items()
    )


def _min_tokens(placed_s: float, expected: int, rate: float, ends_s: float | None) -> int:
    """Return the minimum tokens of a stream that never ended, at a rate of tokens a second."""
    if ends_s is None or expected < LONG_TOKENS:
        return expected
    return max(expected, int(rate * (ends_s - placed_s)))


def _read_lines(log: Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield the JSON lines of the instances with their times in seconds."""
    with log.open() as lines:
        for line in lines:
            found = LINE.match(line)
            if found is None:
                continue
            try:
                yield float(found[1]), orjson.loads(found[2])
            except orjson.JSONDecodeError:
                # The line is from another program.
                continue


def _find_closing(events: list[dict[str, Any]]) -> float | None:
    """Return the time at which all instances ended, or None if they did not."""
    starts = [event["at_s"] for event in events if event["kind"].startswith("closing")]
    return float(starts[0]) if starts else None
