"""Bind listeners whose addresses may still be in use by a process that is about to end."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Final

import gevent

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.exceptions import ListenError
from driftstall.helpers.log import log_event
from driftstall.util import clock

ADDRESS_WAIT_S: Final = 10.0
"""Longest wait for an address: a process that is stopped has ended by then."""
RETRY_INTERVAL_S: Final = 0.1
TEMPORARY_ERRORS: Final = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""An address may also appear on the machine after the start of the process."""


def bind_when_free(
    bind: Callable[[], None],
    should_stop: Callable[[], bool],
    *,
    wait_s: float = ADDRESS_WAIT_S,
) -> None:
    """Call a function that binds an address until that is free, or the start is abandoned.

    The function must have no effect if it fails. Raises ListenError after `wait_s` seconds, and at
    once if the address can never be used.
    """
    until = clock.now() + wait_s
    has_logged = False
    while not should_stop():
        try:
            bind()
            return
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS or clock.now() >= until:
                raise ListenError(str(error)) from error
            if not has_logged:
                has_logged = True
                log_event(PREFIX_MEMBERSHIP, f"Waiting for an address to become free: {error}")
        gevent.sleep(RETRY_INTERVAL_S)
