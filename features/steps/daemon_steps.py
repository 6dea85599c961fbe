"""Check that the parts of an instance which run for its life go on."""

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
    """Answer the watches of a configuration: an unreadable one, a whole one, then nothing more."""

    def __init__(self) -> None:
        """Start before the first watch."""
        self._values: list[Any] = [{"generation": 1}, config_to_json(WHOLE)]

    def watch(self, key: str, after: int) -> tuple[int, tuple[VersionedValue, ...]]:
        """Return the next one."""
        if not self._values:
            gevent.sleep(WAIT_S)
        return 1, (VersionedValue(key, 1, self._values.pop(0)),)


@given("an instance whose platform stores a configuration that cannot be read, then a whole one")
def unreadable_config(context: Any) -> None:
    """Put together what follows the configuration."""
    hub = SimpleNamespace(
        platform=StoredConfigs(),
        on_message=lambda kind, handler: None,
        run_periodically=lambda period_s, work, prefix: None,
        notify_config=lambda document: None,
    )
    context.config_service = ConfigService(cast(Hub, hub), cast(MembershipService, None))


@when("it follows the platform")
def follow_config(context: Any) -> None:
    """Start it."""
    context.config_service.start()


@then("the whole one is in force")
def whole_in_force(context: Any) -> None:
    """Wait for it."""
    wait_for("the whole one is in force", lambda: context.config_service.document == WHOLE)


@given("a platform that takes a question and never answers")
def silent_platform(context: Any) -> None:
    """Read and say nothing."""

    def read(connection: socket.socket, _address: tuple[str, int]) -> None:
        while connection.recv(65_536):
            pass

    server = StreamServer(("127.0.0.1", 0), read)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.client = PlatformClient(f"127.0.0.1:{server.server_port}")


@then("a watch of it fails within {seconds:g} s")
def watch_fails(context: Any, seconds: float) -> None:
    """Watch it."""
    began = time.monotonic()
    with gevent.Timeout(seconds, AssertionError(f"it still waits after {seconds:g} s")):
        try:
            context.client.watch(KEY_CONFIG, 1)
        except PlatformUnavailable:
            assert time.monotonic() - began <= seconds
            return
    raise AssertionError("a silent platform was taken for one that answers")


@given("work that fails at first in a way that nobody expects")
def failing_work(context: Any) -> None:
    """Count the runs, and collect what the log tells."""
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
    """Start it."""
    context.kept = keep_running(PREFIX_MEMBERSHIP, context.work)


@then("it runs again, and the log tells why")
def runs_again(context: Any) -> None:
    """Wait for its end, and read the log."""
    context.kept.join(WAIT_S)
    assert context.runs == 2, context.runs
    assert any("nobody expects this" in str(line) for line in context.lines), context.lines
