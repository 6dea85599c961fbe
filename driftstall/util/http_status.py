"""Tell which status codes the response to a request may have."""

from __future__ import annotations

from typing import Final

from driftstall.exceptions import InvalidResponse

FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
SWITCHING_PROTOCOLS: Final = 101


def is_valid_status(status: int) -> bool:
    """Return True if a response may have this status; no request here asks for an upgrade."""
    return FIRST_STATUS <= status <= LAST_STATUS and status != SWITCHING_PROTOCOLS


def check_status(status: int) -> None:
    """Raise InvalidResponse for a status that no response may have."""
    if not is_valid_status(status):
        raise InvalidResponse(f"no response has the status {status:03d}")


def is_interim_status(status: int) -> bool:
    """Return True if a valid status is that of an interim response, which a final one follows."""
    return status < FIRST_FINAL_STATUS
