"""Run a gateway instance on the platform.

Usage:
  python3 -m driftstall.platform

The standard library is not monkey-patched: all blocking calls here are gevent's own. Patching would
lengthen the start by half, and after a kill callers are not served until the start has finished.
"""

from __future__ import annotations

from driftstall.helpers.start_signals import StartSignals

START_SIGNALS = StartSignals()
if __name__ == "__main__":
    # Before the imports below, which take most of a start.
    START_SIGNALS.install()

import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Final  # noqa: E402

import gevent  # noqa: E402

from driftstall.const import PREFIX_CONFIGURATION  # noqa: E402
from driftstall.exceptions import ListenError, SettingsError, SettingsUnreadable  # noqa: E402
from driftstall.gateway.model import GatewaySettings  # noqa: E402
from driftstall.gateway.node import GatewayNode, PlatformAccess  # noqa: E402
from driftstall.gateway.registration import InstanceEntries  # noqa: E402
from driftstall.helpers.log import log_event, start_log  # noqa: E402
from driftstall.platform import feeds  # noqa: E402
from driftstall.platform.crashes import PlatformCrashStore  # noqa: E402
from driftstall.platform.dialect import PlatformDialect  # noqa: E402
from driftstall.platform.settings import read_settings, settings_path  # noqa: E402
from driftstall.platform.store import Store  # noqa: E402
from driftstall.policy.default import default_policy  # noqa: E402
from driftstall.util import clock  # noqa: E402

EXIT_SETTINGS: Final = 2
EXIT_LISTEN: Final = 3
SETTINGS_WAIT_S: Final = 5.0
"""Longest wait for a settings file that is missing or incomplete when the process starts."""
SETTINGS_RETRY_S: Final = 0.1


def main() -> int:
    """Read the settings and run; print all faults of invalid settings together."""
    try:
        return _run_instance()
    except SettingsError as error:
        for fault in error.faults:
            print(f"driftstall: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    except ListenError as error:
        print(f"driftstall: cannot listen: {error}", file=sys.stderr)
        return EXIT_LISTEN
    finally:
        START_SIGNALS.ignore()


def _run_instance() -> int:
    """Run an instance until its planned stop; raise SettingsError or ListenError."""
    log = start_log()
    path = settings_path(os.environ)
    settings = _wait_for_settings(path)
    if settings is not None:
        node = GatewayNode(settings, path, platform_access(settings), default_policy(), log)
        node.run(START_SIGNALS)
    return 0


def _wait_for_settings(path: Path) -> GatewaySettings | None:
    """Read the settings, and wait while their file is incomplete; None if a stop is requested."""
    until = clock.now() + SETTINGS_WAIT_S
    has_logged = False
    while not START_SIGNALS.is_stop_requested:
        try:
            return read_settings(path)
        except SettingsUnreadable as error:
            if clock.now() >= until:
                raise
            if not has_logged:
                has_logged = True
                log_event(PREFIX_CONFIGURATION, f"Waiting for the settings: {error}")
        gevent.sleep(SETTINGS_RETRY_S)
    return None


def platform_access(settings: GatewaySettings) -> PlatformAccess:
    """Return the platform adapter's components for an instance."""
    store = Store(settings.platform_address)
    return PlatformAccess(
        dialect=PlatformDialect(),
        upstreams=feeds.upstream_feed(store),
        cordons=feeds.cordon_feed(store),
        routing=feeds.routing_feed(store),
        policies=feeds.policy_feed(store),
        instances=InstanceEntries(
            feeds.instance_feed(store),
            feeds.instance_feed(store, stale=True),
            register=lambda instance: feeds.register_instance(store, instance),
            withdraw=lambda instance_id: feeds.withdraw_instance(store, instance_id),
        ),
        crashes=PlatformCrashStore(store),
        policy=feeds.PlatformPolicyStore(store),
        subscribe_store_eras=store.subscribe_store_eras,
        use_address=store.use_address,
        call_count=lambda: store.calls,
        read_settings=read_settings,
    )


if __name__ == "__main__":
    sys.exit(main())
