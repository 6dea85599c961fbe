"""Validators for the fields of stored documents, which other writers may have filled with anything.

Values are not coerced: neither a string of digits nor a boolean is accepted as a number.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import voluptuous as vol

from driftstall.util.addresses import split_address

MAX_INTEGER: Final = 2**63 - 1
"""Largest integer accepted: integers are sent between instances as signed 64-bit values."""
MAX_NAME_LENGTH: Final = 256
"""Longest name, in characters, that may be sent in a header."""


def text(value: Any) -> str:
    """Return the value if it is a non-empty, printable string."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise vol.Invalid("expected a non-empty printable string")
    return value


def name(value: Any) -> str:
    """Return the value if it is a string that is valid in a header."""
    string = text(value)
    if len(string) > MAX_NAME_LENGTH or not all("!" <= character <= "~" for character in string):
        raise vol.Invalid("expected a name of printable ASCII characters without spaces")
    return string


def flag(value: Any) -> bool:
    """Return the value if it is a boolean."""
    if not isinstance(value, bool):
        raise vol.Invalid("expected true or false")
    return value


def integer(minimum: int = 0) -> Callable[[Any], int]:
    """Return a validator for integers of at least a minimum."""

    def check(value: Any) -> int:
        if type(value) is not int or not minimum <= value <= MAX_INTEGER:
            raise vol.Invalid(f"expected an integer of at least {minimum}")
        return value

    return check


def number(minimum: float = 0.0) -> Callable[[Any], float]:
    """Return a validator for numbers of at least a minimum and at most MAX_INTEGER."""

    def check(value: Any) -> float:
        if type(value) not in (int, float) or not minimum <= value <= MAX_INTEGER:
            raise vol.Invalid(f"expected a number of at least {minimum:g}")
        return float(value)

    return check


def address(value: Any) -> str:
    """Return the value if it is an address of the form IP:port."""
    string = text(value)
    try:
        split_address(string)
    except ValueError as fault:
        raise vol.Invalid("expected an address of the form IP:port") from fault
    return string


def or_none(check: Any) -> Any:
    """Return a validator that also accepts None."""
    return vol.Any(None, check)
