"""Reachability of the platform's store: by this instance itself, or through collectors."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from driftstall.core import Instance
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.watch_delegation import (
    COLLECTOR_TIMEOUT_S,
    MAX_ANSWER_AGE_S,
    WatchDelegation,
)


class FeedStatus(Protocol):
    """Status of the calls of one feed."""

    @property
    def is_current(self) -> bool:
        """Return True if the feed was read and its calls are answered."""

    @property
    def is_unanswered(self) -> bool:
        """Return True if the latest call failed."""


class FeedPacing(Protocol):
    """Age of the platform's last answer on one feed, and whether a collector follows the feed."""

    @property
    def age_s(self) -> float:
        """Return how long ago the platform last answered this instance, in seconds."""

    @property
    def is_delegated(self) -> bool:
        """Return True if a collector follows the feed for this instance."""


@dataclass(frozen=True, slots=True)
class FeedReachability:
    """The follower and the pacing of one feed, from which its reachability is derived."""

    follower: FeedStatus
    pacing: FeedPacing

    @property
    def is_followed(self) -> bool:
        """Return True if the feed is up to date, by its own watch or a collector's."""
        return self.pacing.is_delegated or self.follower.is_current


class StoreReachability:
    """Derives from the feeds that requests depend on whether the platform answers."""

    def __init__(
        self,
        routing: FeedReachability,
        upstreams: FeedReachability,
        delegation: WatchDelegation,
        *,
        now: Callable[[], float],
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        peers_without_platform: Callable[[], tuple[str, ...]],
    ) -> None:
        """Initialize with the two feeds, the collectors' reports, the clock and fleet readers.

        The callable peers_without_platform returns the ids of the peers that report that the
        platform does not answer them.
        """
        self._routing = routing
        self._upstreams = upstreams
        self._delegation = delegation
        self._now = now
        self._roles = roles
        self._live = live
        self._peers_without_platform = peers_without_platform

    @property
    def is_answered(self) -> bool:
        """Return True if the latest call of each feed was answered and the upstreams are read."""
        feeds = (self._routing, self._upstreams)
        if any(feed.follower.is_unanswered for feed in feeds):
            return False
        return self._upstreams.follower.is_current

    @property
    def is_silent(self) -> bool:
        """Return True if the platform may answer neither this instance nor its collectors.

        One failed call is enough: from then on engines may leave unnoticed, and probing them is
        cheap.
        """
        if not self._roles().is_large:
            return not self.is_answered
        if self._is_first_without_platform():
            return True
        is_delegated = self._delegation.is_delegated(self._now())
        return not is_delegated and self._upstreams.pacing.age_s > MAX_ANSWER_AGE_S

    def _is_first_without_platform(self) -> bool:
        """Return True if this instance is a follower that lost the platform before its peers did.

        Peers rely on its reports up to a certain age; beyond it they are served by other followers
        if they still rely on any.
        """
        may_be_relied_on = self._upstreams.pacing.age_s <= MAX_ANSWER_AGE_S + COLLECTOR_TIMEOUT_S
        return self._roles().is_follower and not self.is_answered and may_be_relied_on

    def probers(self) -> tuple[Instance, ...]:
        """Return the instances that share the probing of engines.

        In a small fleet these are the instances that the platform does not answer. In a large one
        all instances share it once the platform answers none of them; a follower that loses the
        platform before the others probes alone.
        """
        live = self._live()
        if self._roles().is_large:
            return () if self._is_first_without_platform() else live
        if self.is_answered:
            return live
        without_platform = self._peers_without_platform()
        return tuple(instance for instance in live if instance.instance_id in without_platform)
