"""Check fields of stored documents: other writers may have put anything there.

Nothing is coerced: a text of digits is no number, and true is none either.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final

import voluptuous as vol

from driftstall.util.addresses import split_address

MAX_INTEGER: Final = 2**63 - 1
"""What travels between instances as a whole number has 64 bits."""
MAX_NAME_LENGTH: Final = 256
"""Characters of a name that goes into a header."""


def text(value: Any) -> str:
    """Return a text that is not empty and can be passed on."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise vol.Invalid("expected a text")
    return value


def name(value: Any) -> str:
    """Return a text that may stand in a header."""
    found = text(value)
    if len(found) > MAX_NAME_LENGTH or not all("!" <= sign <= "~" for sign in found):
        raise vol.Invalid("expected a name of printable signs without blanks")
    return found


def flag(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise vol.Invalid("expected true or false")
    return value


def integer(least: int = 0) -> Callable[[Any], int]:
    """Return a check for whole numbers that are not smaller."""

    def check(value: Any) -> int:
        if type(value) is not int or not least <= value <= MAX_INTEGER:
            raise vol.Invalid(f"expected a whole number from {least} on")
        return value

    return check


def number(least: float = 0.0) -> Callable[[Any], float]:
    """Return a check for finite numbers that are not smaller."""

    def check(value: Any) -> float:
        if type(value) not in (int, float) or not math.isfinite(value) or value < least:
            raise vol.Invalid(f"expected a number from {least:g} on")
        return float(value)

    return check


def address(value: Any) -> str:
    """Return an address, IP and port."""
    found = text(value)
    try:
        split_address(found)
    except ValueError as fault:
        raise vol.Invalid("expected an IP and a port") from fault
    return found


def or_none(check: Any) -> Any:
    """Return a check that lets a field stand empty."""
    return vol.Any(None, check)
