"""Check the shared retry budget with real gateway processes."""

from __future__ import annotations

import itertools
import re
import signal
import time
from typing import Any, Final

from behave import given, then, when

from driftstall.gateway.model import Bounds
from features.steps.gateway_node_steps import wait_for_processes
from soak.budget_checks import find_worst_window

NUMBERS: Final = itertools.count(1)


def ask(context: Any, target: str) -> None:
    """Send one request to the first instance."""
    context.sent_at.append(time.monotonic())
    context.nodes[0].ask(target, f"budget-{next(NUMBERS)}")


def retries(context: Any) -> list[float]:
    """Return when requests arrived at portals again."""
    arrivals: dict[str, list[float]] = {}
    for portal in context.portals:
        for record in portal.arrival_records:
            arrivals.setdefault(record.request_id, []).append(record.at)
    return [at for times in arrivals.values() for at in sorted(times)[1:]]


def metric(context: Any, name: str) -> float:
    """Return a metric of the first instance."""
    page = context.nodes[0].get("metrics", "/metrics")[1].decode()
    found = re.search(rf"^driftstall_gateway_{name}\S* (\S+)$", page, re.MULTILINE)
    assert found is not None, page
    return float(found[1])


@given("all portals turn requests away")
def portals_reject(context: Any) -> None:
    """Let all portals reject all requests, without a back-off."""
    context.sent_at = []
    for portal in context.portals:
        portal.rejected_share = 1.0


@when('one instance is asked for "{target}" until it has sent {count:d} retries')
def ask_until(context: Any, target: str, count: int) -> None:
    """Send requests one after the other."""

    def has_sent() -> bool:
        """Send one more request, and return whether that is enough."""
        ask(context, target)
        return len(retries(context)) >= count

    wait_for_processes(f"{count} retries", has_sent)


@when("the others end, and it is killed and starts again")
def restart_alone(context: Any) -> None:
    """End the other instances, and kill and restart the first one."""
    first, *others = context.nodes
    for node in (*others, first):
        node.signal(signal.SIGKILL)
        node.process.wait()
    first.restart()
    wait_for_processes("the instance is ready", first.is_ready)


@then("it has borrowed retries of others")
def has_borrowed(context: Any) -> None:
    """Check the metric of borrowed retries."""
    assert metric(context, "retries_borrowed_total") > 0


@then("the portals got no more than {share:f} of the allowed retries")
def kept(context: Any, share: float) -> None:
    """Check all windows, from what the portals have received."""
    found = find_worst_window(context.sent_at, retries(context), Bounds())
    assert found.used_share <= share, found


@then("it sends none of the next {count:d} requests again")
def none_again(context: Any, count: int) -> None:
    """Check that the restarted instance sends each request once."""
    before = len(retries(context))
    for _ in range(count):
        ask(context, "/safe/a")
    assert len(retries(context)) == before, len(retries(context)) - before
