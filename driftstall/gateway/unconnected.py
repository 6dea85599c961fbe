"""Callbacks of the shared state before the components that handle them are connected."""

from __future__ import annotations

from collections.abc import Callable

from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import BrokenRun
from driftstall.gateway.scheduling.queue_messages import MemoryGranted, MemoryRefused, QueueAsked
from driftstall.peers.gateway_messages import PlacementAsked, PlacementGiven


def acquire_nothing(_: QueueAsked, __: Callable[[], bool]) -> MemoryGranted | MemoryRefused | None:
    """Return None: this instance chooses by itself."""
    return None


def ignore_request(_: str, __: str) -> None:
    """Ignore a request that leaves the queue until peers are connected."""


def ignore_upstream(_: Upstream) -> None:
    """Ignore a suspected upstream until a prober is connected."""


def ignore_run(_: Upstream, __: BrokenRun) -> None:
    """Ignore a broken run until a crash detector is connected."""


def ignore_subject(_: str) -> None:
    """Ignore a subject until the persistence of its evidence is connected."""


def ignore_era(_: int) -> None:
    """Ignore an era until the handling of store recoveries is connected."""


def has_no_peer() -> bool:
    """Return False: no other instance is known."""
    return False


def do_nothing() -> None:
    """Do nothing until peers are connected."""


def place_locally(_: PlacementAsked) -> PlacementGiven | None:
    """Return None: this instance chooses by itself."""
    return None
