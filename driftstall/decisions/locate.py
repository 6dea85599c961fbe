"""Rank instances by rendezvous hashing; instances of the preferred zone come first."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

from driftstall.core import Instance, Runner

MAX_GROUP_RUNNERS: Final = 8
"""Maximum number of runners of one owner; one queue serves them all."""


def weight(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def owner_of(key: str, instances: Iterable[Instance], zone: str = "") -> Instance | None:
    """Return the first-ranked instance for a key, of the zone if it has any; None without one."""
    live = [instance for instance in instances if not instance.leaving]
    if not live:
        return None
    return max(
        live, key=lambda instance: (instance.zone == zone, weight(key, instance.instance_id))
    )


def locate(
    workspace: str, owners: frozenset[str], instances: Iterable[Instance], zone: str = ""
) -> tuple[Instance, ...]:
    """Return the instances for a caller, best first.

    Owners of a group that serves the workspace come first, since their grants are local calls;
    then the caller's zone; then the rendezvous order.
    """
    live = [instance for instance in instances if not instance.leaving]
    return tuple(
        sorted(
            live,
            key=lambda instance: (
                instance.instance_id not in owners,
                instance.zone != zone,
                -weight(workspace, instance.instance_id),
            ),
        )
    )


def group_runners(runners: Iterable[Runner]) -> dict[str, tuple[Runner, ...]]:
    """Split each model's runners into groups with one owner each."""
    by_model: dict[str, list[Runner]] = {}
    for runner in sorted(runners, key=lambda runner: runner.runner_id):
        if runner.model:
            by_model.setdefault(runner.model, []).append(runner)
    groups: dict[str, tuple[Runner, ...]] = {}
    for model, members in by_model.items():
        count = -(-len(members) // MAX_GROUP_RUNNERS)
        for index in range(count):
            groups[f"{model}/{index}"] = tuple(members[index::count])
    return groups
