"""Record the signals that arrive while a program starts.

Until a program has installed its handlers, SIGHUP and SIGTERM end the process, and loading the
program takes most of a start. This module therefore imports nothing that takes time, and a program
installs the recorder before its other imports.
"""

from __future__ import annotations

import signal


class StartSignals:
    """Record a reload (SIGHUP) or a stop (SIGTERM) that is requested during the start.

    Other handlers may replace the recorder at any time; what it has recorded stays available.
    """

    def __init__(self) -> None:
        """Start without a request."""
        self._is_reload_requested = False
        self._is_stop_requested = False

    @property
    def is_reload_requested(self) -> bool:
        """Return True if SIGHUP has arrived."""
        return self._is_reload_requested

    @property
    def is_stop_requested(self) -> bool:
        """Return True if SIGTERM has arrived."""
        return self._is_stop_requested

    def install(self) -> None:
        """Record SIGHUP and SIGTERM from now on."""
        signal.signal(signal.SIGHUP, self._handle)
        signal.signal(signal.SIGTERM, self._handle)

    def ignore(self) -> None:
        """Ignore both signals while the process exits.

        The interpreter restores the default action of each handled signal before it ends.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)

    def _handle(self, number: int, _: object) -> None:
        """Record a signal."""
        if number == signal.SIGHUP:
            self._is_reload_requested = True
        else:
            self._is_stop_requested = True
