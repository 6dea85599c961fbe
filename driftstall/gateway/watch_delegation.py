"""Delegation of the platform watches to a few collectors in a large fleet.

A few collectors (followers) watch the platform; all collectors forward the updates together with
the age of the platform's last answer. An instance relies on them while that age is small. If no
collector reports, the instance watches the platform itself at once. If collectors report but the
platform answers none of them, the instance polls occasionally, so that an outage doesn't cause a
call storm.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, Protocol

from driftstall.gateway.collectors import FleetRoles

RARE_CHANGE_WATCH_S: Final = 25.0
"""Timeout of a watch of rarely changed objects without a freshness bound (policies). If its
connection falls silent, a policy comes into force that much later."""
LARGE_FLEET_WATCH_S: Final = 0.8
"""Timeout of a collector's watch: a watch that is silently cut off must be noticed soon."""
MAX_ANSWER_AGE_S: Final = 1.5
"""Age of the platform's last answer up to which a collector's report counts: a whole watch
of a collector, and a slow answer."""
COLLECTOR_TIMEOUT_S: Final = 1.2
"""Time without a report after which a collector is no longer relied on; it sends two a second. The
times here together stay below the three seconds within which a change must be in force."""
FIRST_POLL_WITHIN_S: Final = 0.4
"""An instance makes its first own call within this time once no collector gets an answer: the
collectors may be cut off from the platform while this instance is not."""
STARTUP_SETTLE_S: Final = 1.5
"""How long after its start an instance that has read the list makes no calls. Its seeds answer
within half a second, and collectors report twice a second: by then it knows whether others follow
the platform for it. Otherwise, in a fleet that starts all at once while engines join, each engine
would wake each instance."""
FOLLOWER_MAX_BACKOFF_S: Final = 0.6
"""Longest mean time between a follower's failing calls; limits the calls during an outage."""
UPSTREAM_MAX_BACKOFF_S: Final = 0.3
"""The same for a follower's feed of upstreams. The time for which missing entries may be written
again runs from its first answer, so that must follow the return of the platform at once."""
MAX_BACKOFF_S: Final = 1.5
"""The same for the other instances of a large fleet, which call while they are cut off from their
collectors; an instance has at least three seconds to catch up after a cut."""
OUTAGE_POLL_INTERVAL_S: Final = 4.0
"""Mean pause between further calls of an instance during an outage, to avoid a call storm."""
ROUTING_FEED: Final = "routing"
UPSTREAM_FEED: Final = "upstreams"
CORDON_FEED: Final = "cordons"
"""Names of the feeds that an instance follows in place of others."""
WATCH_JITTER: Final = 0.5
"""Share of an idle watch's timeout that is randomized."""


class FollowingRole(Protocol):
    """Whether this instance follows the platform in place of followers whose calls fail."""

    def is_acting(self, feed: str) -> bool:
        """Return True if a feed must be followed though the role of this instance is not to."""

    def needs_answer_at_once(self, feed: str) -> bool:
        """Return True if the next watch of a feed must not wait for a change."""

    def record_answer(self, feed: str) -> None:
        """Record that the platform answered a call."""

    def record_failure(self, feed: str) -> None:
        """Record that a call to the platform failed."""


class NoFollowingRole:
    """Follows the platform in place of no other instance."""

    def is_acting(self, feed: str) -> bool:
        """Return False."""
        return False

    def needs_answer_at_once(self, feed: str) -> bool:
        """Return False."""
        return False

    def record_answer(self, feed: str) -> None:
        """Ignore answers."""

    def record_failure(self, feed: str) -> None:
        """Ignore failures."""


class WatchDelegation:
    """Records collectors' reports, and decides when an instance calls the platform itself."""

    def __init__(self, source: random.Random) -> None:
        """Initialize without any report, with the random source for the jitter."""
        self._source = source
        self._reported_at = float("-inf")
        self._fresh_at = float("-inf")
        self._next_poll: dict[str, float] = {}
        """When to call next during an outage, by feed name; empty while there is no outage."""

    @property
    def source(self) -> random.Random:
        """Return the random source."""
        return self._source

    def record_collector_report(self, platform_age_s: float, now: float) -> None:
        """Record a collector's report: how long ago the platform answered it, in seconds."""
        self._reported_at = now
        if platform_age_s <= MAX_ANSWER_AGE_S:
            self._fresh_at = now
            self._next_poll.clear()

    def is_delegated(self, now: float) -> bool:
        """Return True if a collector follows the platform for this instance."""
        return now - self._fresh_at <= COLLECTOR_TIMEOUT_S

    def delay_s(self, now: float, feed: str = "") -> float:
        """Return the time in seconds until the platform may be called; zero to call now.

        During an outage, feeds of the same name share one schedule of calls.
        """
        if self.is_delegated(now):
            return self._fresh_at + COLLECTOR_TIMEOUT_S - now
        if now - self._reported_at > COLLECTOR_TIMEOUT_S:
            return 0.0
        next_poll_at = self._next_poll.get(feed)
        if next_poll_at is None:
            next_poll_at = self._next_poll[feed] = now + FIRST_POLL_WITHIN_S * self._source.random()
        if now < next_poll_at:
            return next_poll_at - now
        self._next_poll[feed] = now + OUTAGE_POLL_INTERVAL_S * (0.5 + self._source.random())
        return 0.0


class DelegatedWatchPacing:
    """Pacing of one feed by the fleet's size and the collectors' reports."""

    def __init__(
        self,
        delegation: WatchDelegation,
        roles: Callable[[], FleetRoles],
        now: Callable[[], float],
        *,
        max_watch_s: Callable[[], float],
        settle_s: float = 0.0,
        feed: str = "",
        name: str = "",
        following: FollowingRole | None = None,
    ) -> None:
        """Initialize with the collectors' reports, a reader of the roles and the monotonic clock.

        The callable max_watch_s returns the longest timeout of an idle watch, in seconds; the first
        watch starts settle_s after the initialization. Pacings with the same feed share the calls
        of an outage. The name is the feed's name for the following role.
        """
        self._feed = feed
        self._name = name
        self._following = following or NoFollowingRole()
        self._delegation = delegation
        self._source = delegation.source
        self._roles = roles
        self._now = now
        self._answered_at = float("-inf")
        self._silence_s = 0.0
        self._max_watch_s = max_watch_s
        self._settled_at = now() + settle_s

    @property
    def age_s(self) -> float:
        """Return how long ago the platform last answered this instance, in seconds."""
        return self._now() - self._answered_at

    @property
    def silence_s(self) -> float:
        """Return how long calls had failed before the last answer, in seconds.

        The updates in that answer may be that old. Zero if the call before it was answered.
        """
        return self._silence_s

    @property
    def is_delegated(self) -> bool:
        """Return True if a collector follows the feed for this instance."""
        return not self._roles().is_follower and self._delegation.is_delegated(self._now())

    def delay_s(self) -> float:
        """Return the time in seconds until the next call may be made; zero to call now."""
        if self._following.is_acting(self._name):
            return 0.0
        remaining_s = self._settled_at - self._now()
        if remaining_s > 0:
            return remaining_s
        if self._is_follower or self.age_s <= MAX_ANSWER_AGE_S and not self.is_delegated:
            return 0.0
        return self._delegation.delay_s(self._now(), self._feed)

    def watch_timeout_s(self) -> float:
        """Return the timeout of an idle watch, in seconds."""
        if self._following.needs_answer_at_once(self._name):
            return 0.0
        max_watch_s = self._max_watch_s()
        if self._roles().is_large:
            return min(LARGE_FLEET_WATCH_S, max_watch_s)
        # An update wakes all instances at once. If their next watches also timed out together,
        # all of them would notice a silence that begins meanwhile only then.
        return max_watch_s * (1.0 - WATCH_JITTER * self._source.random())

    def max_backoff_s(self) -> float:
        """Return the longest mean time from the start of a failing call to the next, in seconds."""
        if not self._is_follower:
            return MAX_BACKOFF_S
        return UPSTREAM_MAX_BACKOFF_S if self._name == UPSTREAM_FEED else FOLLOWER_MAX_BACKOFF_S

    def record_answer(self, *, after_failure: bool) -> None:
        """Record an answer of the platform, and whether the call before it had failed."""
        now = self._now()
        answered_before = self._answered_at > float("-inf")
        self._silence_s = now - self._answered_at if after_failure and answered_before else 0.0
        self._answered_at = now
        self._following.record_answer(self._name)

    def record_failure(self) -> None:
        """Record a failed call."""
        self._following.record_failure(self._name)

    @property
    def _is_follower(self) -> bool:
        """Return True if this instance follows the platform regardless of the collectors."""
        return self._roles().is_follower or self._following.is_acting(self._name)


class RevisionWatchPacing:
    """Pacing of a rarely changed feed: non-followers read it only if peers know a newer version."""

    def __init__(self, roles: Callable[[], FleetRoles], is_behind: Callable[[], bool]) -> None:
        """Initialize with readers of the roles and of whether peers know a newer version."""
        self._roles = roles
        self._is_behind = is_behind

    def delay_s(self) -> float:
        """Return the time in seconds until the next call may be made; zero to call now."""
        roles = self._roles()
        return 0.0 if roles.is_follower or self._is_behind() else COLLECTOR_TIMEOUT_S

    def watch_timeout_s(self) -> float:
        """Return the timeout of an idle watch, in seconds."""
        return RARE_CHANGE_WATCH_S

    def max_backoff_s(self) -> float:
        """Return the longest mean time from the start of a failing call to the next, in seconds."""
        return MAX_BACKOFF_S

    def record_answer(self, *, after_failure: bool) -> None:
        """Ignore answers: this pacing doesn't depend on them."""

    def record_failure(self) -> None:
        """Ignore failures: peers follow rarely changed feeds in no other's place."""
