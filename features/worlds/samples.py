"""Sample values shared by several tests."""

from __future__ import annotations

from driftstall.core import PrefixMark, Request, Verdict

KEY = b"a key for tests only"
FIRST = Verdict("first", 1, 0, 2.0, False, True, 1.0, 0.0)


def request_of(name: str, workspace: str = "w", tokens: int = 600) -> Request:
    """Return a sample request."""
    return Request(name, workspace, "chat", "m", tokens, 1_000, (PrefixMark(len(name), tokens),))
