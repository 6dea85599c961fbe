"""Follow one kind of the platform's objects, through cuts, outages and lost history."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, Protocol, TypeVar

import gevent

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import HistoryGone, PlatformUnavailable
from driftstall.helpers.log import log_event

HOLD_CHECK_S: Final = 0.2
"""How often a follower that makes no calls looks whether it should."""
INITIAL_BACKOFF_S: Final = 0.05
"""Pause after a failed call; it doubles up to what the pace allows."""
LOST_AFTER: Final = 2
"""Calls that fail in a row until the platform counts as lost; one cut watch is usual."""

DEFECT_PAUSE_S: Final = 0.5
"""Pause after an unexpected error, which may come again at once."""

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Snapshot(Generic[Item]):
    """Hold all items of a kind, and the revision that a watch goes on from."""

    items: tuple[Item, ...]
    at: StoreVersion


@dataclass(frozen=True, slots=True)
class ItemChange(Generic[Item]):
    """Hold one change of an item."""

    item: Item
    gone: bool


@dataclass(frozen=True, slots=True)
class Changes(Generic[Item]):
    """Hold the changes since a revision, in order."""

    changes: tuple[ItemChange[Item], ...]
    at: StoreVersion


class Feed(Protocol[Item]):
    """Read one kind of the platform's objects; errors are PlatformUnavailable."""

    def list(self) -> Snapshot[Item]:
        """Return all items."""

    def watch(self, at: StoreVersion, wait_s: float) -> Changes[Item]:
        """Wait for changes after a revision; raise HistoryGone if they are forgotten."""


class Listener(Protocol[Item]):
    """Take in what a follower learns."""

    def listed(self, items: tuple[Item, ...], at: StoreVersion) -> None:
        """Take in all items, as of a revision."""

    def changed(self, change: ItemChange[Item]) -> None:
        """Take in one change."""

    def platform_unreachable(self, cause: str) -> None:
        """Learn that calls fail."""

    def platform_reachable(self) -> None:
        """Learn that calls are answered again; called before what they brought."""


class WatchPacing(Protocol):
    """Tell a follower when to call, and how long a watch may wait."""

    def delay_s(self) -> float:
        """Return for how long to make no call; zero to go on now."""

    def watch_timeout_s(self) -> float:
        """Return how long an idle watch waits, in seconds."""

    def max_backoff_s(self) -> float:
        """Return the longest pause after failed calls, in seconds."""

    def answered(self, *, after_failure: bool) -> None:
        """Learn that a call was answered, and whether the one before was not."""


class Follower(Generic[Item]):
    """List once, then watch while the pace allows it; list again where history is gone."""

    def __init__(
        self,
        feed: Feed[Item],
        listener: Listener[Item],
        source: random.Random,
        pace: WatchPacing,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        """Take the feed, who listens, a random source, the pace and how to wait."""
        self._feed = feed
        self._listener = listener
        self._source = source
        self._pace = pace
        self._sleep = sleep
        self._at: StoreVersion | None = None
        self._failures = 0
        self._lists_next = False

    @property
    def current(self) -> bool:
        """Tell whether the feed was read and its calls are answered."""
        return self._at is not None and self._failures < LOST_AFTER

    @property
    def is_unanswered(self) -> bool:
        """Tell whether the newest question got no answer; one cut watch is usual."""
        return self._failures > 0

    def run(self) -> None:
        """Follow the feed for ever.

        An unexpected error must not end this unseen: the instance would trust what it knows for
        ever. What it has taken in until then is not known, so all is read anew.
        """
        while True:
            try:
                self.step()
            except Exception as defect:
                self._at = None
                detail = f"{type(defect).__name__}: {defect}"
                log_event(
                    PREFIX_CONFIGURATION, f"What the platform told could not be taken in: {detail}"
                )
                self._sleep(DEFECT_PAUSE_S)

    def request_relist(self) -> None:
        """Read the whole list with the next call."""
        self._lists_next = True

    def step(self) -> None:
        """Make one call and pass on what it brought, or wait where none is to be made."""
        if self._lists_next:
            self._at, self._lists_next = None, False
        delay_s = self._pace.delay_s() if self._at is not None else 0.0
        if delay_s > 0:
            self._sleep(min(delay_s, HOLD_CHECK_S))
            return
        try:
            if self._at is None:
                self._list()
            else:
                self._watch(self._at)
        except HistoryGone:
            self._at = None
        except PlatformUnavailable as fault:
            self._failed(str(fault))

    def _list(self) -> None:
        """Read the whole list."""
        snapshot = self._feed.list()
        self._answered()
        self._at = snapshot.at
        self._listener.listed(snapshot.items, snapshot.at)

    def _watch(self, at: StoreVersion) -> None:
        """Wait for changes."""
        answer = self._feed.watch(at, self._pace.watch_timeout_s())
        self._answered()
        self._at = answer.at
        for change in answer.changes:
            self._listener.changed(change)

    def _answered(self) -> None:
        """Note an answered call."""
        if self._failures >= LOST_AFTER:
            self._listener.platform_reachable()
        self._pace.answered(after_failure=self._failures > 0)
        self._failures = 0

    def _failed(self, cause: str) -> None:
        """Note a failed call, and wait a little."""
        self._failures += 1
        if self._failures == 1:
            log_event(
                PREFIX_CONFIGURATION, f"A question to the platform failed: {cause}", at=self._at
            )
        if self._failures == LOST_AFTER:
            self._listener.platform_unreachable(cause)
        pause = min(self._pace.max_backoff_s(), INITIAL_BACKOFF_S * 2**self._failures)
        self._sleep(pause * (0.5 + self._source.random()))
