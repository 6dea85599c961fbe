"""Sign and verify short texts with a shared key, by keyed BLAKE2b hashes."""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import Final

MAC_BYTES: Final = 12


def mac(key: bytes, payload: bytes) -> bytes:
    """Return the message authentication code of a payload; at most 64 bytes of the key are used."""
    return hashlib.blake2b(payload, key=key[:64], digest_size=MAC_BYTES).digest()


def sign(key: bytes, text: str) -> str:
    """Return the text, a dot and the signature in URL-safe base64."""
    tag = base64.urlsafe_b64encode(mac(key, text.encode())).decode()
    return f"{text}.{tag}"


def verify(key: bytes, signed: str) -> str | None:
    """Return the text if its signature is valid, else None."""
    text, dot, tag = signed.rpartition(".")
    if not dot:
        return None
    expected = base64.urlsafe_b64encode(mac(key, text.encode())).decode()
    return text if hmac.compare_digest(expected.encode(), tag.encode()) else None
