"""Sign and check short texts with a shared key."""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import Final

MAC_BYTES: Final = 12


def mac(key: bytes, payload: bytes) -> bytes:
    """Return the keyed hash of a payload."""
    return hashlib.blake2b(payload, key=key[:64], digest_size=MAC_BYTES).digest()


def sign(key: bytes, text: str) -> str:
    """Return the text with its signature behind a dot."""
    tag = base64.urlsafe_b64encode(mac(key, text.encode())).decode()
    return f"{text}.{tag}"


def verify(key: bytes, signed: str) -> str | None:
    """Return the text if its signature holds, else None."""
    text, dot, tag = signed.rpartition(".")
    if not dot:
        return None
    wanted = base64.urlsafe_b64encode(mac(key, text.encode())).decode()
    return text if hmac.compare_digest(wanted.encode(), tag.encode()) else None
