"""Tell one request's story from the logs of many instances."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import orjson

HIDDEN: Final = frozenset(
    {"timestamp", "message", "message_type", "request", "task_level", "task_uuid"}
)
NAMES_UPSTREAM: Final = ("upstream", "source", "left")
"""Fields that name an upstream which the request has met."""
CRASH: Final = "crash"
"""Stands in each line about an upstream's end under requests."""
AROUND_S: Final = 0.5
"""Lines about an upstream that the request met are shown from so long before to after it."""


@dataclass(frozen=True, slots=True)
class Line:
    """Hold one log line and where it was written."""

    at: float
    origin: str
    fields: dict[str, Any]

    @property
    def message(self) -> str:
        """Return the sentence."""
        return str(self.fields.get("message", ""))


def explain_request(request_id: str, files: list[str]) -> int:
    """Print a request's lines, and what its instances said of its upstreams, in order of time."""
    lines = list(_read_all(files))
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        print(f"driftstall: no line names the request {request_id}", file=sys.stderr)
        return 1
    begin, end = min(line.at for line in own), max(line.at for line in own)
    met = _upstreams_met(own)
    origins = {line.origin for line in own}
    around = [
        line
        for line in lines
        if "request" not in line.fields
        and line.origin in origins
        and begin - AROUND_S <= line.at <= end + AROUND_S
        and any(upstream in line.message for upstream in met)
    ]
    crashes = [line for line in lines if line not in own and _tells_crash(line, _asked(own))]
    for line in sorted([*own, *around, *crashes], key=lambda one: one.at):
        print(_shown(line, begin))
    return 0


def _asked(lines: Iterable[Line]) -> set[str]:
    """Return the fingerprints of a request, by which others that ask the same are known."""
    return {str(line.fields["fingerprint"]) for line in lines if "fingerprint" in line.fields}


def _tells_crash(line: Line, fingerprints: set[str]) -> bool:
    """Tell whether a line tells of a crash under the same request, at any time and instance."""
    told = {line.fields.get("fingerprint"), *line.fields.get("fingerprints", ())}
    return CRASH in line.message and bool(told & fingerprints)


def _upstreams_met(lines: Iterable[Line]) -> set[str]:
    """Return the upstreams that a request's lines name."""
    met: set[str] = set()
    for line in lines:
        met |= {str(line.fields[name]) for name in NAMES_UPSTREAM if line.fields.get(name)}
        met |= {word.strip(":,.") for word in line.message.split() if word.startswith("i-")}
    return met


def _shown(line: Line, begin: float) -> str:
    """Return a line for people: time since the request's first line, origin, sentence."""
    rest = {name: value for name, value in line.fields.items() if name not in HIDDEN}
    details = " ".join(f"{name}={value}" for name, value in rest.items() if value not in ("", None))
    return f"{line.at - begin:+9.3f} s  {line.origin:<24} {line.message}  {details}".rstrip()


def _read_all(files: list[str]) -> Iterator[Line]:
    """Read the lines of all files, or of standard input without any."""
    if not files:
        yield from _read("", sys.stdin)
    for name in files:
        with Path(name).open(errors="replace") as text:
            yield from _read(Path(name).stem, text)


def _read(origin: str, text: Iterable[str]) -> Iterator[Line]:
    """Read JSON lines; what stands before the JSON names the instance, as collectors do."""
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
