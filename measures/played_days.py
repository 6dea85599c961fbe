"""Read a played day from its log and its report, and translate their words."""

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
"""Forecast from which a stream counts as a long one."""
EVENT_TOKENS: Final = 4
PART_NAMES: Final = {"whole": "whole day", "windows": "worst windows", "worst_kind": "worst class"}
FIXED_PRICES: Final = frozenset({"machine-seconds", "memory, GB x seconds", "processor seconds"})
LOST_WAYS: Final = frozenset({"500 from a server", "no connection"})


def read_day(log: Path, report: Path) -> PlayedDay:
    """Return a day from the instances' lines and the report of its play."""
    told: dict[str, Any] = orjson.loads(report.read_bytes())
    parts = {name: weight for name, weight, _ in told["parts"]}
    classes = told["classes"]
    ends_s = _closing(told["events"])
    streams = read_streams(log, ends_s)
    return PlayedDay(
        name=report.stem,
        worth=told["G"],
        weights=Weights(
            nines=parts.get("nines", 0.0),
            **{ours: parts.get(name, 0.0) for ours, name in PART_NAMES.items()},
        ),
        asked=told["all"]["n"],
        calls=sum(one["n"] for one in classes[2:]),
        failed=told["all"]["failed"],
        lost_calls=sum(one[1] for one in told["unserved_by"] if one[0] in LOST_WAYS),
        prices=sum(one[2] for one in told["prices"]),
        fixed_prices=sum(one[2] for one in told["prices"] if one[0] in FIXED_PRICES),
        streams=streams,
        ends_s=ends_s,
    )


def read_streams(log: Path, ends_s: float | None) -> tuple[PlacedStream, ...]:
    """Return the streams that instances have placed, by their lines.

    One that was open when all instances ended has made what others make in that time, or more.
    """
    placed: dict[str, tuple[float, int]] = {}
    ended: dict[str, tuple[float, int]] = {}
    for at, told in _lines(log):
        message = told.get("message", "")
        if "A stream is placed" in message:
            placed.setdefault(told["request"], (at, told["expected"]))
        elif "A stream has ended whole" in message:
            ended[told["request"]] = (at, told["events"] * EVENT_TOKENS)
    rates = [
        tokens / (at - placed[request][0])
        for request, (at, tokens) in ended.items()
        if request in placed and tokens >= LONG_TOKENS and at > placed[request][0]
    ]
    rate = statistics.median(rates) if rates else 0.0
    return tuple(
        PlacedStream(
            at,
            ended[request][1] if request in ended else _least_tokens(at, expected, rate, ends_s),
            expected >= LONG_TOKENS,
            request in ended,
        )
        for request, (at, expected) in placed.items()
    )


def _least_tokens(placed_s: float, expected: int, rate: float, ends_s: float | None) -> int:
    """Return the tokens of a stream that never ended: its forecast, or what it must have made."""
    if ends_s is None or expected < LONG_TOKENS:
        return expected
    return max(expected, int(rate * (ends_s - placed_s)))


def _lines(log: Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield the instances' lines with their times in seconds."""
    with log.open() as lines:
        for line in lines:
            found = LINE.match(line)
            if found is None:
                continue
            try:
                yield float(found[1]), orjson.loads(found[2])
            except orjson.JSONDecodeError:
                # A line of another program.
                continue


def _closing(events: list[dict[str, Any]]) -> float | None:
    """Return when all instances ended; None where they did not."""
    starts = [one["at_s"] for one in events if one["kind"].startswith("closing")]
    return float(starts[0]) if starts else None
