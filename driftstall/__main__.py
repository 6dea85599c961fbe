"""Entry point of the daemon."""

from __future__ import annotations

import sys

from driftstall.helpers.start_signals import StartSignals


def main() -> int:
    """Record signals, then load and run the daemon."""
    start_signals = StartSignals()
    start_signals.install()
    # Loading the program takes most of a start.
    from driftstall.daemon.main import main as run

    return run(start_signals)


if __name__ == "__main__":
    sys.exit(main())
