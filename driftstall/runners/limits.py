"""Read the limit that a runner names with its answers."""

from __future__ import annotations

import math
from typing import Final

from driftstall.util.http import Exchange

RATE_LIMIT_HEADER: Final = "X-Rate-Limit"
"""The requests a second that a runner takes from all instances together, a decimal number."""


def rate_limit_of(exchange: Exchange) -> float | None:
    """Return the limit that an answer names; None where it names none."""
    try:
        found = float(exchange.header(RATE_LIMIT_HEADER))
    except ValueError:
        return None
    return found if math.isfinite(found) and found >= 0 else None
