"""Authenticate the workspace of a caller."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import replace

from driftstall.const import CODE_UNAUTHENTICATED, HEADER_WORKSPACE_KEY
from driftstall.core import Problem, Ran
from driftstall.filters.context import FilterResult, RequestContext


def hash_key(key: str) -> str:
    """Return the SHA-256 hash under which a workspace key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


class Authenticate:
    """Check the bearer key against the configured hashes."""

    def __init__(self, workspaces: Mapping[str, str]) -> None:
        """Initialize with the workspace names by the hash of their key."""
        self._workspaces = workspaces

    def __call__(self, context: RequestContext) -> FilterResult:
        """Set the workspace, or return a 401 problem."""
        header = context.headers.get(HEADER_WORKSPACE_KEY.lower(), "")
        scheme, _, key = header.partition(" ")
        workspace = self._workspaces.get(hash_key(key)) if scheme.lower() == "bearer" else None
        if workspace is None:
            detail = "send a known workspace key as 'Authorization: Bearer KEY'"
            return Problem(CODE_UNAUTHENTICATED, 401, detail, Ran.NOT_RUN)
        return replace(context, workspace=workspace)
