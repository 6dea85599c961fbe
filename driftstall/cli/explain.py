"""Collect the log lines about one request from the logs of many instances."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import orjson

from driftstall.cli.explain_queue import summarize_queue

HIDDEN: Final = frozenset(
    {"timestamp", "message", "message_type", "request", "task_level", "task_uuid"}
)
UPSTREAM_FIELDS: Final = ("upstream", "source", "left")
"""Log fields that name an upstream to which the request was sent."""
CRASH: Final = "crash"
"""Word in the message of each log line about an upstream that terminated while it ran requests."""
CONTEXT_S: Final = 0.5
"""Lines about the request's upstreams are shown from this long before its first line to this long
after its last one."""


@dataclass(frozen=True, slots=True)
class Line:
    """A log line and the instance that wrote it."""

    at: float
    origin: str
    fields: dict[str, Any]

    @property
    def message(self) -> str:
        """Return the line's message."""
        return str(self.fields.get("message", ""))


def explain_request(request_id: str, files: list[str]) -> int:
    """Print a request's log lines and those about its upstreams and crashes, ordered by time.

    Then the request's way through the queue for engine memory is summarized.

    Returns the exit code: 1 if no line names the request.
    """
    lines = list(_read_all(files))
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        print(f"driftstall: no line names the request {request_id}", file=sys.stderr)
        return 1
    begin, end = min(line.at for line in own), max(line.at for line in own)
    upstreams = _find_upstreams(own)
    origins = {line.origin for line in own}
    context = [
        line
        for line in lines
        if "request" not in line.fields
        and line.origin in origins
        and begin - CONTEXT_S <= line.at <= end + CONTEXT_S
        and any(upstream in line.message for upstream in upstreams)
    ]
    crashes = [
        line for line in lines if line not in own and _is_crash(line, _find_fingerprints(own))
    ]
    for line in sorted([*own, *context, *crashes], key=lambda line: line.at):
        print(_format_line(line, begin))
    ordered = sorted(own, key=lambda line: line.at)
    for sentence in summarize_queue((line.origin, line.fields) for line in ordered):
        print(f"engine memory: {sentence}")
    return 0


def _find_fingerprints(lines: Iterable[Line]) -> set[str]:
    """Return a request's fingerprint and prompt parts, which requests with other ids share."""
    found: set[str] = set()
    for line in lines:
        found |= {str(line.fields["fingerprint"])} if "fingerprint" in line.fields else set()
        found |= {str(part) for part in line.fields.get("parts", ())}
    return found


def _is_crash(line: Line, fingerprints: set[str]) -> bool:
    """Return True if a line reports a crash under the same request, at any time and instance."""
    named = {line.fields.get("fingerprint"), *line.fields.get("fingerprints", ())}
    if "fingerprints" in line.fields:
        named.update(*line.fields.get("parts", ()))
    return CRASH in line.message and bool(named & fingerprints)


def _find_upstreams(lines: Iterable[Line]) -> set[str]:
    """Return the upstreams that are named in the fields or messages of a request's lines."""
    upstreams: set[str] = set()
    for line in lines:
        upstreams |= {str(line.fields[name]) for name in UPSTREAM_FIELDS if line.fields.get(name)}
        upstreams |= {word.strip(":,.") for word in line.message.split() if word.startswith("i-")}
    return upstreams


def _format_line(line: Line, begin: float) -> str:
    """Format a line: time since the request's first line, instance, message, fields."""
    shown = {name: value for name, value in line.fields.items() if name not in HIDDEN}
    details = " ".join(
        f"{name}={value}" for name, value in shown.items() if value not in ("", None)
    )
    return f"{line.at - begin:+9.3f} s  {line.origin:<24} {line.message}  {details}".rstrip()


def _read_all(files: list[str]) -> Iterator[Line]:
    """Yield the lines of all files, or of standard input if no files are given."""
    if not files:
        yield from _read("", sys.stdin)
    for name in files:
        with Path(name).open(errors="replace") as text:
            yield from _read(Path(name).stem, text)


def _read(origin: str, text: Iterable[str]) -> Iterator[Line]:
    """Yield JSON log lines, skipping other lines.

    The last word before the JSON names the instance, as log collectors write it; without one the
    line belongs to `origin`.
    """
    for raw in text:
        before, brace, after = raw.partition("{")
        if not brace:
            continue
        try:
            fields = orjson.loads(brace + after)
        except orjson.JSONDecodeError:
            continue
        words = before.split()
        if "timestamp" in fields:
            yield Line(float(fields["timestamp"]), words[-1] if words else origin, fields)
