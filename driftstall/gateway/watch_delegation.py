"""Decide when an instance follows the platform by itself, and when others do it for it.

In a large fleet a few collectors follow the platform; all collectors pass on what these
learn, with the age of the platform's last answer. An instance relies on them while that
age is small. If it hears no collector it follows at once; if it hears them but the platform
answers none, it asks now and then, so that an outage makes no storm.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from driftstall.gateway.collectors import FleetRoles

SELDOM_WATCH_S: Final = 25.0
"""How long a watch of what seldom changes and has no bound in time waits: policies. Where its
connection falls silent a policy is in force so much later."""
LARGE_WATCH_S: Final = 0.8
"""The same for a collector: a watch that is silently cut off must be noticed soon."""
FRESH_S: Final = 1.5
"""Age of the platform's last answer up to which a collector's word counts: a whole watch
of a collector, and a slow answer."""
TRUST_S: Final = 1.2
"""A collector speaks twice a second; without its word for so long it is given up. All the
times here together stay below the three seconds within which a change must be in force."""
FIRST_TRY_S: Final = 0.4
"""An instance's own first question comes within this time once no collector gets an answer:
the collectors may be cut off where it is not."""
SETTLE_S: Final = 1.5
"""How long an instance that has read the list leaves the platform alone after its start. Its seeds
answer within half a second, and collectors twice a second: by then it knows whether others follow
the platform for it. A fleet that starts at once, while engines join, would else have each of its
instances woken by each engine."""
LONGEST_PAUSE_S: Final = 0.6
"""Longest pause of a follower after failed calls, so that an outage makes no storm."""
OTHERS_PAUSE_S: Final = 1.5
"""The same for the others of a large fleet, which call while they are cut off from their
collectors; a machine has three seconds and more to catch up after a cut."""
OUTAGE_PAUSE_S: Final = 4.0
"""Mean pause between its further questions, so that an outage makes no storm."""


DRAWN_SHARE: Final = 0.5
"""Share of an idle watch's wait that is drawn by lot."""


class WatchDelegation:
    """Hold what collectors have last said of the platform."""

    def __init__(self, source: random.Random) -> None:
        """Start with no word of any collector."""
        self._source = source
        self._heard_at = float("-inf")
        self._good_at = float("-inf")
        self._next_try: dict[str, float] = {}
        """When to ask next in an outage, by what is asked for; empty while there is none."""

    @property
    def source(self) -> random.Random:
        """Return the source of chance."""
        return self._source

    def record_collector_report(self, platform_age_s: float, now: float) -> None:
        """Take in a collector's word: how long ago the platform answered it, in seconds."""
        self._heard_at = now
        if platform_age_s <= FRESH_S:
            self._good_at = now
            self._next_try.clear()

    def is_delegated(self, now: float) -> bool:
        """Tell whether a collector follows the platform for this instance."""
        return now - self._good_at <= TRUST_S

    def delay_s(self, now: float, feed: str = "") -> float:
        """Return for how long to leave the platform alone; zero to ask it now.

        Feeds of one name share the questions of an outage.
        """
        if self.is_delegated(now):
            return self._good_at + TRUST_S - now
        if now - self._heard_at > TRUST_S:
            return 0.0
        next_try = self._next_try.get(feed)
        if next_try is None:
            next_try = self._next_try[feed] = now + FIRST_TRY_S * self._source.random()
        if now < next_try:
            return next_try - now
        self._next_try[feed] = now + OUTAGE_PAUSE_S * (0.5 + self._source.random())
        return 0.0


class DelegatedWatchPacing:
    """Pace one feed of the platform by the fleet's size and the collectors' word."""

    def __init__(
        self,
        delegation: WatchDelegation,
        roles: Callable[[], FleetRoles],
        now: Callable[[], float],
        *,
        max_watch_s: Callable[[], float],
        settle_s: float = 0.0,
        feed: str = "",
    ) -> None:
        """Take the collectors' word, the roles as they are now and the steady clock.

        Longest wait tells how long an idle watch may wait at the most, in seconds; the first watch
        of all comes after the time to settle. Feeds of one name share the questions of an outage.
        """
        self._feed = feed
        self._delegation = delegation
        self._source = delegation.source
        self._roles = roles
        self._now = now
        self._answered_at = float("-inf")
        self._silence_s = 0.0
        self._longest_wait = max_watch_s
        self._settled_at = now() + settle_s

    @property
    def age_s(self) -> float:
        """Return how long ago the platform last answered this instance, in seconds."""
        return self._now() - self._answered_at

    @property
    def silence_s(self) -> float:
        """Return for how long questions had failed before the last answer, in seconds.

        What that answer told may be as old. Zero where the question before was answered.
        """
        return self._silence_s

    @property
    def is_delegated(self) -> bool:
        """Tell whether a collector follows the feed for this instance."""
        return not self._follows_always and self._delegation.is_delegated(self._now())

    def delay_s(self) -> float:
        """Return for how long to make no call."""
        left_s = self._settled_at - self._now()
        if left_s > 0:
            return left_s
        if self._follows_always or self.age_s <= FRESH_S and not self.is_delegated:
            return 0.0
        return self._delegation.delay_s(self._now(), self._feed)

    def watch_timeout_s(self) -> float:
        """Return how long an idle watch waits."""
        longest_s = self._longest_wait()
        if self._roles().is_large:
            return min(LARGE_WATCH_S, longest_s)
        # News wake all instances at once. Were their next questions to end together as well, a
        # silence that begins meanwhile would be found out by all only then.
        return longest_s * (1.0 - DRAWN_SHARE * self._source.random())

    def max_backoff_s(self) -> float:
        """Return the longest pause after failed calls."""
        return LONGEST_PAUSE_S if self._follows_always else OTHERS_PAUSE_S

    def answered(self, *, after_failure: bool) -> None:
        """Note that the platform has answered, and whether the question before had failed."""
        now = self._now()
        answered_before = self._answered_at > float("-inf")
        self._silence_s = now - self._answered_at if after_failure and answered_before else 0.0
        self._answered_at = now

    @property
    def _follows_always(self) -> bool:
        """Tell whether this instance follows the platform whatever others say."""
        return self._roles().is_follower


class RevisionWatchPacing:
    """Pace a feed that seldom changes: read again only what peers know to be newer."""

    def __init__(self, roles: Callable[[], FleetRoles], behind: Callable[[], bool]) -> None:
        """Take the roles as they are now, and a reader of whether a newer one is known of."""
        self._roles = roles
        self._behind = behind

    def delay_s(self) -> float:
        """Return for how long to make no call."""
        roles = self._roles()
        return 0.0 if roles.is_follower or self._behind() else TRUST_S

    def watch_timeout_s(self) -> float:
        """Return how long an idle watch waits."""
        return SELDOM_WATCH_S

    def max_backoff_s(self) -> float:
        """Return the longest pause after failed calls."""
        return OTHERS_PAUSE_S

    def answered(self, *, after_failure: bool) -> None:
        """Note that the platform has answered; nothing depends on when."""
