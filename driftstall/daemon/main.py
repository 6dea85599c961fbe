"""Run the daemon of the own interface."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402

from driftstall.bootstrap import run_instance  # noqa: E402
from driftstall.daemon.settings import Settings  # noqa: E402
from driftstall.exceptions import ListenError, SettingsError  # noqa: E402
from driftstall.helpers.start_signals import StartSignals  # noqa: E402

EXIT_SETTINGS = 2
EXIT_LISTEN = 3


def main(start_signals: StartSignals) -> int:
    """Read the settings and run; print all faults of invalid settings together."""
    try:
        settings = Settings.from_args(sys.argv[1:], os.environ)
    except SettingsError as error:
        for fault in error.faults:
            print(f"driftstalld: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        run_instance(settings, start_signals)
    except ListenError as fault:
        print(f"driftstalld: cannot listen: {fault}", file=sys.stderr)
        return EXIT_LISTEN
    finally:
        start_signals.ignore()
    return 0
