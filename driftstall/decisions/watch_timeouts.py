"""Decide for how long a question to the platform may wait for something to change.

Pattern: an open connection passes nothing on any more and is not reset either: a middlebox has
forgotten it, a cut has swallowed what was under way, or the other end has lost its memory of it.
New connections work. Whoever waits there for word of a change can't tell that from "nothing has
changed". Where this strikes all instances at once, no peer knows better.

So silence counts as an answer only for a bounded time: a question that waits is given up early
enough to be asked anew, on another connection, and answered, before an instance must have caught
up after a disturbance.
"""

from __future__ import annotations

from typing import Final

ANSWER_MARGIN_S: Final = 0.7
"""Time that the answer of an idle question may take besides its wait. A store that is fifty times
slower than usual takes 0.2 s."""
ASK_ANEW_S: Final = 0.7
"""Time to ask again on another connection and take the answer in: a pause of up to 0.15 s after the
first failure, a connection and an answer of a slow store (0.25 s), the rest for a busy machine."""
LONGEST_WAIT_S: Final = 2.5
"""Longer waits save little: an idle question is one call."""
SHORTEST_WAIT_S: Final = 0.3
"""Below this an instance would ask without a rest."""


def max_watch_wait_s(catch_up_s: float) -> float:
    """Return how long an idle question may wait, in seconds.

    Within the catch-up time after a disturbance an instance must know again what holds.
    """
    left_s = catch_up_s - ANSWER_MARGIN_S - ASK_ANEW_S
    return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, left_s))
