"""Test that the daemon's long-running tasks continue after unexpected errors."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any, cast

import gevent
from behave import given, then, when
from eliot import add_destinations, remove_destination
from gevent import socket
from gevent.server import StreamServer

from driftstall.const import KEY_CONFIG, PREFIX_MEMBERSHIP
from driftstall.controllers.configuration import ConfigDocument
from driftstall.daemon.config_service import ConfigService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.wire import config_to_json
from driftstall.exceptions import PlatformUnavailable
from driftstall.helpers.tasks import keep_running
from driftstall.platform.client import PlatformClient, VersionedValue
from features.worlds.gateway_world import WAIT_S, wait_for

WHOLE = ConfigDocument(2, "", (), (), ("s-1",))


class StoredConfigs:
    """Answer configuration watches with a malformed value, a valid value, then block."""

    def __init__(self) -> None:
        """Set the values in order."""
        self._values: list[Any] = [{"generation": 1}, config_to_json(WHOLE)]

    def watch(self, key: str, after: int) -> tuple[int, tuple[VersionedValue, ...]]:
        """Return the next value."""
        if not self._values:
            gevent.sleep(WAIT_S)
        return 1, (VersionedValue(key, 1, self._values.pop(0)),)


@given("an instance whose platform stores a configuration that cannot be read, then a whole one")
def unreadable_config(context: Any) -> None:
    """Create the configuration service with stand-ins."""
    hub = SimpleNamespace(
        platform=StoredConfigs(),
        on_message=lambda kind, handler: None,
        run_periodically=lambda period_s, work, prefix: None,
        notify_config=lambda document: None,
    )
    context.config_service = ConfigService(cast(Hub, hub), cast(MembershipService, None))


@when("it follows the platform")
def follow_config(context: Any) -> None:
    """Start the configuration service."""
    context.config_service.start()


@then("the whole one is in force")
def whole_in_force(context: Any) -> None:
    """Wait until the valid configuration is in force."""
    wait_for(
        "the valid configuration is in force", lambda: context.config_service.document == WHOLE
    )


@given("a platform that takes a question and never answers")
def silent_platform(context: Any) -> None:
    """Start a server that reads requests and never responds."""

    def read(connection: socket.socket, _address: tuple[str, int]) -> None:
        while connection.recv(65_536):
            pass

    server = StreamServer(("127.0.0.1", 0), read)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.client = PlatformClient(f"127.0.0.1:{server.server_port}")


@then("a watch of it fails within {seconds:g} s")
def watch_fails(context: Any, seconds: float) -> None:
    """Check that a watch raises PlatformUnavailable in time."""
    started_at = time.monotonic()
    with gevent.Timeout(seconds, AssertionError(f"it still waits after {seconds:g} s")):
        try:
            context.client.watch(KEY_CONFIG, 1)
        except PlatformUnavailable:
            assert time.monotonic() - started_at <= seconds
            return
    raise AssertionError("a watch of a silent platform returned an answer")


@given("work that fails at first in a way that nobody expects")
def failing_work(context: Any) -> None:
    """Create work that raises at its first run, and record the log lines."""
    context.runs = 0
    context.lines = []
    add_destinations(context.lines.append)
    context.add_cleanup(remove_destination, context.lines.append)

    def work() -> None:
        context.runs += 1
        if context.runs == 1:
            raise KeyError("nobody expects this")

    context.work = work


@when("it is kept running")
def kept_running(context: Any) -> None:
    """Start the work under supervision."""
    context.running = keep_running(PREFIX_MEMBERSHIP, context.work)


@then("it runs again, and the log tells why")
def runs_again(context: Any) -> None:
    """Wait for its end, and check the number of runs and the log line."""
    context.running.join(WAIT_S)
    assert context.runs == 2, context.runs
    assert any("nobody expects this" in str(line) for line in context.lines), context.lines
