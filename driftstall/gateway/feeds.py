"""List-and-watch of one kind of the platform's objects.

A follower lists the objects once and then watches for changes with long polls. It survives cut
connections, outages, and a watch history that the platform has discarded.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, Protocol, TypeVar

import gevent

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import HistoryUnavailable, PlatformUnavailable
from driftstall.helpers.log import log_event
from driftstall.util import clock

HOLD_CHECK_S: Final = 0.2
"""Interval at which an idle follower checks whether it should call again."""
INITIAL_BACKOFF_S: Final = 0.05
"""Base of the time between failing calls; it doubles up to the maximum of the pacing."""
MAX_FAILED_CALLS: Final = 2
"""Failed calls in a row until the platform counts as unreachable; one cut watch is usual."""

ERROR_PAUSE_S: Final = 0.5
"""Pause after an unexpected error, which may recur at once."""

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Snapshot(Generic[Item]):
    """All items of a kind, and the version from which a watch continues."""

    items: tuple[Item, ...]
    at: StoreVersion


@dataclass(frozen=True, slots=True)
class ItemChange(Generic[Item]):
    """One change of an item."""

    item: Item
    removed: bool


@dataclass(frozen=True, slots=True)
class Changes(Generic[Item]):
    """The changes since a version, in order."""

    changes: tuple[ItemChange[Item], ...]
    at: StoreVersion


class Feed(Protocol[Item]):
    """Access to one kind of the platform's objects; failures raise PlatformUnavailable."""

    def list(self) -> Snapshot[Item]:
        """Return all items."""

    def watch(self, at: StoreVersion, wait_s: float) -> Changes[Item]:
        """Wait for changes after a version, at most wait_s seconds.

        Raise HistoryUnavailable if the platform has discarded the changes since that version.
        """


class Listener(Protocol[Item]):
    """Receiver of the lists and changes that a follower reads."""

    def handle_list(self, items: tuple[Item, ...], at: StoreVersion) -> None:
        """Handle the whole list, as of a version."""

    def handle_change(self, change: ItemChange[Item]) -> None:
        """Handle one change."""

    def handle_platform_unreachable(self, cause: str) -> None:
        """Handle that calls have begun to fail."""

    def handle_platform_reachable(self) -> None:
        """Handle that calls are answered again; called before their result is passed on."""


class WatchPacing(Protocol):
    """Decides when a follower calls, and how long a watch may wait."""

    def delay_s(self) -> float:
        """Return the time in seconds until the next call may be made; zero to call now."""

    def watch_timeout_s(self) -> float:
        """Return the timeout of an idle watch, in seconds."""

    def max_backoff_s(self) -> float:
        """Return the longest mean time from the start of a failing call to the next, in seconds."""

    def record_answer(self, *, after_failure: bool) -> None:
        """Record that a call was answered, and whether the call before it had failed."""

    def record_failure(self) -> None:
        """Record that a call failed."""


class Follower(Generic[Item]):
    """Lists once, then watches as the pacing allows; lists again if the history is discarded."""

    def __init__(
        self,
        feed: Feed[Item],
        listener: Listener[Item],
        source: random.Random,
        pacing: WatchPacing,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        """Initialize with the feed, its listener, the jitter source, the pacing and the sleep."""
        self._feed = feed
        self._listener = listener
        self._source = source
        self._pacing = pacing
        self._sleep = sleep
        self._at: StoreVersion | None = None
        self._failures = 0
        self._is_relist_requested = False

    @property
    def is_current(self) -> bool:
        """Return True if the feed was read and its calls are answered."""
        return self._at is not None and self._failures < MAX_FAILED_CALLS

    @property
    def is_unanswered(self) -> bool:
        """Return True if the latest call failed; one cut watch is usual."""
        return self._failures > 0

    def run(self) -> None:
        """Follow the feed forever.

        An unexpected error must not end the loop unnoticed: the instance would trust its state
        forever. How much of the result was applied is unknown, so the whole list is read again.
        """
        while True:
            try:
                self.step()
            except Exception as error:
                self._at = None
                detail = f"{type(error).__name__}: {error}"
                log_event(PREFIX_CONFIGURATION, f"Failed to apply a platform update: {detail}")
                self._sleep(ERROR_PAUSE_S)

    def request_relist(self) -> None:
        """Request that the next call reads the whole list."""
        self._is_relist_requested = True

    def step(self) -> None:
        """Make one call and pass on its result, or wait if none is to be made."""
        if self._is_relist_requested:
            self._at, self._is_relist_requested = None, False
        delay_s = self._pacing.delay_s() if self._at is not None else 0.0
        if delay_s > 0:
            self._sleep(min(delay_s, HOLD_CHECK_S))
            return
        began_at = clock.now()
        try:
            if self._at is None:
                self._list()
            else:
                self._watch(self._at)
        except HistoryUnavailable:
            self._at = None
        except PlatformUnavailable as error:
            self._handle_failure(str(error), began_at)

    def _list(self) -> None:
        """Read the whole list and pass it to the listener."""
        snapshot = self._feed.list()
        self._record_answer()
        self._at = snapshot.at
        self._listener.handle_list(snapshot.items, snapshot.at)

    def _watch(self, at: StoreVersion) -> None:
        """Wait for changes and pass them to the listener.

        After a failed call the watch does not wait: its answer shows that the platform is back.
        """
        wait_s = 0.0 if self._failures else self._pacing.watch_timeout_s()
        answer = self._feed.watch(at, wait_s)
        self._record_answer()
        self._at = answer.at
        for change in answer.changes:
            self._listener.handle_change(change)

    def _record_answer(self) -> None:
        """Record an answered call."""
        self._pacing.record_answer(after_failure=self._failures > 0)
        if self._failures >= MAX_FAILED_CALLS:
            self._listener.handle_platform_reachable()
        self._failures = 0

    def _handle_failure(self, cause: str, began_at: float) -> None:
        """Record a failed call, and pause with exponential backoff and jitter.

        The pause is counted from the start of the call, which may have taken long itself. The rest
        keeps a shortest length, as all instances fail at once where the platform restarts.
        """
        self._failures += 1
        self._pacing.record_failure()
        if self._failures == 1:
            log_event(PREFIX_CONFIGURATION, f"A call to the platform failed: {cause}", at=self._at)
        if self._failures == MAX_FAILED_CALLS:
            self._listener.handle_platform_unreachable(cause)
        pause_s = min(self._pacing.max_backoff_s(), INITIAL_BACKOFF_S * 2**self._failures)
        jitter = 0.5 + self._source.random()
        until = began_at + pause_s * jitter
        self._sleep(max(INITIAL_BACKOFF_S * jitter, until - clock.now()))
