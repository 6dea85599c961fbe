"""Check the guarantees of the gateway against the record of a run; each violation gives a line.

Bounds in time apply only to instances, and to the store, that were undisturbed for long enough.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from soak.budget_checks import check_retry_budget
from soak.disturbances import (
    CALM_AFTER_S,
    CONTACT_S,
    MACHINE_SLACK_S,
    describe,
    is_instance_undisturbed,
    is_undisturbed,
)
from soak.ledger import (
    SHORT_EVENTS,
    STORE,
    STREAMS,
    Arrival,
    Ledger,
    RequestKind,
    SentRequest,
)
from soak.membership_checks import check_joined
from soak.poison_checks import check_poison
from soak.stop_checks import check_stops
from soak.truncation_checks import check_truncation

NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request has not run and never will."""
DENIED: Final = frozenset({400, 401, 403, 404, 413, 431})
LATE_S: Final = 0.5
"""Maximum time that a response may arrive after the timeout of its request."""
DRAIN_S: Final = 2.0
"""Time after which a leaving upstream gets no more requests (drainMs)."""
OWN_REPORT_KNOWN_S: Final = 2.9
"""Time after which an engine that reports itself as leaving gets no new requests, whatever the
store says: an idle watch (1.6 s), its timeout (0.7 s), a probe of the engine (0.5 s), and a hop."""
CORDON_S: Final = 2.5
"""Time after which an upstream of a cordoned zone gets no more requests (evacuateMs)."""
COLD_RATE: Final = 3.0
"""Requests a second that a cold upstream can take (coldPerS)."""
COLD_RATE_FACTOR: Final = 1.5
COLD_SLACK: Final = 2.0
"""A cold upstream may get COLD_RATE x COLD_RATE_FACTOR + COLD_SLACK requests in a second
(coldOver, coldSlack)."""
COLD_KNOWN_S: Final = 0.5
"""Time until instances know of a cold upstream: the store reports it at once, and busy processes
read it a little later."""
REJECTED_KNOWN_S: Final = 0.5
"""Time after a rejection within which requests that were already in flight may still arrive."""
APPLY_S: Final = 2.0
"""Time after which a configuration is in force (configApplyMs)."""
FOLLOWED_APPLY_S: Final = 1.5
"""The same in the plan that rejects followers, whose faults do not reach all instances."""
LIMIT_WINDOW_S: Final = 4.0
LIMIT_RATE_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5
"""An upstream may get limit x LIMIT_RATE_FACTOR x LIMIT_WINDOW_S + LIMIT_SLACK requests within
LIMIT_WINDOW_S."""
LOWER_LIMIT_KNOWN_S: Final = 0.5
"""Time after which a lowered limit applies to all instances; a response soon announces it."""
RECOVERED_SHARE: Final = 0.9
"""Share of the requests of the last LAST_S seconds that must be served."""
LAST_S: Final = 2.0
PARTITIONED_SHARE: Final = 2 / 3
"""At partitioned instances, requests must be served at least this often as at the others."""
PARTITIONED_FAILURES: Final = 10
PARTITIONED_FAILED_SHARE: Final = 1 / 50
"""Requests that may fail at partitioned instances in any case: a number and a share of them."""


def find_violations(ledger: Ledger) -> list[str]:
    """Return a line for each violated guarantee."""
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in ledger.arrivals:
        runs[arrival.request_id].append(arrival)
    found = [*ledger.unexpected_exits, *ledger.not_ready]
    if ledger.queue_waits == 0:
        found.append(
            "no stream has waited for engine memory, so the run shows nothing of the queue"
        )
    if ledger.pace_changes == 0:
        found.append("no instance has noticed a change of pace, so the run shows nothing of loads")
    for request in ledger.requests.values():
        found += [f"{line}: {describe(request)}" for line in _check_request(ledger, request, runs)]
    found += list(_check_unsent(ledger))
    found += list(_check_after_notice(ledger))
    found += list(_check_after_own_report(ledger))
    found += list(_check_after_signal(ledger))
    found += list(_check_backoff(ledger))
    found += list(_check_cordons(ledger))
    found += list(_check_cold(ledger))
    found += list(_check_limits(ledger))
    found += list(check_joined(ledger))
    found += list(check_stops(ledger, runs))
    found += list(check_poison(ledger))
    found += list(check_retry_budget(ledger))
    found += list(check_truncation(ledger))
    found += list(_check_partitioned(ledger))
    found += list(_check_recovery(ledger))
    return found


def _check_request(
    ledger: Ledger, request: SentRequest, runs: dict[str, list[Arrival]]
) -> Iterator[str]:
    """Check a single request: its number of runs, response, configuration and duration."""
    ran = [arrival for arrival in runs[request.request_id] if not arrival.is_resumed]
    if request.kind in (RequestKind.ONCE, *STREAMS) and len(ran) > 1:
        yield f"ran {len(ran)} times"
    if request.status in NOT_RUN and ran:
        yield "said not to have run, but ran"
    if request.status in NOT_RUN and b"retry" not in request.body and request.status == 503:
        yield "refused without a time to come back"
    if 200 <= request.status < 300 and not request.sealed:
        yield "a success that no upstream gave"
    if request.kind in STREAMS and request.status == 200:
        yield from _check_stream(ledger, request)
    elif request.status == 200 and _is_ended(ledger, request) and request.body != ledger.body:
        yield "a success with another body"
    if request.kind in (RequestKind.SAFE, RequestKind.ONCE, *STREAMS) and request.status in DENIED:
        yield "denied though every configuration allows it"
    yield from _check_configuration(ledger, request)
    yield from _check_duration(ledger, request)


def _check_stream(ledger: Ledger, request: SentRequest) -> Iterator[str]:
    """Check that the events of a stream are in order, and all there if it ended as complete."""
    events = request.events
    if events != list(range(1, len(events) + 1)):
        yield f"events out of order or missing: {events}"
    expected = SHORT_EVENTS if request.kind is RequestKind.SHORT else ledger.events
    if _is_ended(ledger, request) and len(events) != expected:
        yield f"ended as complete after {len(events)} events"


def _is_ended(ledger: Ledger, request: SentRequest) -> bool:
    """Return True if a response ended in a way that no truncated response may have.

    Callers take the orderly end of a connection for the end of a stream without framing. For a call
    it says nothing where upstreams themselves close responses early and in order: what they did is
    compared in check_truncation.
    """
    is_statement = request.kind in STREAMS or ledger.sent_pieces is None
    return request.complete or (request.is_closed and is_statement)


def _check_configuration(ledger: Ledger, request: SentRequest) -> Iterator[str]:
    """Check that undisturbed instances apply the added and removed routes."""
    if request.kind not in (RequestKind.ADDED, RequestKind.DROPPED) or not is_undisturbed(
        ledger, request
    ):
        return
    if request.kind is RequestKind.ADDED and request.status in DENIED:
        yield "an added route is not known"
    if request.kind is RequestKind.DROPPED and request.status == 200:
        yield "a dropped route is still served"


def _check_duration(ledger: Ledger, request: SentRequest) -> Iterator[str]:
    """Check that an undisturbed instance sent its final response in time."""
    took_s = request.ended_at - request.sent_at
    if took_s > request.timeout_s + LATE_S + MACHINE_SLACK_S and is_undisturbed(ledger, request):
        yield f"no final answer for {took_s:.1f} s"


def _check_unsent(ledger: Ledger) -> Iterator[str]:
    """Check that upstreams received only requests that callers have sent."""
    for arrival in ledger.arrivals:
        request = ledger.requests.get(arrival.request_id)
        if request is None or request.path != arrival.target:
            yield f"nobody asked for this: {arrival}"


def _check_after_notice(ledger: Ledger) -> Iterator[str]:
    """Check that a leaving upstream gets no requests from undisturbed instances after DRAIN_S.

    The store must have been undisturbed when it took the notice, and both store and instance when
    the request arrived. A disturbance of the instance between the two doesn't count: the instance
    has had time since then to learn of the notice.
    """
    for arrival in ledger.arrivals:
        notice = ledger.notices.get(arrival.upstream_id)
        if notice is None or arrival.at <= notice.at + DRAIN_S + MACHINE_SLACK_S:
            continue
        request = ledger.requests[arrival.request_id]
        is_store_stable = ledger.is_undisturbed(STORE, notice.at - CALM_AFTER_S, notice.at)
        if is_store_stable and is_undisturbed(ledger, request, arrival.at):
            late = arrival.at - notice.at
            yield (
                f"sent to {arrival.upstream_id} {late:.1f} s after its notice: {describe(request)}"
            )


def _check_after_own_report(ledger: Ledger) -> Iterator[str]:
    """Check that an engine that reports itself as leaving gets no new requests.

    It applies to undisturbed instances. The store is silent meanwhile, which doesn't count: an
    instance that probes the engine gets the report.
    """
    for arrival in ledger.arrivals:
        report = ledger.leaving_reports.get(arrival.upstream_id)
        if report is None or arrival.is_resumed:
            continue
        late = arrival.at - report.at
        request = ledger.requests[arrival.request_id]
        is_undisturbed = ledger.is_undisturbed(
            request.instance, report.at - CALM_AFTER_S, arrival.at
        )
        if late > OWN_REPORT_KNOWN_S + MACHINE_SLACK_S and is_undisturbed:
            yield (
                f"sent to {arrival.upstream_id} {late:.1f} s after its report: {describe(request)}"
            )


def _check_after_signal(ledger: Ledger) -> Iterator[str]:
    """Check that no instance sends to an upstream that has signalled to it that it is leaving.

    Only a stop of the instance since then is an exception, not a fault of the store or of a link.
    Undisturbed instances get the signal from their peers.
    """
    for upstream_id, signals in ledger.signalled_leaving.items():
        first: dict[str, float] = {}
        known_at = min((signal.at for signal in signals), default=float("inf")) + CONTACT_S
        for signal in signals:
            instance = ledger.requests[signal.request_id].instance
            first[instance] = min(signal.at, first.get(instance, signal.at))
        for received in ledger.received[upstream_id]:
            request = ledger.requests[received.request_id]
            since = first.get(request.instance)
            if received.at > known_at + MACHINE_SLACK_S and ledger.is_undisturbed(
                request.instance, known_at - CONTACT_S, received.at
            ):
                late = received.at - known_at + CONTACT_S
                yield f"sent to {upstream_id} {late:.1f} s after any signal: {describe(request)}"
            if since is None or received.at <= since + DRAIN_S + MACHINE_SLACK_S:
                continue
            if ledger.ran_throughout(request.instance, since, received.at):
                late = received.at - since
                yield f"sent to {upstream_id} {late:.1f} s after its signal: {describe(request)}"


def _check_backoff(ledger: Ledger) -> Iterator[str]:
    """Check that an undisturbed instance doesn't send to an upstream that rejected it.

    The upstream gets nothing for the back-off that it requested.
    """
    for upstream_id, rejections in ledger.rejections.items():
        for rejection in rejections:
            instance = ledger.requests[rejection.request_id].instance
            begins = rejection.at + REJECTED_KNOWN_S + MACHINE_SLACK_S
            for received in ledger.received[upstream_id]:
                request = ledger.requests[received.request_id]
                is_within = begins < received.at < rejection.at + rejection.for_s
                if not is_within or request.instance != instance:
                    continue
                if ledger.is_undisturbed(instance, rejection.at, received.at):
                    after = received.at - rejection.at
                    violation = f"sent to {upstream_id} {after:.1f} s after a back-off"
                    yield f"{violation} of {rejection.for_s:g} s: {describe(request)}"


def _check_cordons(ledger: Ledger) -> Iterator[str]:
    """Check that upstreams of a cordoned zone get no requests from undisturbed instances."""
    for period in ledger.cordoned:
        since = period.window.begins
        if not ledger.is_undisturbed(STORE, since - CALM_AFTER_S, since):
            continue
        for arrival in ledger.arrivals:
            late = arrival.at - since
            is_late = late > CORDON_S + MACHINE_SLACK_S and arrival.at <= period.window.ends
            if arrival.upstream_id != period.upstream_id or not is_late:
                continue
            request = ledger.requests[arrival.request_id]
            if is_undisturbed(ledger, request, arrival.at):
                violation = f"sent to {period.upstream_id} {late:.1f} s after its zone was cordoned"
                yield f"{violation}: {describe(request)}"


def _check_cold(ledger: Ledger) -> Iterator[str]:
    """Check the send rate of all instances together, also disturbed ones, to cold upstreams."""
    max_count = COLD_RATE * COLD_RATE_FACTOR + COLD_SLACK
    for period in ledger.cold:
        times = sorted(
            arrival.at
            for arrival in ledger.arrivals
            if arrival.upstream_id == period.upstream_id
            and period.window.begins + COLD_KNOWN_S <= arrival.at <= period.window.ends
        )
        for index, at in enumerate(times):
            count = sum(other < at + 1.0 for other in times[index:])
            if count > max_count:
                yield f"cold {period.upstream_id} got {count} requests within a second, at {at:.2f}"
                break


def _check_limits(ledger: Ledger) -> Iterator[str]:
    """Check that undisturbed instances together keep the rate limits of upstreams.

    Faults of the store are no exception, nor are those of an instance that ended before.
    """
    for period in ledger.limited:
        max_count = period.per_s * LIMIT_RATE_FACTOR * LIMIT_WINDOW_S + LIMIT_SLACK
        known_s = CONTACT_S if period.is_first else LOWER_LIMIT_KNOWN_S
        since = period.window.begins + known_s + MACHINE_SLACK_S
        times = sorted(
            arrival.at
            for arrival in ledger.arrivals
            if arrival.upstream_id == period.upstream_id
            and since <= arrival.at <= period.window.ends
            and is_instance_undisturbed(
                ledger, ledger.requests[arrival.request_id].instance, arrival.at
            )
        )
        for index, at in enumerate(times):
            count = sum(other < at + LIMIT_WINDOW_S for other in times[index:])
            if count > max_count:
                yield (
                    f"{period.upstream_id} takes {period.per_s:g} a second and got {count} "
                    f"requests within {LIMIT_WINDOW_S:g} s, at {at:.2f}"
                )
                break


def _check_partitioned(ledger: Ledger) -> Iterator[str]:
    """Check that callers of partitioned instances are served nearly as often as the others.

    A request counts if its instance has been partitioned for CONTACT_S, and another instance that
    reaches the upstreams was undisturbed.
    """
    counts = {True: [0, 0], False: [0, 0]}
    instances = {request.instance for request in ledger.requests.values()}
    for request in ledger.requests.values():
        if request.kind not in (RequestKind.SAFE, RequestKind.ONCE, *STREAMS):
            continue
        name, at = request.instance, request.sent_at
        since = ledger.partitioned_since(name, at)
        is_settled = since is None or since <= at - CONTACT_S
        if not is_settled or not ledger.is_undisturbed(name, at - CALM_AFTER_S, request.ended_at):
            continue
        partitioned = {each for each in instances if ledger.partitioned_since(each, at) is not None}
        has_peer = any(
            ledger.is_undisturbed(each, at - CALM_AFTER_S, request.ended_at)
            for each in instances - partitioned
        )
        if not partitioned or not has_peer:
            continue
        count = counts[since is not None]
        count[0] += ledger.is_served(request)
        count[1] += 1
    (served, sent), (others_served, others_sent) = counts[True], counts[False]
    allowed = PARTITIONED_FAILURES + PARTITIONED_FAILED_SHARE * sent
    share = PARTITIONED_SHARE * others_served / max(1, others_sent)
    if served < share * sent and sent - served > allowed:
        yield (
            f"partitioned instances served {served} of {sent} requests, "
            f"the others {others_served} of {others_sent}"
        )


def _check_recovery(ledger: Ledger) -> Iterator[str]:
    """Check that at least RECOVERED_SHARE is served once all faults have ended."""
    calls = [
        request
        for request in ledger.requests.values()
        if request.kind in (RequestKind.SAFE, RequestKind.ONCE)
    ]
    end = max((call.sent_at for call in calls), default=0.0)
    last = [call for call in calls if call.sent_at >= end - LAST_S]
    served = sum(ledger.is_served(call) for call in last)
    if served < RECOVERED_SHARE * len(last):
        yield f"only {served} of the last {len(last)} calls were served"
