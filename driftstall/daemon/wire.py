"""Turn stored objects into data classes and back."""

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
    """Return a configuration as stored."""
    return asdict(document)


def config_from_json(raw: Any) -> ConfigDocument:
    """Return a stored configuration; none is the empty one."""
    if raw is None:
        return EMPTY
    return ConfigDocument(
        raw["generation"],
        raw["policy"],
        tuple(WorkspaceConfig(**one) for one in raw["workspaces"]),
        tuple(RunnerConfig(**one) for one in raw["runners"]),
        tuple(raw["submissions"]),
    )


def shard_to_json(shard: ShardObject) -> dict[str, Any]:
    """Return a shard of claims as stored."""
    claims = [
        [
            one.key,
            one.fingerprint,
            one.nonce,
            round(one.at, 1),
            None if one.outcome is None else list(asdict(one.outcome).values()),
        ]
        for one in shard.claims
    ]
    return {
        "epoch": shard.epoch,
        "holder": shard.holder,
        "write_id": shard.write_id,
        "claims": claims,
    }


def shard_from_json(raw: Any) -> ShardObject | None:
    """Return a stored shard, or none."""
    if raw is None:
        return None
    claims = tuple(
        ClaimRecord(key, fingerprint, nonce, at, Outcome(*outcome) if outcome else None)
        for key, fingerprint, nonce, at, outcome in raw["claims"]
    )
    return ShardObject(raw["epoch"], raw["holder"], raw["write_id"], claims)


def lease_to_json(lease: LeaseObject) -> dict[str, Any]:
    """Return a lease as stored."""
    return asdict(lease)


def lease_from_json(raw: Any) -> LeaseObject | None:
    """Return a stored lease, or none."""
    return None if raw is None else LeaseObject(**raw)
