"""Rank instances by rendezvous hashing, zone first."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

from driftstall.core import Instance, Runner

GROUP_RUNNERS: Final = 8
"""Runners that one owner places at most; one queue serves them all."""


def weight(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def owner_of(key: str, instances: Iterable[Instance], zone: str = "") -> Instance | None:
    """Return the instance that ranks first for a key, of the zone if it has one."""
    live = [one for one in instances if not one.leaving]
    if not live:
        return None
    return max(live, key=lambda one: (one.zone == zone, weight(key, one.instance_id)))


def locate(
    workspace: str, owners: frozenset[str], instances: Iterable[Instance], zone: str = ""
) -> tuple[Instance, ...]:
    """Return the instances for a caller, best first.

    Owners of a group that serves the workspace come first, since their grants
    are local calls; then the caller's zone; then the rendezvous order.
    """
    live = [one for one in instances if not one.leaving]
    return tuple(
        sorted(
            live,
            key=lambda one: (
                one.instance_id not in owners,
                one.zone != zone,
                -weight(workspace, one.instance_id),
            ),
        )
    )


def group_runners(runners: Iterable[Runner]) -> dict[str, tuple[Runner, ...]]:
    """Split each model's runners into groups; each group has one owner."""
    by_model: dict[str, list[Runner]] = {}
    for runner in sorted(runners, key=lambda one: one.runner_id):
        if runner.model:
            by_model.setdefault(runner.model, []).append(runner)
    groups: dict[str, tuple[Runner, ...]] = {}
    for model, members in by_model.items():
        count = -(-len(members) // GROUP_RUNNERS)
        for index in range(count):
            groups[f"{model}/{index}"] = tuple(members[index::count])
    return groups
