"""Record the events and actions of a grants controller, and replay them.

A trace has one JSON object per line: the time, the event with its fields, and the
actions. Replaying the events on a new controller must give the same actions.
'driftstall policy try' reads the same format.
"""

from __future__ import annotations

import random
import typing
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TextIO

import orjson

from driftstall.controllers.grant_messages import Ask, GrantAction, GrantEvent
from driftstall.controllers.grants import GrantsController
from driftstall.core import Weights
from driftstall.decisions.lengths import LearnedLengths
from driftstall.util.dataclass_json import from_fields, to_fields

_EVENTS: Final = {event_type.__name__: event_type for event_type in typing.get_args(GrantEvent)}


@dataclass(frozen=True, slots=True)
class Difference:
    """A line whose replayed actions differ from the recorded ones."""

    line: int
    recorded: Any
    replayed: Any


def build_controller(group: str) -> GrantsController:
    """Return a controller whose actions depend only on its events."""
    return GrantsController(group, LearnedLengths(), random.Random(group))


class TraceRecorder:
    """Write a trace."""

    def __init__(self, out: TextIO) -> None:
        """Initialize with an open text file."""
        self._out = out

    @classmethod
    def to_path(cls, path: str) -> TraceRecorder:
        """Return a recorder that appends to a file for the life of the process."""
        return cls(Path(path).open("a", encoding="utf-8"))  # noqa: SIM115

    def record_weights(self, group: str, weights: Weights, overflow: float) -> None:
        """Record the weights of a policy that comes into force."""
        self._write({"group": group, "weights": to_fields(weights), "overflow": overflow})

    def record_event(
        self, group: str, event: GrantEvent, now: float, actions: list[GrantAction]
    ) -> None:
        """Record one event and its actions."""
        row: dict[str, Any] = {
            "group": group,
            "at": now,
            "event": type(event).__name__,
            "fields": to_fields(event),
            "actions": _describe_actions(actions),
        }
        if isinstance(event, Ask):
            request = event.request
            row["rule"] = event.verdict.rule
            row["facts"] = {
                "kind": request.kind,
                "workspace": request.workspace,
                "model": request.model,
                "input_tokens": request.input_tokens,
                "max_tokens": request.max_tokens,
                "load": 0.0,
                "hour": 12,
            }
        self._write(row)

    def _write(self, row: dict[str, Any]) -> None:
        """Write one line."""
        self._out.write(orjson.dumps(row).decode() + "\n")
        self._out.flush()


def _describe_actions(actions: list[GrantAction]) -> list[list[Any]]:
    """Return the name and the fields of each action."""
    return [[type(action).__name__, to_fields(action)] for action in actions]


def replay(lines: Iterable[str]) -> list[Difference]:
    """Replay a trace and return the lines whose actions differ."""
    controllers: dict[str, GrantsController] = {}
    differences = []
    for number, line in enumerate(lines, start=1):
        row = orjson.loads(line)
        group = row["group"]
        if group not in controllers:
            controllers[group] = build_controller(group)
        controller = controllers[group]
        if "weights" in row:
            controller.configure(from_fields(Weights, row["weights"]), row["overflow"])
            continue
        event = from_fields(_EVENTS[row["event"]], row["fields"])
        replayed = orjson.loads(
            orjson.dumps(_describe_actions(controller.handle(event, row["at"])))
        )
        if replayed != row["actions"]:
            differences.append(Difference(number, row["actions"], replayed))
    return differences
