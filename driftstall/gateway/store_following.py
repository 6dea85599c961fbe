"""Follow the platform's store in place of followers whose calls fail.

The decisions are in decisions/store_following.py. This part passes on the outcomes of the own
calls, sends and handles the messages, and wakes the followers of the feeds.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from gevent.event import Event

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.core import Instance
from driftstall.decisions.store_following import (
    STANDBY_AGE_S,
    ActingRole,
    CallResults,
    CandidateRequest,
    PendingRequest,
    Reply,
    StandbyRule,
    StoreAnswers,
    SubstituteSearch,
    order_candidates,
)
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.follow_messages import FollowAnswered, FollowMessage, FollowRequested
from driftstall.gateway.stats import GatewayStats
from driftstall.gateway.watch_delegation import (
    CORDON_FEED,
    ROUTING_FEED,
    STARTUP_SETTLE_S,
    UPSTREAM_FEED,
)
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running

FEEDS: Final = (ROUTING_FEED, UPSTREAM_FEED, CORDON_FEED)
PROBE_FEED: Final = UPSTREAM_FEED
"""The feed by which a candidate finds out whether the store answers it. Reports carry the age of
its last answer."""
STANDBY_CHECK_S: Final = 0.05
"""Interval at which a standby collector checks the age of the store's youngest answer."""
IDLE_CHECK_S: Final = 0.5
"""Interval of the checks of the other instances: roles change and end."""
IDLE_ANSWER_S: Final = 0.4
"""Time since the last answer from which an answer is reported at once. More frequent answers are
young enough in the periodic reports."""


class StoreFollowing:
    """Ask others to follow the store, follow it at their request, and stand by."""

    def __init__(
        self,
        own_id: str,
        stats: GatewayStats,
        answers: StoreAnswers,
        *,
        now: Callable[[], float],
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        send: Callable[[str, FollowMessage], None],
        publish_age: Callable[[], None],
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialize with the peers' reported answers, getters, a sender and a publisher.

        The callable publish_age reports the age of the store's last answer at once.
        """
        self._own_id = own_id
        self._stats = stats
        self._answers = answers
        self._now = now
        self._roles = roles
        self._live = live
        self._send = send
        self._publish_age = publish_age
        self._is_stopping = is_stopping
        self._results = CallResults()
        self._search = SubstituteSearch(own_id)
        self._acting = ActingRole(self._results)
        self._standby = StandbyRule()
        self._was_acting = False
        self._settled_at = now() + STARTUP_SETTLE_S
        """Until then the followers of a fleet that starts do not call either."""
        self._answered_at = float("-inf")
        self._unprobed: set[str] = set()
        """Feeds whose next call must be answered at once, without waiting for a change."""
        self._wake_ups = {feed: Event() for feed in FEEDS}
        self._changed = Event()

    @property
    def follows(self) -> bool:
        """Return True if this instance follows the store for the fleet, by whichever role."""
        roles = self._roles()
        return roles.is_large and (roles.is_follower or self._follows_for_others)

    @property
    def follows_for_others(self) -> bool:
        """Return True if this instance follows the store though its role is not to."""
        roles = self._roles()
        return roles.is_large and not roles.is_follower and self._follows_for_others

    def start(self) -> None:
        """Start the timeouts."""
        keep_running(PREFIX_MEMBERSHIP, self.run)

    def run(self) -> None:
        """Do what is due, forever."""
        while True:
            self._changed.wait(self.step())
            self._changed.clear()

    def sleeper(self, feed: str) -> Callable[[float], None]:
        """Return a sleep for the follower of a feed that ends early when it must call."""

        def sleep(seconds: float) -> None:
            wake_up = self._wake_ups[feed]
            wake_up.wait(seconds)
            wake_up.clear()

        return sleep

    # Pacing of the feeds

    def is_acting(self, feed: str) -> bool:
        """Return True if a feed must be followed though the role of this instance is not to."""
        if not self._roles().is_large:
            return False
        is_probed = feed == PROBE_FEED and self._acting.is_probing(self._now())
        return is_probed or self._follows_for_others

    def needs_answer_at_once(self, feed: str) -> bool:
        """Return True if the next watch of a feed must not wait for a change."""
        return feed in self._unprobed and self.is_acting(feed)

    def record_answer(self, feed: str) -> None:
        """Record that the store answered a call."""
        now = self._now()
        self._results.record_answer(feed, now)
        if feed == PROBE_FEED:
            # It is called most often while calls fail; the others need not wait for their turn.
            for failing in self._results.failing_feeds:
                self._wake_ups[failing].set()
        self._unprobed.discard(feed)
        self._standby.record_answer()
        if not self._roles().is_large:
            return
        accepted = self._acting.record_answer(now)
        if accepted:
            self._begin_acting("request", now)
        for request in accepted:
            self._answer(request, accepted=True, reason="answered")
        if self._search.is_active and not self._results.is_failing:
            self._end_search("answered")
        if feed == PROBE_FEED:
            is_idle, self._answered_at = now - self._answered_at >= IDLE_ANSWER_S, now
            if is_idle and self.follows:
                self._publish_age()

    def record_failure(self, feed: str) -> None:
        """Record that a call to the store failed."""
        now = self._now()
        self._results.record_failure(feed, now)
        self._unprobed.discard(feed)
        if not self._roles().is_large:
            return
        is_responsible = self._is_responsible(now)
        for request in self._acting.record_failure():
            self._answer(request, accepted=False, reason="rejected")
        self._standby.record_failure(now)
        if is_responsible and not self._search.is_active:
            self._search.begin()
        self.step()

    # Messages

    @singledispatchmethod
    def handle(self, message: FollowMessage) -> None:
        """Handle one message of a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: FollowRequested) -> None:
        now = self._now()
        request = PendingRequest(message.sender, message.number)
        if self._is_stopping():
            self._answer(request, accepted=False, reason="stopping")
            return
        was_acting = self._acting.is_acting(now)
        reply = self._acting.handle_request(
            message.sender, message.number, now, follows=self.follows
        )
        if reply is Reply.CALL:
            self._unprobed.add(PROBE_FEED)
            self._wake_ups[PROBE_FEED].set()
            self._changed.set()
            return
        is_accepted = reply is Reply.ACCEPT
        if is_accepted and not was_acting:
            self._was_acting = True
        reason = "follows" if is_accepted else "rejected recently"
        self._answer(request, accepted=is_accepted, reason=reason, logs=not was_acting)
        self.step()

    @handle.register
    def _(self, message: FollowAnswered) -> None:
        now = self._now()
        is_news = self._search.record_answer(
            message.sender, message.number, message.accepted, message.failed, now
        )
        if is_news:
            outcome = "follows" if message.accepted else "does not follow"
            self._log(
                f"Instance {message.sender} {outcome} the store in place of this one",
                number=message.number,
                rejected=sorted(message.failed),
            )
        self.step()

    # Timeouts

    def step(self) -> float:
        """Do what is due; return the time until the next step, in seconds."""
        now = self._now()
        roles = self._roles()
        if not roles.is_large:
            self._search.end()
            return IDLE_CHECK_S
        position, youngest_age_s = self._standby_place(roles, now)
        # While it follows by request a collector needs no second reason to.
        follows_by_request = self._acting.is_acting(now) and not self._standby.is_following
        if not follows_by_request and self._standby.update(position, youngest_age_s, now):
            self._handle_standby_change(position, youngest_age_s, now)
        if self._was_acting and not self._acting.is_acting(now):
            self._was_acting = False
            self._log("This instance no longer follows the store at the request of others")
        if self._search.is_active and not self._is_responsible(now):
            self._end_search("no longer responsible")
        self._send_requests(roles, now)
        check_s = IDLE_CHECK_S if position is None else STANDBY_CHECK_S
        return max(0.0, min(check_s, self._search.due_at - now))

    @property
    def _follows_for_others(self) -> bool:
        """Return True if this instance acts as a follower or as a standby."""
        return self._acting.is_acting(self._now()) or self._standby.is_following

    def _standby_place(self, roles: FleetRoles, now: float) -> tuple[int | None, float]:
        """Return the place among the standbys, and the age of the youngest answer to others."""
        if self._own_id not in roles.standbys or now < self._settled_at:
            return None, 0.0
        index = roles.standbys.index(self._own_id)
        ignored = frozenset(roles.standbys[index:])
        return index + 1, self._answers.youngest_age_s(now, ignored)

    def _is_responsible(self, now: float) -> bool:
        """Return True if this instance must find a substitute when its calls fail."""
        roles = self._roles()
        if roles.is_follower or self._follows_for_others:
            return True
        position, youngest_age_s = self._standby_place(roles, now)
        return position is not None and youngest_age_s >= STANDBY_AGE_S

    def _begin_acting(self, cause: str, now: float) -> None:
        """Begin to follow all feeds."""
        if not self._was_acting and cause == "request":
            self._was_acting = True
        self._results.forget_failures()
        for feed in FEEDS:
            if cause != "request" or feed != PROBE_FEED:
                self._unprobed.add(feed)
                self._wake_ups[feed].set()
        self._changed.set()

    def _handle_standby_change(
        self, position: int | None, youngest_age_s: float, now: float
    ) -> None:
        """Begin to follow as a standby, or log that this ends."""
        if self._standby.is_following:
            self._stats.standby_starts += 1
            self._begin_acting("standby", now)
            text = "This collector follows the store, as no follower reports a recent answer"
        else:
            text = "This collector no longer follows the store as a standby"
        age_s = round(min(youngest_age_s, 1e6), 2)
        self._log(text, position=position, youngest_age_s=age_s)

    def _send_requests(self, roles: FleetRoles, now: float) -> None:
        """Send the requests that are due."""
        if now < self._search.due_at:
            return
        others = (instance.instance_id for instance in self._live() if not instance.leaving)
        candidates = order_candidates((roles.followers, roles.standbys, others))
        action = self._search.next_step(candidates, now)
        if self._search.timed_out is not None:
            self._stats.follow_unanswered += 1
            self._log(f"Instance {self._search.timed_out} has not answered a request to follow")
        if isinstance(action, CandidateRequest):
            if not action.is_repeat:
                self._stats.follow_requests += 1
                self._log(
                    f"Asking instance {action.candidate} to follow the store",
                    number=action.number,
                    rejected=list(action.failed),
                )
            self._send(
                action.candidate, FollowRequested(self._own_id, action.number, action.failed)
            )
        elif action is not None:
            self._stats.follow_pauses += 1
            self._log("No instance follows the store in place of this one", pause_s=action.pause_s)
        self._changed.set()

    def _end_search(self, reason: str) -> None:
        """End the search for a substitute."""
        self._log(
            "This instance asks no other to follow the store any more",
            reason=reason,
            substitute=self._search.substitute,
        )
        self._search.end()

    def _answer(
        self, request: PendingRequest, *, accepted: bool, reason: str, logs: bool = True
    ) -> None:
        """Answer a request; the acceptance of a repeat is not logged again."""
        if accepted and logs:
            self._stats.follow_accepted += 1
        if not accepted:
            self._stats.follow_declined += 1
        if logs or not accepted:
            self._log(
                f"{'Accepted' if accepted else 'Declined'} to follow the store in place of "
                f"instance {request.sender}",
                number=request.number,
                reason=reason,
                answered_s_ago=round(min(self._now() - self._results.answered_at, 1e6), 2),
            )
        failed = () if accepted else (self._own_id,)
        self._send(request.sender, FollowAnswered(self._own_id, request.number, accepted, failed))

    def _log(self, text: str, **fields: object) -> None:
        """Log a decision."""
        log_event(PREFIX_MEMBERSHIP, text, **fields)
