"""Check the promises on what callers and upstreams saw; each broken one gives a line."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from soak.ledger import STORE, Arrival, Ledger, RequestKind, SentRequest

NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""
DENIED: Final = frozenset({400, 401, 403, 404, 413, 431})
CONTACT_S: Final = 3.0
"""A part that was disturbed counts as calm again after this time (contactMs)."""
LATE_S: Final = 0.5
"""How long after its time an answer may come."""
DRAIN_S: Final = 2.0
"""An upstream that leaves gets nothing after this time (drainMs)."""
OWN_WORD_KNOWN_S: Final = 2.9
"""An engine that says itself that it leaves gets nothing new after this time, whatever the store
says: an idle question (1.6 s), the time to give it up (0.7 s), one to the engine (0.5 s), a hop."""
CORDON_S: Final = 2.5
"""An upstream of a cordoned zone gets nothing after this time (evacuateMs)."""
COLD_RATE: Final = 3.0
"""Requests a second that a cold upstream bears (coldPerS)."""
COLD_RATE_FACTOR: Final = 1.5
COLD_SLACK: Final = 2.0
"""It may get COLD_RATE x COLD_OVER + COLD_SLACK in a second (coldOver, coldSlack)."""
COLD_KNOWN_S: Final = 0.5
"""The store tells of a cold upstream at once here, and busy processes read it a little later."""
REJECTED_KNOWN_S: Final = 0.5
"""What was under way when an upstream rejected a request may arrive within this time."""
APPLY_S: Final = 2.0
"""A configuration is in force after this time (configApplyMs)."""
LIMIT_WINDOW_S: Final = 4.0
LIMIT_RATE_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5
"""An upstream that names a limit may get limit x LIMIT_OVER x LIMIT_WINDOW_S + LIMIT_SLACK."""
FALL_KNOWN_S: Final = 0.5
"""A limit that falls counts for all after this time; an answer tells of it soon."""
FATAL_CRASH_THRESHOLD: Final = 3
MAX_FATAL_SENDS: Final = 3
"""What so many upstreams have ended under may be sent so often again, once all can know."""
CRASHES: Final = b'"crashes_runners"'
MAX_FALSE_REFUSALS: Final = 3
"""Requests that were only beside two crashes, before word of a good end had come."""
RECOVERED_SHARE: Final = 0.9
"""Share of the requests of the last seconds that must be served."""
LAST_S: Final = 2.0
MACHINE_SLACK_S: Final = 0.5
"""Many processes share few cores here; bounds in time are checked with this much more."""
CALM_AFTER_S: Final = CONTACT_S + MACHINE_SLACK_S


def find_violations(ledger: Ledger) -> list[str]:
    """Return a line for each broken promise."""
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in ledger.arrivals:
        runs[arrival.request_id].append(arrival)
    found = [*ledger.unexpected_exits, *ledger.not_ready]
    for one in ledger.requests.values():
        found += [f"{line}: {_describe(one)}" for line in _request(ledger, one, runs)]
    found += list(_unasked(ledger))
    found += list(_after_notice(ledger))
    found += list(_after_own_word(ledger))
    found += list(_after_signal(ledger))
    found += list(_in_backoff(ledger))
    found += list(_in_cordon(ledger))
    found += list(_cold(ledger))
    found += list(_limits(ledger))
    found += list(_ended_under(ledger))
    found += list(_blamed(ledger))
    found += list(_recovery(ledger))
    return found


def _request(ledger: Ledger, one: SentRequest, runs: dict[str, list[Arrival]]) -> Iterator[str]:
    """Check one request by itself."""
    ran = [arrival for arrival in runs[one.request_id] if not arrival.is_resumed]
    if one.kind in (RequestKind.ONCE, RequestKind.STREAM) and len(ran) > 1:
        yield f"ran {len(ran)} times"
    if one.status in NOT_RUN and ran:
        yield "said not to have run, but ran"
    if one.status in NOT_RUN and b"retry" not in one.body and one.status == 503:
        yield "refused without a time to come back"
    if one.status == 200 and not one.sealed:
        yield "a success that no upstream gave"
    if one.kind is RequestKind.STREAM and one.status == 200:
        yield from _stream(ledger, one)
    elif one.status == 200 and one.complete and one.body != b"whole":
        yield "a success with another body"
    if (
        one.kind in (RequestKind.SAFE, RequestKind.ONCE, RequestKind.STREAM)
        and one.status in DENIED
    ):
        yield "denied though every configuration allows it"
    yield from _configuration(ledger, one)
    yield from _in_time(ledger, one)


def _stream(ledger: Ledger, one: SentRequest) -> Iterator[str]:
    """Check the events of a stream."""
    events = one.events
    if events != list(range(1, len(events) + 1)):
        yield f"events out of order or missing: {events}"
    if one.complete and len(events) != ledger.events:
        yield f"ended as complete after {len(events)} events"


def _configuration(ledger: Ledger, one: SentRequest) -> Iterator[str]:
    """Check what the newest configuration has changed, at calm instances."""
    if one.kind not in (RequestKind.ADDED, RequestKind.DROPPED) or not _calm(ledger, one):
        return
    if one.kind is RequestKind.ADDED and one.status in DENIED:
        yield "an added route is not known"
    if one.kind is RequestKind.DROPPED and one.status == 200:
        yield "a dropped route is still served"


def _in_time(ledger: Ledger, one: SentRequest) -> Iterator[str]:
    """Check that the final answer came in time, from a calm instance."""
    took_s = one.ended_at - one.sent_at
    if took_s > one.timeout_s + LATE_S + MACHINE_SLACK_S and _calm(ledger, one):
        yield f"no final answer for {took_s:.1f} s"


def _calm(ledger: Ledger, one: SentRequest, until: float | None = None) -> bool:
    """Tell whether the instance and the store were calm around a request, to its end or earlier."""
    begins, ends = one.sent_at - CALM_AFTER_S, one.ended_at if until is None else until
    return all(ledger.is_undisturbed(name, begins, ends) for name in (one.instance, STORE))


def _unasked(ledger: Ledger) -> Iterator[str]:
    """Check that upstreams saw only what callers have sent."""
    for arrival in ledger.arrivals:
        asked = ledger.requests.get(arrival.request_id)
        if asked is None or asked.path != arrival.target:
            yield f"nobody asked for this: {arrival}"


def _after_notice(ledger: Ledger) -> Iterator[str]:
    """Check that an upstream that leaves gets nothing from calm instances any more.

    The store was calm when it took the notice, and store and instance when the request came. What
    disturbed the instance between the two is no excuse: it has had time to learn of the notice.
    """
    for arrival in ledger.arrivals:
        notice = ledger.notices.get(arrival.upstream_id)
        if notice is None or arrival.at <= notice.at + DRAIN_S + MACHINE_SLACK_S:
            continue
        asked = ledger.requests[arrival.request_id]
        stable = ledger.is_undisturbed(STORE, notice.at - CALM_AFTER_S, notice.at)
        if stable and _calm(ledger, asked, arrival.at):
            late = arrival.at - notice.at
            yield f"sent to {arrival.upstream_id} {late:.1f} s after its notice: {_describe(asked)}"


def _after_own_word(ledger: Ledger) -> Iterator[str]:
    """Check that an engine gets nothing new once calm instances can know its own word.

    The store is silent then, and is no excuse: the engine tells who asks it.
    """
    for arrival in ledger.arrivals:
        told = ledger.leaving_reports.get(arrival.upstream_id)
        if told is None or arrival.is_resumed:
            continue
        late = arrival.at - told.at
        asked = ledger.requests[arrival.request_id]
        calm = ledger.is_undisturbed(asked.instance, told.at - CALM_AFTER_S, arrival.at)
        if late > OWN_WORD_KNOWN_S + MACHINE_SLACK_S and calm:
            yield f"sent to {arrival.upstream_id} {late:.1f} s after its word: {_describe(asked)}"


def _after_signal(ledger: Ledger) -> Iterator[str]:
    """Check that no instance sends to an upstream that has signalled to it that it leaves.

    Only a stop of the instance since then is an excuse: neither the store nor a link is. Instances
    that were calm hear of it from the others.
    """
    for upstream_id, signals in ledger.signalled_leaving.items():
        first: dict[str, float] = {}
        heard_at = min((one.at for one in signals), default=float("inf")) + CONTACT_S
        for signal in signals:
            instance = ledger.requests[signal.request_id].instance
            first[instance] = min(signal.at, first.get(instance, signal.at))
        for one in ledger.received[upstream_id]:
            asked = ledger.requests[one.request_id]
            since = first.get(asked.instance)
            if one.at > heard_at + MACHINE_SLACK_S and ledger.is_undisturbed(
                asked.instance, heard_at - CONTACT_S, one.at
            ):
                late = one.at - heard_at + CONTACT_S
                yield f"sent to {upstream_id} {late:.1f} s after any signal: {_describe(asked)}"
            if since is None or one.at <= since + DRAIN_S + MACHINE_SLACK_S:
                continue
            if ledger.ran_throughout(asked.instance, since, one.at):
                late = one.at - since
                yield f"sent to {upstream_id} {late:.1f} s after its signal: {_describe(asked)}"


def _in_backoff(ledger: Ledger) -> Iterator[str]:
    """Check that no calm instance sends to an upstream within its back-off."""
    for upstream_id, rejections in ledger.rejections.items():
        for rejection in rejections:
            instance = ledger.requests[rejection.request_id].instance
            begins = rejection.at + REJECTED_KNOWN_S + MACHINE_SLACK_S
            for one in ledger.received[upstream_id]:
                asked = ledger.requests[one.request_id]
                is_within = begins < one.at < rejection.at + rejection.for_s
                if not is_within or asked.instance != instance:
                    continue
                if ledger.is_undisturbed(instance, rejection.at, one.at):
                    after = one.at - rejection.at
                    told = f"sent to {upstream_id} {after:.1f} s after a back-off"
                    yield f"{told} of {rejection.for_s:g} s: {_describe(asked)}"


def _in_cordon(ledger: Ledger) -> Iterator[str]:
    """Check that upstreams of a cordoned zone get nothing from calm instances after the bound."""
    for stay in ledger.cordoned:
        since = stay.window.begins
        if not ledger.is_undisturbed(STORE, since - CALM_AFTER_S, since):
            continue
        for arrival in ledger.arrivals:
            late = arrival.at - since
            is_late = late > CORDON_S + MACHINE_SLACK_S and arrival.at <= stay.window.ends
            if arrival.upstream_id != stay.upstream_id or not is_late:
                continue
            asked = ledger.requests[arrival.request_id]
            if _calm(ledger, asked, arrival.at):
                told = f"sent to {stay.upstream_id} {late:.1f} s after its zone was cordoned"
                yield f"{told}: {_describe(asked)}"


def _cold(ledger: Ledger) -> Iterator[str]:
    """Check that all instances together, calm or not, spare cold upstreams."""
    most = COLD_RATE * COLD_RATE_FACTOR + COLD_SLACK
    for stay in ledger.cold:
        times = sorted(
            one.at
            for one in ledger.arrivals
            if one.upstream_id == stay.upstream_id
            and stay.window.begins + COLD_KNOWN_S <= one.at <= stay.window.ends
        )
        for index, at in enumerate(times):
            count = sum(other < at + 1.0 for other in times[index:])
            if count > most:
                yield f"cold {stay.upstream_id} got {count} requests within a second, at {at:.2f}"
                break


def _limits(ledger: Ledger) -> Iterator[str]:
    """Check that calm instances together send upstreams no more than their limits allow.

    The store's troubles are no excuse, nor are those of an instance that ended before.
    """
    for one in ledger.limited:
        most = one.per_s * LIMIT_RATE_FACTOR * LIMIT_WINDOW_S + LIMIT_SLACK
        known_s = CONTACT_S if one.is_first else FALL_KNOWN_S
        since = one.window.begins + known_s + MACHINE_SLACK_S
        times = sorted(
            arrival.at
            for arrival in ledger.arrivals
            if arrival.upstream_id == one.upstream_id
            and since <= arrival.at <= one.window.ends
            and _runs_calm(ledger, ledger.requests[arrival.request_id].instance, arrival.at)
        )
        for index, at in enumerate(times):
            count = sum(other < at + LIMIT_WINDOW_S for other in times[index:])
            if count > most:
                yield (
                    f"{one.upstream_id} takes {one.per_s:g} a second and got {count} requests "
                    f"within {LIMIT_WINDOW_S:g} s, at {at:.2f}"
                )
                break


def _runs_calm(ledger: Ledger, instance: str, at: float) -> bool:
    """Tell whether an instance was calm for long enough when it sent something."""
    return ledger.is_undisturbed(instance, at - CALM_AFTER_S, at)


def _ended_under(ledger: Ledger) -> Iterator[str]:
    """Check that calm instances send on no more what has ended three upstreams."""
    for target in sorted({one.target for one in ledger.fatal_crashes}):
        times = sorted(one.at for one in ledger.fatal_crashes if one.target == target)
        if len(times) < FATAL_CRASH_THRESHOLD:
            continue
        due = times[FATAL_CRASH_THRESHOLD - 1] + CONTACT_S + MACHINE_SLACK_S
        late = [
            one
            for one in ledger.arrivals
            if one.target == target
            and one.at > due
            and _calm(ledger, ledger.requests[one.request_id], one.at)
        ]
        if len(late) > MAX_FATAL_SENDS:
            yield (
                f"{target} was sent on {len(late)} times after three upstreams had ended under it; "
                f"{len(times)} ended in all"
            )


def _blamed(ledger: Ledger) -> Iterator[str]:
    """Check that what ends no upstream is not refused for it, but for a moment."""
    fatal = {one.target for one in ledger.fatal_crashes}
    refused = [
        one
        for one in ledger.requests.values()
        if CRASHES in one.body and one.path not in fatal and _calm(ledger, one)
    ]
    if len(refused) > MAX_FALSE_REFUSALS:
        yield f"{len(refused)} requests refused that end nothing: {_describe(refused[0])}"


def _recovery(ledger: Ledger) -> Iterator[str]:
    """Check that nearly all is served once all faults have ended."""
    usual = [
        one for one in ledger.requests.values() if one.kind in (RequestKind.SAFE, RequestKind.ONCE)
    ]
    end = max((one.sent_at for one in usual), default=0.0)
    last = [one for one in usual if one.sent_at >= end - LAST_S]
    served = sum(one.status == 200 and one.complete for one in last)
    if served < RECOVERED_SHARE * len(last):
        yield f"only {served} of the last {len(last)} calls were served"


def _describe(one: SentRequest) -> str:
    """Return what one needs to look a request up in the logs."""
    return (
        f"request {one.request_id} ({one.kind}) to {one.instance} at {one.sent_at:.2f} s, "
        f"status {one.status}, complete {one.complete}, took {one.ended_at - one.sent_at:.2f} s"
    )
