"""Summarize how a request waited for engine memory, from its log lines."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any, Final

WAITS: Final = "A stream waits for engine memory"
GRANTED: Final = re.compile(r"Engine memory on (\S+) is granted")
REFUSED: Final = "No engine memory in time for a request"
NO_ANSWER: Final = re.compile(r"No answer about engine memory from (\S+) in time")


def summarize_queue(lines: Iterable[tuple[str, dict[str, Any]]]) -> list[str]:
    """Return a sentence for each event in the queue, given origin and fields of ordered lines."""
    sentences = [_summarize(origin, fields) for origin, fields in lines]
    return [sentence for sentence in sentences if sentence]


def _summarize(origin: str, fields: dict[str, Any]) -> str:
    """Return the sentence for one line; empty if the line is not about engine memory."""
    message = str(fields.get("message", ""))
    if WAITS in message:
        return (
            f"waits at rank {fields['rank']} in the queue of {fields['placer']}: "
            f"{fields['position']} requests were before it"
        )
    if match := GRANTED.search(message):
        return (
            f"granted on {match[1]} by {origin} after {_seconds(fields['waited_ms'] / 1000)}"
            f"{_forecast(fields)}, {fields['position']} requests were before it on arrival"
        )
    if REFUSED in message:
        return (
            f"refused by {origin} after {_seconds(fields['waited_ms'] / 1000)}: it would start in "
            f"{_seconds(fields['forecast_s'])}, its caller gives up in "
            f"{_seconds(fields['gives_up_s'])}; told to return after "
            f"{_seconds(fields['retry_after_s'])}"
        )
    if match := NO_ANSWER.search(message):
        following = f"asked {fields['next']}" if fields.get("next") else "no other placer is left"
        return f"no answer from {match[1]} in time, {following}"
    return ""


def _forecast(fields: dict[str, Any]) -> str:
    """Return the forecast wait of a granted request; one granted at once has none."""
    forecast_s = fields.get("forecast_s")
    return "" if forecast_s is None else f" (forecast {_seconds(forecast_s)})"


def _seconds(value: float | None) -> str:
    """Format a time; None stands for one that is not expected at all."""
    return "an unknown time" if value is None else f"{value:.3f} s"
