"""Assign runner groups to owner instances by rendezvous hashing."""

from __future__ import annotations

from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.locate import owner_of, weight


class Ownership:
    """Owners of runner groups, cached until instances or runners change."""

    def __init__(self, hub: Hub, members: MembershipService, fleet: FleetService) -> None:
        """Initialize with an empty cache."""
        self._members = members
        self._fleet = fleet
        self._owners: dict[str, str] = {}
        hub.on_members(self._owners.clear)

    def owner_for(self, group: str) -> str:
        """Return the id of a group's owner, or an empty string."""
        if group not in self._owners:
            self._owners[group] = self._rank_owner(group)
        return self._owners[group]

    def _rank_owner(self, group: str) -> str:
        """Return the highest-ranked live instance for a group."""
        runners = self._fleet.groups.get(group, ())
        zone = runners[0].zone if runners else ""
        owner = owner_of(group, self._members.live, zone)
        return owner.instance_id if owner else ""

    def owners_for(self, workspace: str) -> frozenset[str]:
        """Return the owners of the preferred groups of a workspace, one group per model."""
        models = {runner.model for runner in self._fleet.runners.values() if runner.model}
        groups = [self.group_for(model, workspace) for model in models]
        return frozenset(self.owner_for(group) for group in groups if group)

    def group_for(self, model: str, workspace: str) -> str:
        """Return the group of a model that caches a workspace's prefixes, or an empty string."""
        groups = self._fleet.groups_for(model)
        return max(groups, key=lambda group: weight(workspace, group), default="")
