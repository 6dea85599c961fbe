"""Convert between the platform's stored JSON objects and data classes."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from driftstall.controllers.claims import ClaimRecord, Outcome, ShardObject
from driftstall.controllers.configuration import (
    EMPTY,
    ConfigDocument,
    RunnerConfig,
    WorkspaceConfig,
)
from driftstall.controllers.placement import LeaseObject


def config_to_json(document: ConfigDocument) -> dict[str, Any]:
    """Return a configuration in its stored form."""
    return asdict(document)


def config_from_json(raw: Any) -> ConfigDocument:
    """Return the configuration of a stored object, EMPTY if there is none."""
    if raw is None:
        return EMPTY
    return ConfigDocument(
        raw["generation"],
        raw["policy"],
        tuple(WorkspaceConfig(**workspace) for workspace in raw["workspaces"]),
        tuple(RunnerConfig(**runner) for runner in raw["runners"]),
        tuple(raw["submissions"]),
    )


def shard_to_json(shard: ShardObject) -> dict[str, Any]:
    """Return a shard of claims in its stored form."""
    claims = [
        [
            claim.key,
            claim.fingerprint,
            claim.nonce,
            round(claim.at, 1),
            None if claim.outcome is None else list(asdict(claim.outcome).values()),
        ]
        for claim in shard.claims
    ]
    return {
        "epoch": shard.epoch,
        "holder": shard.holder,
        "write_id": shard.write_id,
        "claims": claims,
    }


def shard_from_json(raw: Any) -> ShardObject | None:
    """Return the shard of a stored object, or None if there is none."""
    if raw is None:
        return None
    claims = tuple(
        ClaimRecord(key, fingerprint, nonce, at, Outcome(*outcome) if outcome else None)
        for key, fingerprint, nonce, at, outcome in raw["claims"]
    )
    return ShardObject(raw["epoch"], raw["holder"], raw["write_id"], claims)


def lease_to_json(lease: LeaseObject) -> dict[str, Any]:
    """Return a lease in its stored form."""
    return asdict(lease)


def lease_from_json(raw: Any) -> LeaseObject | None:
    """Return the lease of a stored object, or None if there is none."""
    return None if raw is None else LeaseObject(**raw)
