"""Start an instance's listeners and services, and run it until its planned stop."""

from __future__ import annotations

import signal
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_DRAIN, PREFIX_MEMBERSHIP
from driftstall.daemon.callers import CallersApp
from driftstall.daemon.http_server import (
    CALLERS_DESCRIPTOR_SHARE,
    OPERATORS_DESCRIPTOR_SHARE,
    build_server,
)
from driftstall.daemon.node import Node
from driftstall.daemon.operators import MAX_BODY_BYTES, OperatorsApp
from driftstall.daemon.settings import Settings
from driftstall.helpers.listening import bind_when_free
from driftstall.helpers.log import log_event, start_log
from driftstall.helpers.start_signals import StartSignals

STOP_CHECK_S: Final = 0.1


def run_instance(settings: Settings, start_signals: StartSignals) -> None:
    """Run an instance until it has drained its requests and stopped, after SIGTERM or SIGINT.

    Raises ListenError if an address stays in use.
    """
    start_log()
    node = Node(settings)
    callers = build_server(
        settings,
        settings.listen,
        CallersApp(node),
        max_body=settings.max_body,
        descriptor_share=CALLERS_DESCRIPTOR_SHARE,
    )
    operators = build_server(
        settings,
        settings.operator_listen,
        OperatorsApp(node),
        max_body=MAX_BODY_BYTES,
        descriptor_share=OPERATORS_DESCRIPTOR_SHARE,
    )
    stop_requested = Event()
    if start_signals.is_stop_requested:
        stop_requested.set()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, _log_reload)
    for bind in (node.hub.links.bind, operators.init_socket, callers.init_socket):
        bind_when_free(bind, stop_requested.is_set)
    if stop_requested.is_set():
        log_event(PREFIX_DRAIN, "Stopped before the start was complete")
        return
    node.start()
    operators.start()
    callers.start()
    gevent.spawn(_stop_when_requested, stop_requested, node)
    log_event(PREFIX_MEMBERSHIP, f"Instance {settings.instance_id} listens on {settings.listen}")
    while not node.is_stopped:
        gevent.sleep(STOP_CHECK_S)
    callers.stop(timeout=1)
    operators.stop(timeout=1)
    node.hub.links.stop()
    log_event(PREFIX_DRAIN, f"Instance {settings.instance_id} has stopped")


def _stop_when_requested(stop_requested: Event, node: Node) -> None:
    """Begin the planned stop once it is requested."""
    stop_requested.wait()
    node.request_stop()


def _log_reload() -> None:
    """Log a request to reload; settings are flags and variables, which cannot change."""
    log_event(PREFIX_CONFIGURATION, "There are no settings to reload")
