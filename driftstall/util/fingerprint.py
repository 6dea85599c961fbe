"""Fingerprints of requests, which identify the same request under different ids."""

from __future__ import annotations

import hashlib
from typing import Final

DIGEST_BYTES: Final = 12
"""Long enough that no caller can construct a request whose fingerprint equals that of another
workspace's request."""


def fingerprint(*parts: bytes) -> str:
    """Return the hash of a sequence of parts as hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # The length prefix distinguishes parts that only differ in where they are divided.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
