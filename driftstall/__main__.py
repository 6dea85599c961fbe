"""Entry point of the daemon."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402

from driftstall.bootstrap import run_instance  # noqa: E402
from driftstall.daemon.settings import Settings  # noqa: E402
from driftstall.exceptions import SettingsError  # noqa: E402

EXIT_SETTINGS = 2


def main() -> int:
    """Read the settings and run; print all faults of invalid settings together."""
    try:
        settings = Settings.from_args(sys.argv[1:], os.environ)
    except SettingsError as error:
        for fault in error.faults:
            print(f"driftstalld: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        run_instance(settings)
    except OSError as fault:
        print(f"driftstalld: cannot listen: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
