"""Start an instance's listeners and services, and run it until its planned stop."""

from __future__ import annotations

import signal
from typing import Final

import gevent

from driftstall.const import PREFIX_DRAIN, PREFIX_MEMBERSHIP
from driftstall.daemon.callers import CallersApp
from driftstall.daemon.http_server import build_server
from driftstall.daemon.node import Node
from driftstall.daemon.operators import OperatorsApp
from driftstall.daemon.settings import Settings
from driftstall.helpers.log import log_event, start_log

STOP_CHECK_S: Final = 0.1


def run_instance(settings: Settings) -> None:
    """Run an instance until it has drained its requests and stopped, after SIGTERM or SIGINT."""
    start_log()
    node = Node(settings)
    callers = build_server(settings, settings.listen, CallersApp(node))
    operators = build_server(settings, settings.operator_listen, OperatorsApp(node))
    node.start()
    operators.start()
    callers.start()
    gevent.signal_handler(signal.SIGTERM, node.request_stop)
    gevent.signal_handler(signal.SIGINT, node.request_stop)
    log_event(PREFIX_MEMBERSHIP, f"Instance {settings.instance_id} listens on {settings.listen}")
    while not node.is_stopped:
        gevent.sleep(STOP_CHECK_S)
    callers.stop(timeout=1)
    operators.stop(timeout=1)
    node.hub.links.stop()
    log_event(PREFIX_DRAIN, f"Instance {settings.instance_id} has stopped")
