"""Bound the time for which a watch on the platform may wait for a change.

An open connection may pass on nothing any more without being reset: a middlebox has forgotten it,
a network partition has dropped the packets under way, or the other end has lost its state. New
connections work. An instance that waits on such a connection can't distinguish this from "nothing
has changed". Where this affects all instances at once, no peer has newer information.

So silence counts as an answer only for a bounded time: a watch is given up early enough to be
repeated on another connection, and answered, before an instance must have caught up after a
disturbance.
"""

from __future__ import annotations

from typing import Final

ANSWER_MARGIN_S: Final = 0.7
"""Time that the response to an idle watch may take in addition to its wait. A store that is fifty
times slower than usual takes 0.2 s."""
REPEAT_S: Final = 0.7
"""Time to repeat the watch on another connection and process the response: a pause of up to 0.15 s
after the first failure, a connection and a response of a slow store (0.25 s), and the remainder
for a busy machine."""
MAX_WAIT_S: Final = 2.5
"""Longer waits save little: an idle watch is one call."""
MIN_WAIT_S: Final = 0.3
"""With a shorter wait an instance would poll without a pause."""


def max_watch_wait_s(catch_up_s: float) -> float:
    """Return how long an idle watch may wait, in seconds.

    Within the catch-up time after a disturbance an instance must know the current state again.
    """
    remaining_s = catch_up_s - ANSWER_MARGIN_S - REPEAT_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, remaining_s))
