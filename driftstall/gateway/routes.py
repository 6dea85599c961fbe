"""Find a request's route, service and workspace in the routing document."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.gateway.model import Repeat, Route, RoutingDocument, Service, Workspace


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index the routes, services and workspace keys of one routing document."""

    version: int
    document: RoutingDocument
    _by_host: dict[str, tuple[Route, ...]]
    _services: dict[str, Service]
    _by_key: dict[str, Workspace]
    queued_services: frozenset[str]
    """Services whose generations wait for engine memory in one queue."""

    @classmethod
    def from_document(cls, document: RoutingDocument) -> RouteTable:
        """Build the indexes; each host's routes are sorted by descending prefix length."""
        by_host: dict[str, list[Route]] = {}
        for route in document.routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        services = {service.name: service for service in document.services}
        keys = {key: workspace for workspace in document.workspaces or () for key in workspace.keys}
        queued = frozenset(
            service.name
            for service in document.services
            if service.engine is not None and _ranks_short_streams_first(document, service.name)
        )
        return cls(document.version, document, ordered, services, keys, queued)

    @property
    def requires_keys(self) -> bool:
        """Return True if the document lists workspaces, even none, so that requests need a key."""
        return self.document.workspaces is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match; None if no prefix matches.

        A host that has no routes with its port is looked up without it.
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.rpartition(":")[0], ())
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Return a service by its name, or None."""
        return self._services.get(name)

    def queues(self, service: str) -> bool:
        """Return True if generations of a service wait for engine memory in one queue.

        That is where operators rank short streams before long ones of the same engines. Engine
        priorities alone would serve that order only by preempting long streams.
        """
        return service in self.queued_services

    def workspace(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return self._by_key.get(key)


def _ranks_short_streams_first(document: RoutingDocument, service: str) -> bool:
    """Return True if the most urgent streams of a service have a shorter timeout than others."""
    streams = [
        route
        for route in document.routes
        if route.repeat is Repeat.STREAM and any(part.service == service for part in route.split)
    ]
    first_rank = min((route.rank for route in streams), default=0)
    urgent_s = max((route.timeout_s for route in streams if route.rank == first_rank), default=0.0)
    return any(route.rank > first_rank and route.timeout_s > urgent_s for route in streams)


def pick_service(route: Route, chance: float) -> str:
    """Return a service by the weights of the traffic split, for a random number in [0, 1)."""
    total = sum(part.weight for part in route.split)
    remaining = chance * total
    for part in route.split:
        remaining -= part.weight
        if remaining < 0:
            return part.service
    return route.split[-1].service
