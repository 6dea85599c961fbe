"""Tell requests that are the same but for their ids, whichever instance they come to."""

from __future__ import annotations

import hashlib
from typing import Final

from driftstall.gateway.ingress import CallerRequest

DIGEST_BYTES: Final = 12
"""No caller can find a request of its own that is taken for another workspace's."""


def fingerprint(call: CallerRequest, workspace: str) -> str:
    """Return what stands for a request's path, caller and body, as hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.method, call.host.encode(), call.target, workspace.encode(), call.body):
        # The length keeps two parts from being taken for others with the border elsewhere.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
