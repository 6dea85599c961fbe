"""Decode the platform's stored documents into the product's own types."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final

import voluptuous as vol

from driftstall.exceptions import DriftstallError
from driftstall.gateway.model import (
    Engine,
    Limits,
    Repeat,
    Route,
    RoutingDocument,
    Service,
    SplitPart,
    Upstream,
    UpstreamState,
    Workspace,
)

MBIT_BYTES: Final = 125_000
"""Bytes in a megabit."""
REPEATS: Final = {"safe": Repeat.SAFE, "unsafe": Repeat.ONCE, "streaming": Repeat.STREAM}
ROUTES_AT_ONCE: Final = 50
"""Routes decoded without a pause: about two milliseconds."""
STATE_READY: Final = "ready"
DEFAULT_EVENT_TOKENS: Final = 1

_ROUTE: Final = vol.Schema(
    {
        vol.Required("name"): str,
        vol.Required("hostname"): str,
        vol.Required("pathPrefix"): str,
        vol.Required("kind"): vol.In(sorted(REPEATS)),
        vol.Required("timeoutMs"): vol.Coerce(float),
        vol.Optional("targetLatencyMs"): vol.Coerce(float),
        vol.Optional("priority"): vol.Coerce(int),
        vol.Optional("service"): vol.Any(str, None),
        vol.Optional("trafficSplit"): vol.Any(None, [dict]),
        vol.Optional("maxAttempts"): vol.Coerce(int),
    },
    extra=vol.ALLOW_EXTRA,
)


class DocumentFault(DriftstallError):
    """Report a stored document that cannot be read."""


def read_routing(spec: Any, pause: Callable[[], None] = lambda: None) -> RoutingDocument:
    """Decode the operators' routing configuration; raise DocumentFault.

    A document of 1,700 routes takes some 75 ms of processor time, and twice that on a small
    machine. So after some routes a pause is called, in which open streams go on.
    """
    try:
        return RoutingDocument(
            version=int(spec["version"]),
            routes=tuple(_routes(spec["routes"], pause)),
            services=tuple(_service(one) for one in spec.get("services") or ()),
            workspaces=tuple(_workspace(one) for one in spec.get("tenants") or ()),
            limits=_limits(spec.get("limits") or {}),
        )
    except (vol.Invalid, KeyError, TypeError, ValueError) as fault:
        raise DocumentFault(f"the routing configuration cannot be read: {fault!r}") from fault


def _routes(raw: list[Any], pause: Callable[[], None]) -> Iterator[Route]:
    """Decode the routes, with pauses between."""
    for number, one in enumerate(raw, start=1):
        yield _route(_ROUTE(one))
        if number % ROUTES_AT_ONCE == 0:
            pause()


def _route(one: dict[str, Any]) -> Route:
    """Decode one route."""
    parts = one.get("trafficSplit") or ()
    split = tuple(SplitPart(part["service"], float(part["weight"])) for part in parts)
    if not split:
        split = (SplitPart(one["service"], 1.0),)
    return Route(
        name=one["name"],
        host=one["hostname"].lower(),
        path_prefix=one["pathPrefix"],
        repeat=REPEATS[one["kind"]],
        timeout_s=float(one["timeoutMs"]) / 1000,
        target_s=float(one.get("targetLatencyMs") or one["timeoutMs"]) / 1000,
        rank=int(one.get("priority") or 0),
        split=split,
        max_upstreams=max(1, int(one.get("maxAttempts") or 1)),
        anonymous=bool(one.get("allowAnonymous")),
        resumable=bool(one.get("streamResume")),
        gap_s=float(one.get("gap_aim_ms") or 0) / 1000,
    )


def _service(one: dict[str, Any]) -> Service:
    """Decode one service."""
    return Service(
        name=one["name"],
        health_path=one.get("healthPath") or "",
        max_connections=int(one.get("maxConnections") or 0),
        engine=_engine(one["engine"]) if one.get("engine") else None,
    )


def _engine(one: dict[str, Any]) -> Engine:
    """Decode the engine of a service."""
    return Engine(
        slots=int(one.get("slots") or 1),
        memory_tokens=int(one.get("kvCacheTokens") or 0),
        token_bytes=int(one.get("kvTokenBytes") or 0),
        link_bytes_per_s=float(one.get("linkMbps") or 0) * MBIT_BYTES,
        can_move=bool(one.get("moves")),
        can_backup=bool(one.get("backups")),
        event_tokens=int(one.get("stride") or DEFAULT_EVENT_TOKENS),
    )


def _workspace(one: dict[str, Any]) -> Workspace:
    """Decode one workspace."""
    rank = one.get("priority")
    return Workspace(
        name=one["name"],
        keys=tuple(one.get("apiKeys") or ()),
        rank=None if rank is None else int(rank),
    )


def _limits(one: dict[str, Any]) -> Limits:
    """Decode the limits of the callers' listener."""
    usual = Limits()
    return Limits(
        header_bytes=int(one.get("maxHeaderBytes") or usual.header_bytes),
        body_bytes=int(one.get("maxBodyBytes") or usual.body_bytes),
        header_timeout_s=float(one.get("headerTimeoutMs") or usual.header_timeout_s * 1000) / 1000,
        idle_timeout_s=float(one.get("idleTimeoutMs") or usual.idle_timeout_s * 1000) / 1000,
    )


def read_upstream(name: str, revision: int, spec: Any) -> Upstream:
    """Decode an upstream's own entry; raise DocumentFault."""
    try:
        ready = spec.get("state", STATE_READY) == STATE_READY
        return Upstream(
            upstream_id=name,
            service=spec["service"],
            address=spec["address"],
            zone=spec.get("zone") or "",
            slots=int(spec.get("slots") or 1),
            state=UpstreamState.READY if ready else UpstreamState.LEAVING,
            revision=revision,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as fault:
        raise DocumentFault(f"the entry of upstream {name} cannot be read: {fault!r}") from fault


def gone_upstream(name: str, revision: int) -> Upstream:
    """Return what is told of an upstream whose entry was removed: only which one it was."""
    return Upstream(
        upstream_id=name,
        service="",
        address="",
        zone="",
        slots=0,
        state=UpstreamState.LEAVING,
        revision=revision,
    )
