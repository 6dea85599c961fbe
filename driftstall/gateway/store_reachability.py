"""Tell how far the platform answers this instance, and whether others follow it instead."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from driftstall.core import Instance
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.watch_delegation import FRESH_S, TRUST_S, WatchDelegation


class FeedStatus(Protocol):
    """Tell how the questions of one feed are answered."""

    @property
    def current(self) -> bool:
        """Tell whether the feed was read and its calls are answered."""

    @property
    def is_unanswered(self) -> bool:
        """Tell whether the newest question got no answer."""


class FeedPacing(Protocol):
    """Tell who follows one feed, and how old the platform's last answer is."""

    @property
    def age_s(self) -> float:
        """Return how long ago the platform last answered this instance, in seconds."""

    @property
    def is_delegated(self) -> bool:
        """Tell whether a collector follows the feed for this instance."""


@dataclass(frozen=True, slots=True)
class FeedReachability:
    """Hold what one feed's standing is read from."""

    follower: FeedStatus
    pace: FeedPacing

    @property
    def is_followed(self) -> bool:
        """Tell whether the feed is up to date, by its own watch or a collector's."""
        return self.pace.is_delegated or self.follower.current


class StoreReachability:
    """Read from the feeds on which requests depend how far the platform answers."""

    def __init__(
        self,
        routing: FeedReachability,
        upstreams: FeedReachability,
        delegation: WatchDelegation,
        *,
        now: Callable[[], float],
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        lacking: Callable[[], tuple[str, ...]],
    ) -> None:
        """Take the two feeds, the collectors' word, the steady clock and readers of the fleet.

        Lacking names the peers that the platform does not answer, as they say.
        """
        self._routing = routing
        self._upstreams = upstreams
        self._delegation = delegation
        self._now = now
        self._roles = roles
        self._live = live
        self._lacking = lacking

    @property
    def is_answered(self) -> bool:
        """Tell whether the platform answers this instance, on whichever feed it was asked last."""
        feeds = (self._routing, self._upstreams)
        if any(one.follower.is_unanswered for one in feeds):
            return False
        return self._upstreams.follower.current

    @property
    def is_silent(self) -> bool:
        """Tell whether the platform may answer neither this instance nor who follows it for this.

        One question without an answer is enough: engines may leave unseen from now on, and a word
        of theirs costs little.
        """
        if not self._roles().is_large:
            return not self.is_answered
        if self._is_first_to_miss():
            return True
        is_relied_on = self._delegation.is_delegated(self._now())
        return not is_relied_on and self._upstreams.pace.age_s > FRESH_S

    def _is_first_to_miss(self) -> bool:
        """Tell whether this one follows the platform for others, which may not miss it yet.

        Beyond the age up to which they rely on its word, they are answered by other followers if
        they still rely on any.
        """
        may_be_relied_on = self._upstreams.pace.age_s <= FRESH_S + TRUST_S
        return self._roles().is_follower and not self.is_answered and may_be_relied_on

    def askers(self) -> tuple[Instance, ...]:
        """Return who shares the questions to engines: in a small fleet, who lacks the platform.

        In a large one all do, once they all miss it; the follower that misses it first asks alone.
        """
        live = self._live()
        if self._roles().is_large:
            return () if self._is_first_to_miss() else live
        if self.is_answered:
            return live
        lacking = self._lacking()
        return tuple(one for one in live if one.instance_id in lacking)
