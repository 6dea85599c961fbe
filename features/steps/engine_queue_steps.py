"""Test the pure decisions of the queue for engine memory."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import replace
from typing import Any, Final

from behave import given, then, when

from driftstall.decisions.engine_queue import (
    EngineQueue,
    FillLimits,
    PlaceAttempt,
    QueuedRequest,
    QueueOrder,
    schedule,
)
from driftstall.decisions.generation_times import expected_hold_s, first_event_s, may_prefill
from driftstall.decisions.overload import (
    RESERVATION_GRACE_S,
    OverloadControl,
    caller_max_wait_s,
)
from driftstall.decisions.room_forecast import (
    DemandForecast,
    Release,
    ReservingLimits,
    RoomForecast,
)

NOW: Final = 100.0
FULL: Final = ReservingLimits({})
"""The limits of a service without more urgent work: all may fill the same share."""
SHORT_ORDER: Final = QueueOrder(0, 0)
LONG_ORDER: Final = QueueOrder(0, 1)
PASS_S: Final = 0.02
CHECK_S: Final = 0.1
SHORT_TARGET_S: Final = 1.5
LONGEST_WAIT_S: Final = 10.0
"""The longest wait by the default policy."""
BATCH_SLOWDOWN: Final = 1.75
"""How much longer a generation takes at an engine with a full batch than expected."""


def waiting(name: str, **more: Any) -> QueuedRequest:
    """Return a waiting request that needs 1,000 tokens for a second."""
    fields: dict[str, Any] = {
        "request_id": name,
        "sender": "instance-1",
        "service": "engines",
        "workspace": "north",
        "order": SHORT_ORDER,
        "share": 1.0,
        "prompt_tokens": 1000,
        "output_tokens": 0,
        "hold_s": 1.0,
        "zone": "a",
        "avoid": frozenset(),
        "wants_backup": False,
        "arrived_at": NOW,
        "start_by": NOW + 1.0,
        "gives_up_at": NOW + 6.0,
        "may_refuse": True,
        "ticket": f"ticket of {name}",
    }
    return QueuedRequest(**(fields | more))


def from_row(row: Any) -> QueuedRequest:
    """Return the request that a row of a table describes."""
    cells = row.as_dict()
    arrived = float(cells.get("arrived", NOW))
    return waiting(
        cells["id"],
        workspace=cells.get("workspace", "north"),
        order=QueueOrder(int(cells.get("rank", 0)), int(cells.get("route", 0))),
        prompt_tokens=int(cells.get("tokens", 1000)),
        hold_s=float(cells.get("hold", 1.0)),
        arrived_at=arrived,
        start_by=float(cells.get("start by", arrived + 1.0)),
        gives_up_at=float(cells.get("gives up", arrived + 6.0)),
        may_refuse=cells.get("may refuse", "yes") == "yes",
    )


def queue_of(*requests: QueuedRequest) -> EngineQueue:
    """Return a queue in which some requests wait."""
    queue = EngineQueue()
    for request in requests:
        queue.put(request)
    return queue


def names(requests: list[QueuedRequest]) -> list[str]:
    """Return the ids of requests."""
    return [request.request_id for request in requests]


def grant_first(queue: EngineQueue) -> QueuedRequest:
    """Grant the first request in order and return it."""
    (granted,) = schedule(queue, _limited(1), FULL, NOW)
    return granted


def _limited(count: int) -> PlaceAttempt:
    """Return a placing function that has room for a number of requests."""
    left = [count]

    def place(_: QueuedRequest, __: float, ___: frozenset[str] | None) -> bool:
        left[0] -= 1
        return left[0] >= 0

    return place


@given("these requests wait")
def requests_wait(context: Any) -> None:
    """Put the requests of the table into a queue."""
    context.queue = queue_of(*[from_row(row) for row in context.table])


@then('they are granted in the order "{ids}"')
def granted_in_order(context: Any, ids: str) -> None:
    """Grant one after the other."""
    expected = ids.split()
    assert names(context.queue.in_order(NOW)) == expected, context.queue.in_order(NOW)
    assert [context.queue.position(name, NOW) for name in expected] == list(range(len(expected)))
    granted = [grant_first(context.queue).request_id for _ in expected]
    assert granted == expected and not len(context.queue), granted


@given('{count:d} requests of "{flood}" wait, and then {few:d} of "{quiet}"')
def flood_waits(context: Any, count: int, flood: str, few: int, quiet: str) -> None:
    """Fill a queue by two workspaces; the flooding one has the least slack."""
    queue = context.queue = EngineQueue()
    for number in range(count):
        queue.put(waiting(f"{flood}-{number}", workspace=flood, start_by=NOW + 0.1))
    for number in range(few):
        queue.put(waiting(f"{quiet}-{number}", workspace=quiet, start_by=NOW + 5.0))


@then('the {count:d} of "{quiet}" are among the first {first:d}')
def among_first(context: Any, count: int, quiet: str, first: int) -> None:
    """Check the order as forecast, and as granted one after the other."""
    forecast = context.queue.in_order(NOW)[:first]
    granted = [grant_first(context.queue) for _ in range(first)]
    for served in (forecast, granted):
        assert sum(request.workspace == quiet for request in served) == count, names(served)


@given(
    '{count:d} requests of "{large}" with share {share:g} wait,'
    ' and {others:d} of "{small}" with share {less:g}'
)
def shares_wait(
    context: Any, count: int, large: str, share: float, others: int, small: str, less: float
) -> None:
    """Fill a queue by workspaces of different shares."""
    context.queue = queue_of(
        *[waiting(f"l-{number}", workspace=large, share=share) for number in range(count)],
        *[waiting(f"s-{number}", workspace=small, share=less) for number in range(others)],
    )


@then('of the first {total:d} granted {count:d} are of "{workspace}"')
def granted_by_share(context: Any, total: int, count: int, workspace: str) -> None:
    """Grant one after the other and count."""
    granted = [grant_first(context.queue) for _ in range(total)]
    assert sum(request.workspace == workspace for request in granted) == count, names(granted)


@given('{count:d} requests of "{workspace}" wait')
def backlog_waits(context: Any, count: int, workspace: str) -> None:
    """Fill a queue by one workspace."""
    context.queue = queue_of(
        *[waiting(f"{workspace}-{number}", workspace=workspace) for number in range(count)]
    )


@when(
    '"{workspace}" asks again each time that one of its requests is granted, for {total:d} grants'
)
def asks_one_by_one(context: Any, workspace: str, total: int) -> None:
    """Keep exactly one request of a workspace in the queue."""
    context.granted = []
    for number in range(total):
        if not any(request.workspace == workspace for request in context.queue.requests):
            context.queue.put(waiting(f"{workspace}-{number}", workspace=workspace))
        context.granted.append(grant_first(context.queue))


@then('{count:d} of the {total:d} are of "{workspace}"')
def share_of_single(context: Any, count: int, total: int, workspace: str) -> None:
    """Count the grants."""
    served = [request.workspace for request in context.granted]
    assert len(served) == total and served.count(workspace) == count, served


@given('{count:d} long requests of "{workspace}" wait')
def long_ones_wait(context: Any, count: int, workspace: str) -> None:
    """Fill a queue by long requests that find no room."""
    context.queue = queue_of(
        *[
            waiting(f"{workspace}-{number}", workspace=workspace, order=LONG_ORDER)
            for number in range(count)
        ]
    )


@when('{count:d} short requests of "{chat}" are granted, and then a long one of "{quiet}" arrives')
def short_ones_granted(context: Any, count: int, chat: str, quiet: str) -> None:
    """Grant short requests only, which come first."""
    for number in range(count):
        context.queue.put(waiting(f"{chat}-{number}", workspace=chat))
        assert grant_first(context.queue).workspace == chat
    context.queue.put(waiting(quiet, workspace=quiet, order=LONG_ORDER, start_by=NOW + 5.0))


@then('the long one of "{quiet}" is among the first {first:d} long ones')
def long_among_first(context: Any, quiet: str, first: int) -> None:
    """Check the position."""
    assert context.queue.position(quiet, NOW) < first, names(context.queue.in_order(NOW))


@given("an engine with {free:d} of {total:d} tokens free")
def one_engine(context: Any, free: int, total: int) -> None:
    """Create an engine without a fill limit."""
    context.free = [free]


def place_on_engine(context: Any) -> PlaceAttempt:
    """Return a placing function for one engine."""

    def place(request: QueuedRequest, _: float, only: frozenset[str] | None) -> bool:
        assert only is None, only
        if request.tokens > context.free[0]:
            return False
        context.free[0] -= request.tokens
        return True

    return place


@when("memory is granted")
def memory_granted(context: Any) -> None:
    """Run one pass."""
    context.granted = schedule(context.queue, place_on_engine(context), FULL, NOW)


@then('"{ids}" was granted')
def was_granted(context: Any, ids: str) -> None:
    """Compare the granted requests."""
    assert names(context.granted) == ids.split(), context.granted


@when(
    "one request of {tokens:d} tokens arrives and one ends each {seconds:g} s,"
    ' until "{name}" starts'
)
def small_ones_arrive(context: Any, tokens: int, seconds: float, name: str) -> None:
    """Let small requests of a lower rank arrive steadily, each as large as the one that ends."""
    context.overtook = 0
    for number in range(100):
        low = QueueOrder(1, 0)
        context.queue.put(waiting(f"s-{number}", order=low, prompt_tokens=tokens))
        granted = schedule(context.queue, place_on_engine(context), FULL, NOW + seconds * number)
        if name in names(granted):
            return
        context.overtook += len(granted)
        context.free[0] += tokens
    raise AssertionError(f"{name} was not granted")


@then('{count:d} requests have overtaken "{name}"')
def have_overtaken(context: Any, count: int, name: str) -> None:
    """Compare with the bound: twice its own tokens."""
    assert context.overtook == count, context.overtook


@then(
    "one pass with room for all grants {granted:d},"
    " and one check without hope for any refuses {refused:d}"
)
def bounded_pass(context: Any, granted: int, refused: int) -> None:
    """Check the numbers, on which the processor time of a pass depends."""
    forecast = RoomForecast(0, 10_000, (Release(NOW + 60.0, 10_000),), 10_000)
    overload = OverloadControl(random.Random(1))
    assert len(overload.refuse(context.queue.in_order(NOW), forecast, NOW)) == refused
    assert len(schedule(context.queue, _limited(300), FULL, NOW)) == granted


@given('engines "{first}" with {free:d} and "{second}" with {more:d} tokens free')
def two_engines(context: Any, first: str, free: int, second: str, more: int) -> None:
    """Create two engines."""
    context.engines = {first: free, second: more}


@given('a long request of {tokens:d} tokens waits that may not use "{engine}"')
def long_avoids(context: Any, tokens: int, engine: str) -> None:
    """Put a request into a queue."""
    long = waiting("long", prompt_tokens=tokens, avoid=frozenset({engine}))
    context.queue = queue_of(long)


@given("{count:d} requests of {tokens:d} tokens and a lower rank wait")
def small_wait(context: Any, count: int, tokens: int) -> None:
    """Put less urgent requests into the queue."""
    for number in range(count):
        low = QueueOrder(1, 0)
        context.queue.put(waiting(f"s-{number}", order=low, prompt_tokens=tokens))


@when("memory is granted on these engines until nothing more starts")
def granted_on_two(context: Any) -> None:
    """Run passes; the first engine is tried first."""
    free = context.engines
    context.given = dict.fromkeys(free, 0)

    def place(request: QueuedRequest, _: float, only: frozenset[str] | None) -> bool:
        for name in free:
            is_allowed = name not in request.avoid and (only is None or name in only)
            if is_allowed and request.tokens <= free[name]:
                free[name] -= request.tokens
                context.given[name] += 1
                return True
        return False

    while schedule(context.queue, place, FULL, NOW):
        pass


@then('"{first}" was given {count:d} request and "{second}" was given {more:d}')
def were_given(context: Any, first: str, count: int, second: str, more: int) -> None:
    """Compare the numbers of requests."""
    assert context.given == {first: count, second: more}, context.given
    assert "long" in context.queue


@given(
    "{count:d} short urgent requests of {tokens:d} tokens and {hold:g} s a second"
    " for {seconds:d} s, beside a long one"
)
def urgent_arrivals(context: Any, count: int, tokens: int, hold: float, seconds: int) -> None:
    """Record arrivals that are evenly spaced."""
    context.demand = DemandForecast()
    context.demand.record(waiting("long", order=LONG_ORDER), NOW - seconds)
    short = waiting("short", prompt_tokens=tokens, hold_s=hold)
    for number in range(count * seconds):
        context.demand.record(short, NOW - seconds + (number + 1) / count)


@then("on {total:d} tokens long requests may fill {long:g} and urgent ones {urgent:g}")
def may_fill(context: Any, total: int, long: float, urgent: float) -> None:
    """Compare the limits at the last arrival."""
    may_fill_after(context, 0, total, long, urgent)


@then(
    "after {seconds:d} s, on {total:d} tokens long requests may fill {long:g}"
    " and urgent ones {urgent:g}"
)
def may_fill_after(context: Any, seconds: int, total: int, long: float, urgent: float) -> None:
    """Compare the limits, to a hundredth: the mean counts the last seconds only."""
    limits = context.demand.limits(total, NOW + seconds)
    assert abs(limits.limit(LONG_ORDER) - long) < 0.011, limits
    assert limits.limit(SHORT_ORDER) == urgent, limits


@given(
    "{free:d} tokens are free, and {first:d} more at {at:g} s and {second:d} more at {then_at:g} s"
)
def free_and_two_releases(
    context: Any, free: int, first: int, at: float, second: int, then_at: float
) -> None:
    """Set the forecast of releases."""
    releases = (Release(then_at, second), Release(at, first))
    context.forecast = RoomForecast(free, 10_000, releases, 10_000 - free)


@given("{free:d} of {total:d} tokens are free, and {releases}")
def free_and_releases(context: Any, free: int, total: int, releases: str) -> None:
    """Set the forecast of releases, each as "4000 more at 102 s"."""
    parsed = []
    for text in releases.split(" and "):
        tokens, _, _, at, _ = text.split()
        parsed.append(Release(float(at), int(tokens)))
    context.forecast = RoomForecast(free, total, tuple(parsed), total - free)
    context.overload = OverloadControl(random.Random(1))


@given(
    "{free:d} of {total:d} tokens are free below the limit, and {used:d} are in use until {at:g} s"
)
def free_below_limit(context: Any, free: int, total: int, used: int, at: float) -> None:
    """Set a forecast in which memory is free, but kept for others."""
    context.forecast = RoomForecast(free, total, (Release(at, used),), used)
    context.overload = OverloadControl(random.Random(1))


@then('their starts are forecast at "{starts}"')
def starts_forecast(context: Any, starts: str) -> None:
    """Compare the starts, in order."""
    forecast = context.forecast.starts(context.queue.in_order(NOW), NOW)
    assert list(forecast.values()) == [float(start) for start in starts.split()], forecast


@when("overload is checked")
def overload_checked(context: Any) -> None:
    """Refuse what can't start in time, as the service does."""
    waiting_now = context.queue.in_order(NOW)
    context.refused = context.overload.refuse(waiting_now, context.forecast, NOW)
    for refused in context.refused:
        context.queue.remove(refused.request.request_id)


@then('"{ids}" was refused')
def was_refused(context: Any, ids: str) -> None:
    """Compare the refused requests, in the order of refusal."""
    assert [row.request.request_id for row in context.refused] == ids.split(), context.refused


@then('"" was refused')
def nothing_refused(context: Any) -> None:
    """Check that nothing was refused."""
    assert context.refused == [], context.refused


@then("it is told to come back after {least:g} s to {most:g} s")
def told_retry_after(context: Any, least: float, most: float) -> None:
    """Check the time to retry, and the forecast that it is made from."""
    (refused,) = context.refused
    assert least <= refused.retry_after_s <= most, refused
    assert refused.forecast_s == least, refused


@given("a request that was refused at 100 s until about 110 s")
def refused_once(context: Any) -> None:
    """Refuse one request."""
    context.overload = OverloadControl(random.Random(1))
    context.first = waiting("first", prompt_tokens=4000, hold_s=30.0, arrived_at=NOW - 1.0)
    forecast = RoomForecast(0, 10_000, (Release(NOW + 10.0, 4000),), 10_000)
    (context.refused,) = context.overload.refuse([context.first], forecast, NOW)
    context.queue = EngineQueue()


@given("others that have arrived at 105 s and can still start in time")
def others_arrived(context: Any) -> None:
    """Put others of the same workspace into the queue."""
    for number in range(5):
        request = waiting(f"o-{number}", arrived_at=NOW + 5.0, start_by=NOW + 12.0)
        context.queue.put(request)


def returned(context: Any, after_s: float) -> QueuedRequest:
    """Return the outcome for the refused request, sent again some seconds later."""
    at = NOW + after_s
    again = replace(
        context.first,
        request_id=f"again-{after_s:g}",
        arrived_at=at,
        start_by=at + 3.0,
        gives_up_at=at + 6.0,
    )
    outcome: QueuedRequest = context.overload.check_return(
        again, at, others_wait=len(context.queue) > 0
    )
    return outcome


@when("it comes back at its time")
def comes_back_in_time(context: Any) -> None:
    """Send the request again."""
    context.back_after_s = context.refused.retry_after_s
    context.again = returned(context, context.back_after_s)
    assert isinstance(context.again, QueuedRequest), context.again
    context.queue.put(context.again)


@then("it is the first in the queue, also after it has asked again")
def first_in_queue(context: Any) -> None:
    """Check the position at once, and when the question is repeated without the place."""
    at = NOW + context.back_after_s
    name = context.again.request_id
    assert context.queue.position(name, at + 0.1) == 0, context.queue.in_order(at + 0.1)
    context.queue.put(replace(context.first, request_id=name, arrived_at=at, start_by=at + 3.0))
    assert context.queue.position(name, at + 0.6) == 0, context.queue.in_order(at + 0.6)


@then("coming back at once or after 5 s it waits like a new one, and the place stays")
def early_gains_nothing(context: Any) -> None:
    """Send the request again too early: it gets no head start."""
    for after_s in (0.01, 5.0):
        outcome = returned(context, after_s)
        assert outcome.arrived_at == NOW + after_s and outcome.head_start_s == 0.0, outcome
        assert context.overload.reserved == 1


@then("if it is refused again then, it is told the time that is left")
def refused_again(context: Any) -> None:
    """Refuse the request that came back after 5 s."""
    again = replace(returned(context, 5.0), gives_up_at=NOW + 6.0)
    forecast = RoomForecast(0, 10_000, (Release(NOW + 30.0, 4000),), 10_000)
    (refused,) = context.overload.refuse([again], forecast, NOW + 5.0)
    left_s = context.refused.retry_after_s - 5.0
    assert math.isclose(refused.retry_after_s, left_s), refused
    assert context.overload.reserved == 1


@then("coming back after 5 s with nothing waiting is accepted")
def early_accepted(context: Any) -> None:
    """Send the request again too early, when the queue is empty."""
    assert isinstance(returned(context, 5.0), QueuedRequest)
    assert context.overload.reserved == 0


@given("4000 tokens are released at 112 s and 4000 at 120 s")
def releases_later(context: Any) -> None:
    """Set the releases."""
    releases = (Release(112.0, 4000), Release(120.0, 4000))
    context.forecast = RoomForecast(0, 10_000, releases, 10_000)


@then("a later request of the same rank is forecast to start at 120 s")
def later_starts_after(context: Any) -> None:
    """Check the forecast of a request that would start at 112 s without the reserved place."""
    later = waiting("later", prompt_tokens=4000, gives_up_at=NOW + 15.0)
    assert context.forecast.starts([later], NOW)["later"] == 112.0
    (refused,) = context.overload.refuse([later], context.forecast, NOW)
    assert refused.forecast_s == 20.0, refused


@then("no place is reserved {seconds:g} s after its time")
def place_expired(context: Any, seconds: float) -> None:
    """Check the places just before and after the grace time."""
    for after_s, places in ((RESERVATION_GRACE_S - 0.1, 1), (seconds, 0)):
        at = NOW + context.refused.retry_after_s + after_s
        context.overload.refuse([], RoomForecast(0, 1, (), 1), at)
        assert context.overload.reserved == places, after_s


def arrivals(engines: int) -> list[QueuedRequest]:
    """Return the requests of 20 s: from 5 s to 12 s 2.6 times the long ones, evenly spaced."""
    share_of_fleet = engines / 45
    long_s, short_s = 1 / (18.3 * share_of_fleet), 1 / (35.8 * share_of_fleet)
    rows = [(number * long_s, 4.0, f"w-{number % 4}") for number in range(int(20 / long_s))]
    rows += [(number * short_s, 1.5, f"w-{number % 4}") for number in range(int(20 / short_s))]
    rows += [(5.0 + number * long_s / 1.6, 4.0, "flood") for number in range(int(11.2 / long_s))]
    requests = []
    for at, target_s, workspace in sorted(rows):
        is_short = target_s == SHORT_TARGET_S
        prompt, output = (2200, 8) if is_short else (3000, 752)
        max_wait_s = min(LONGEST_WAIT_S, caller_max_wait_s(target_s, 0.18))
        requests.append(
            waiting(
                f"{workspace}-{at:.6f}-{target_s:g}",
                workspace=workspace,
                order=SHORT_ORDER if is_short else LONG_ORDER,
                prompt_tokens=prompt,
                output_tokens=output,
                hold_s=expected_hold_s(prompt, output),
                arrived_at=at,
                start_by=at + target_s - first_event_s(prompt),
                gives_up_at=at + max_wait_s - first_event_s(prompt),
            )
        )
    return requests


@given(
    "{engines:d} engines of {size:d} tokens,"
    " and a burst of one workspace's long generations for 7 s"
)
def burst(context: Any, engines: int, size: int) -> None:
    """Play arrivals, passes and ends; record when each request starts, and who is refused."""
    queue, demand = EngineQueue(), DemandForecast()
    overload = OverloadControl(random.Random(1))
    used = dict.fromkeys(range(engines), 0)
    ends: list[tuple[float, int, int]] = []
    context.started, context.refusals = [], []
    coming, now = arrivals(engines)[::-1], 0.0

    def place(request: QueuedRequest, limit: float, _: frozenset[str] | None) -> bool:
        engine = min(used, key=lambda name: used[name])
        if used[engine] + request.tokens > limit * size:
            return False
        used[engine] += request.tokens
        heapq.heappush(ends, (now + BATCH_SLOWDOWN * request.hold_s, engine, request.tokens))
        context.started.append((request, now))
        return True

    for step in range(int(40.0 / PASS_S)):
        now = step * PASS_S
        while ends and ends[0][0] <= now:
            _, engine, tokens = heapq.heappop(ends)
            used[engine] -= tokens
        while coming and coming[-1].arrived_at <= now:
            queue.put(coming[-1])
            demand.record(coming.pop(), now)
        limits: FillLimits = demand.limits(engines * size, now)
        schedule(queue, place, limits, now)
        if step % round(CHECK_S / PASS_S) == 0:
            limit = limits.limit(LONG_ORDER)
            free = sum(max(0, int(limit * size) - held) for held in used.values())
            releases = tuple(Release(at, tokens) for at, _, tokens in ends)
            forecast = RoomForecast(free, engines * size, releases, sum(used.values()))
            for refused in overload.refuse(queue.in_order(now), forecast, now):
                queue.remove(refused.request.request_id)
                context.refusals.append(refused.request)
    assert not len(queue) and not coming


@then("at least {percent:d} of 100 short requests start within their target")
def short_in_time(context: Any, percent: int) -> None:
    """Compare the starts with the latest ones that meet the target."""
    starts = [row for row in context.started if row[0].order == SHORT_ORDER]
    refused = sum(request.order == SHORT_ORDER for request in context.refusals)
    in_time = sum(at <= request.start_by for request, at in starts)
    assert in_time >= percent / 100 * (len(starts) + refused), (in_time, len(starts), refused)


@then("no workspace within its share is refused")
def only_flood_refused(context: Any) -> None:
    """Check that the overload reached only the flooding workspace."""
    refused = {request.workspace for request in context.refusals}
    late = {request.workspace for request, at in context.started if at > request.start_by}
    assert refused == late == {"flood"}, (refused, late)


@then(
    "an engine that has {waiting_tokens:d} tokens to prefill may get a prompt of {fitting:d},"
    " and not one of {larger:d}"
)
def bounded_prefill(context: Any, waiting_tokens: int, fitting: int, larger: int) -> None:
    """Check the bound: beyond it a more urgent prompt could not come first any more."""
    assert may_prefill(waiting_tokens, fitting)
    assert not may_prefill(waiting_tokens, larger)


@then("an engine that prefills nothing may get a prompt of {tokens:d}")
def any_prompt(context: Any, tokens: int) -> None:
    """Check that a prompt above the bound is not blocked for ever."""
    assert may_prefill(0, tokens)
