"""Decode the platform's stored documents into the product's own types."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final

import voluptuous as vol

from driftstall.decisions.store_versions import StoreVersion
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
from driftstall.platform import checks

MBIT_BYTES: Final = 125_000
"""Bytes in a megabit."""
REPEAT_BY_KIND: Final = {"safe": Repeat.SAFE, "unsafe": Repeat.ONCE, "streaming": Repeat.STREAM}
ROUTES_PER_PAUSE: Final = 50
"""Routes decoded without a pause: about two milliseconds."""
STATE_READY: Final = "ready"
STATE_LEAVING: Final = "draining"
MS_PER_S: Final = 1000
DEFAULT_EVENT_TOKENS: Final = 1

ALLOW_EXTRA: Final = vol.ALLOW_EXTRA
"""Fields may be added to the platform's documents at any time."""

_ROUTE: Final = vol.Schema(
    {
        vol.Required("name"): checks.text,
        vol.Required("hostname"): checks.text,
        vol.Required("pathPrefix"): checks.text,
        vol.Required("kind"): vol.In(sorted(REPEAT_BY_KIND)),
        vol.Required("timeoutMs"): checks.number(),
        vol.Optional("targetLatencyMs"): checks.or_none(checks.number()),
        vol.Optional("priority"): checks.or_none(checks.number()),
        vol.Optional("service"): checks.or_none(checks.text),
        vol.Optional("trafficSplit"): checks.or_none(
            [
                vol.Schema(
                    {
                        vol.Required("service"): checks.text,
                        vol.Required("weight"): checks.number(),
                    },
                    extra=ALLOW_EXTRA,
                )
            ]
        ),
        vol.Optional("maxAttempts"): checks.or_none(checks.number()),
        vol.Optional("allowAnonymous"): checks.or_none(checks.flag),
        vol.Optional("streamResume"): checks.or_none(checks.flag),
        vol.Optional("gap_aim_ms"): checks.or_none(checks.number()),
    },
    extra=ALLOW_EXTRA,
)

_ENGINE: Final = vol.Schema(
    {
        vol.Optional("slots"): checks.or_none(checks.number()),
        vol.Optional("kvCacheTokens"): checks.or_none(checks.number()),
        vol.Optional("kvTokenBytes"): checks.or_none(checks.number()),
        vol.Optional("linkMbps"): checks.or_none(checks.number()),
        vol.Optional("moves"): checks.or_none(checks.flag),
        vol.Optional("backups"): checks.or_none(checks.flag),
        vol.Optional("stride"): checks.or_none(checks.number(1)),
    },
    extra=ALLOW_EXTRA,
)

_SERVICE: Final = vol.Schema(
    {
        vol.Required("name"): checks.text,
        vol.Optional("healthPath"): checks.or_none(str),
        vol.Optional("maxConnections"): checks.or_none(checks.number()),
        vol.Optional("coldStartS"): checks.or_none(checks.number()),
        vol.Optional("coldPerS"): checks.or_none(checks.number()),
        vol.Optional("engine"): checks.or_none(_ENGINE),
    },
    extra=ALLOW_EXTRA,
)

_WORKSPACE: Final = vol.Schema(
    {
        vol.Required("name"): checks.text,
        vol.Optional("apiKeys"): checks.or_none([checks.text]),
        vol.Optional("priority"): checks.or_none(checks.number()),
    },
    extra=ALLOW_EXTRA,
)

_LIMITS: Final = vol.Schema(
    {
        vol.Optional("maxHeaderBytes"): checks.or_none(checks.number()),
        vol.Optional("maxBodyBytes"): checks.or_none(checks.number()),
        vol.Optional("headerTimeoutMs"): checks.or_none(checks.number()),
        vol.Optional("idleTimeoutMs"): checks.or_none(checks.number()),
    },
    extra=ALLOW_EXTRA,
)

_ROUTING: Final = vol.Schema(
    {
        vol.Required("version"): checks.integer(),
        vol.Required("routes"): list,
        vol.Optional("services"): checks.or_none([_SERVICE]),
        vol.Optional("tenants"): checks.or_none([_WORKSPACE]),
        vol.Optional("limits"): checks.or_none(_LIMITS),
    },
    extra=ALLOW_EXTRA,
)

_UPSTREAM: Final = vol.Schema(
    {
        vol.Required("service"): checks.text,
        vol.Required("address"): checks.address,
        vol.Required("zone"): checks.text,
        vol.Required("version"): checks.text,
        vol.Required("slots"): checks.integer(1),
        vol.Required("state"): vol.In((STATE_READY, STATE_LEAVING)),
        vol.Required("coldRemainingMs"): checks.number(),
        vol.Required("seq"): checks.integer(),
        vol.Optional("born"): checks.integer(1),
    },
    extra=ALLOW_EXTRA,
)
"""What an upstream says of itself, whole: an entry that lacks any of it is from another writer.
Those of an older kind do not say when they started."""


class DocumentFault(DriftstallError):
    """Report a stored document that cannot be read."""


def read_routing(spec: Any, pause: Callable[[], None] = lambda: None) -> RoutingDocument:
    """Decode the operators' routing configuration; raise DocumentFault.

    A document of 1,700 routes takes some 75 ms of processor time, and twice that on a small
    machine. So after some routes a pause is called, in which open streams go on.
    """
    try:
        found = _ROUTING(spec)
        return RoutingDocument(
            version=found["version"],
            routes=tuple(_routes(found["routes"], pause)),
            services=tuple(_service(one) for one in found.get("services") or ()),
            workspaces=tuple(_workspace(one) for one in found.get("tenants") or ()),
            limits=_limits(found.get("limits") or {}),
        )
    except (vol.Invalid, KeyError) as fault:
        raise DocumentFault(f"the routing configuration cannot be read: {fault}") from fault


def _routes(raw: list[Any], pause: Callable[[], None]) -> Iterator[Route]:
    """Decode the routes, with pauses between."""
    for number, one in enumerate(raw, start=1):
        yield _route(_ROUTE(one))
        if number % ROUTES_PER_PAUSE == 0:
            pause()


def _route(one: dict[str, Any]) -> Route:
    """Decode one route."""
    parts = one.get("trafficSplit") or ()
    split = tuple(SplitPart(part["service"], part["weight"]) for part in parts)
    if not split:
        split = (SplitPart(checks.text(one.get("service")), 1.0),)
    return Route(
        name=one["name"],
        host=one["hostname"].lower(),
        path_prefix=one["pathPrefix"],
        repeat=REPEAT_BY_KIND[one["kind"]],
        timeout_s=float(one["timeoutMs"]) / 1000,
        target_s=float(one.get("targetLatencyMs") or one["timeoutMs"]) / 1000,
        rank=int(one.get("priority") or 0),
        split=split,
        max_upstreams=max(1, int(one.get("maxAttempts") or 1)),
        allows_anonymous=bool(one.get("allowAnonymous")),
        is_resumable=bool(one.get("streamResume")),
        gap_s=float(one.get("gap_aim_ms") or 0) / 1000,
    )


def _service(one: dict[str, Any]) -> Service:
    """Decode one service."""
    return Service(
        name=one["name"],
        health_path=one.get("healthPath") or "",
        max_connections=int(one.get("maxConnections") or 0),
        engine=_engine(one["engine"]) if one.get("engine") else None,
        cold_start_s=one.get("coldStartS") or 0.0,
        cold_rate=one.get("coldPerS") or 0.0,
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


def read_upstream(upstream_name: str, revision: StoreVersion, spec: Any) -> Upstream:
    """Decode an upstream's own entry; raise DocumentFault."""
    try:
        found = _UPSTREAM(spec)
        return Upstream(
            name=checks.name(upstream_name),
            service=found["service"],
            address=found["address"],
            zone=found["zone"],
            slots=found["slots"],
            state=UpstreamState.READY if found["state"] == STATE_READY else UpstreamState.LEAVING,
            revision=revision,
            born=found.get("born", 0),
            cold_s=found["coldRemainingMs"] / MS_PER_S,
        )
    except vol.Invalid as fault:
        raise DocumentFault(f"it names no upstream to use: {fault}") from fault


def removed_upstream(upstream_name: str, revision: StoreVersion) -> Upstream:
    """Return what is told of an upstream whose entry was removed: only which one it was."""
    return Upstream(
        name=upstream_name,
        service="",
        address="",
        zone="",
        slots=0,
        state=UpstreamState.LEAVING,
        revision=revision,
    )
