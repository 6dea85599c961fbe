"""Fields of stored entries with JSON texts that common decoders reject or that mean nothing."""

from __future__ import annotations

from typing import Final

CONTENTS: Final = {
    "a number of 400 digits": ("coldRemainingMs", "9" * 400),
    "a number of 5,000 digits": ("coldRemainingMs", "9" * 5_000),
    "an infinite number": ("coldRemainingMs", "1e999"),
    "a nesting of 950": ("zone", "[" * 950 + "]" * 950),
    "a nesting of 5,000": ("zone", "[" * 5_000 + "]" * 5_000),
    "a port of 99,999": ("address", '"127.0.0.1:99999"'),
    "a port of 5,000 digits": ("address", '"127.0.0.1:' + "9" * 5_000 + '"'),
    "a name of a megabyte": ("zone", '"' + "z" * 1_000_000 + '"'),
    "a key that stands twice": ("seq", '1, "seq": {"seq": []}'),
    "half a surrogate pair": ("zone", '"\\ud800"'),
}
"""The field of an upstream's entry, and the JSON text of its value."""
