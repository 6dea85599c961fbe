"""What an operator sees of a quarantined request or prompt part."""

from __future__ import annotations

from typing import Any

from driftstall.decisions.poison_subjects import is_part
from driftstall.decisions.poison_verdict import Verdict
from driftstall.gateway.poison.guard import Refusals


def describe_quarantine(verdict: Verdict, refusals: Refusals) -> dict[str, Any]:
    """Return a quarantine as JSON; the refusals are those of this instance."""
    return {
        "fingerprint": verdict.subject,
        "kind": "prompt part" if is_part(verdict.subject) else "request",
        "upstreams": verdict.upstream_ids,
        "wait_s": round(verdict.wait_s, 1),
        "companions": sorted(verdict.companions),
        "refused": refusals.count,
        "workspaces": sorted(refusals.workspaces),
    }
