"""Know which instance owns which group of runners."""

from __future__ import annotations

from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.locate import owner_of, weight


class Ownership:
    """Rank owners by rendezvous hashing, and remember them until something changes."""

    def __init__(self, hub: Hub, members: MembershipService, fleet: FleetService) -> None:
        """Start with nothing remembered."""
        self._members = members
        self._fleet = fleet
        self._owners: dict[str, str] = {}
        hub.on_members(self._owners.clear)

    def owner_for(self, group: str) -> str:
        """Return the owner of a group, or empty; known until an instance changes."""
        if group not in self._owners:
            self._owners[group] = self._rank_owner(group)
        return self._owners[group]

    def _rank_owner(self, group: str) -> str:
        """Rank the instances for a group."""
        runners = self._fleet.groups.get(group, ())
        zone = runners[0].zone if runners else ""
        owner = owner_of(group, self._members.live, zone)
        return owner.instance_id if owner else ""

    def owners_for(self, workspace: str) -> frozenset[str]:
        """Return the owners of the groups that serve a workspace best."""
        models = {one.model for one in self._fleet.runners.values() if one.model}
        groups = [self.group_for(model, workspace) for model in models]
        return frozenset(self.owner_for(group) for group in groups if group)

    def group_for(self, model: str, workspace: str) -> str:
        """Return the group of a model that holds a workspace's prefixes."""
        groups = self._fleet.groups_for(model)
        return max(groups, key=lambda group: weight(workspace, group), default="")
