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
"""Bytes per megabit."""
REPEAT_BY_KIND: Final = {"safe": Repeat.SAFE, "unsafe": Repeat.ONCE, "streaming": Repeat.STREAM}
ROUTES_PER_PAUSE: Final = 50
"""Routes decoded between two pauses: about two milliseconds of processor time."""
STATE_READY: Final = "ready"
STATE_LEAVING: Final = "draining"
MS_PER_S: Final = 1000
DEFAULT_EVENT_TOKENS: Final = 1

ALLOW_EXTRA: Final = vol.ALLOW_EXTRA
"""The platform may add fields to its documents at any time, so unknown fields are accepted."""

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
"""Schema of the entry that an upstream writes for itself. An entry that lacks a required field was
written by something else and is rejected. Upstreams of older versions omit their start (born)."""


class DocumentFault(DriftstallError):
    """Raised when a stored document is invalid."""


def read_routing(spec: Any, pause: Callable[[], None] = lambda: None) -> RoutingDocument:
    """Decode the operators' routing configuration.

    Decoding 1,700 routes takes about 75 ms of processor time, and twice as long on a small machine.
    `pause` is called after every ROUTES_PER_PAUSE routes so that open streams are served meanwhile.
    Raises DocumentFault if the document is invalid.
    """
    try:
        validated = _ROUTING(spec)
        return RoutingDocument(
            version=validated["version"],
            routes=tuple(_decode_routes(validated["routes"], pause)),
            services=tuple(_decode_service(service) for service in validated.get("services") or ()),
            workspaces=_decode_workspaces(validated.get("tenants")),
            limits=_decode_limits(validated.get("limits") or {}),
        )
    except (vol.Invalid, KeyError) as fault:
        raise DocumentFault(f"invalid routing configuration: {fault}") from fault


def _decode_routes(raw: list[Any], pause: Callable[[], None]) -> Iterator[Route]:
    """Decode the routes, pausing after every ROUTES_PER_PAUSE routes."""
    for number, route in enumerate(raw, start=1):
        yield _decode_route(_ROUTE(route))
        if number % ROUTES_PER_PAUSE == 0:
            pause()


def _decode_route(raw: dict[str, Any]) -> Route:
    """Decode a validated route."""
    parts = raw.get("trafficSplit") or ()
    split = tuple(SplitPart(part["service"], part["weight"]) for part in parts)
    if not split:
        split = (SplitPart(checks.text(raw.get("service")), 1.0),)
    return Route(
        name=raw["name"],
        host=raw["hostname"].lower(),
        path_prefix=raw["pathPrefix"],
        repeat=REPEAT_BY_KIND[raw["kind"]],
        timeout_s=float(raw["timeoutMs"]) / 1000,
        target_s=float(raw.get("targetLatencyMs") or raw["timeoutMs"]) / 1000,
        rank=int(raw.get("priority") or 0),
        split=split,
        max_upstreams=max(1, int(raw.get("maxAttempts") or 1)),
        allows_anonymous=bool(raw.get("allowAnonymous")),
        is_resumable=bool(raw.get("streamResume")),
        gap_s=float(raw.get("gap_aim_ms") or 0) / 1000,
    )


def _decode_service(raw: dict[str, Any]) -> Service:
    """Decode a validated service."""
    return Service(
        name=raw["name"],
        health_path=raw.get("healthPath") or "",
        max_connections=int(raw.get("maxConnections") or 0),
        engine=_decode_engine(raw["engine"]) if raw.get("engine") else None,
        cold_start_s=raw.get("coldStartS") or 0.0,
        cold_rate=raw.get("coldPerS") or 0.0,
    )


def _decode_engine(raw: dict[str, Any]) -> Engine:
    """Decode the engine properties of a service."""
    return Engine(
        slots=int(raw.get("slots") or 1),
        memory_tokens=int(raw.get("kvCacheTokens") or 0),
        token_bytes=int(raw.get("kvTokenBytes") or 0),
        link_bytes_per_s=float(raw.get("linkMbps") or 0) * MBIT_BYTES,
        can_move=bool(raw.get("moves")),
        can_backup=bool(raw.get("backups")),
        event_tokens=int(raw.get("stride") or DEFAULT_EVENT_TOKENS),
    )


def _decode_workspaces(raw: list[dict[str, Any]] | None) -> tuple[Workspace, ...] | None:
    """Decode the workspaces; None if the configuration has no such field, or null in it."""
    return None if raw is None else tuple(_decode_workspace(workspace) for workspace in raw)


def _decode_workspace(raw: dict[str, Any]) -> Workspace:
    """Decode a validated workspace."""
    rank = raw.get("priority")
    return Workspace(
        name=raw["name"],
        keys=tuple(raw.get("apiKeys") or ()),
        rank=None if rank is None else int(rank),
    )


def _decode_limits(raw: dict[str, Any]) -> Limits:
    """Decode the limits of the callers' listener; missing fields keep their defaults."""
    defaults = Limits()
    return Limits(
        header_bytes=int(raw.get("maxHeaderBytes") or defaults.header_bytes),
        body_bytes=int(raw.get("maxBodyBytes") or defaults.body_bytes),
        header_timeout_s=float(raw.get("headerTimeoutMs") or defaults.header_timeout_s * 1000)
        / 1000,
        idle_timeout_s=float(raw.get("idleTimeoutMs") or defaults.idle_timeout_s * 1000) / 1000,
    )


def read_upstream(upstream_name: str, revision: StoreVersion, spec: Any) -> Upstream:
    """Decode an upstream's entry; raise DocumentFault if it is invalid."""
    try:
        validated = _UPSTREAM(spec)
        return Upstream(
            name=checks.name(upstream_name),
            service=validated["service"],
            address=validated["address"],
            zone=validated["zone"],
            slots=validated["slots"],
            state=UpstreamState.READY
            if validated["state"] == STATE_READY
            else UpstreamState.LEAVING,
            revision=revision,
            born=validated.get("born", 0),
            cold_s=validated["coldRemainingMs"] / MS_PER_S,
        )
    except vol.Invalid as fault:
        raise DocumentFault(f"invalid upstream entry: {fault}") from fault


def removed_upstream(upstream_name: str, revision: StoreVersion) -> Upstream:
    """Return a removed upstream, of which only the name and the revision are known."""
    return Upstream(
        name=upstream_name,
        service="",
        address="",
        zone="",
        slots=0,
        state=UpstreamState.LEAVING,
        revision=revision,
    )
