"""Read the settings file that the platform writes for each process."""

from __future__ import annotations

import ipaddress
import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import orjson
import voluptuous as vol

from driftstall.exceptions import SettingsError, SettingsUnreadable
from driftstall.gateway.model import Bounds, GatewaySettings
from driftstall.util.addresses import split_address

VARIABLE: Final = "DRIFTSTALL_CONFIG"
METRICS_PORT: Final = 9464
"""Port named in the deploy file; the usual one of metrics exporters."""
PEER_KEY_VARIABLE: Final = "DRIFTSTALL_PEER_KEY"
DEFAULT_PEER_KEY: Final = "the peers' ports are closed to others"
"""Used if the deploy file sets no key. Such a key only distinguishes versions of the program."""


CONTRACT_WORKSPACES: Final = "tenants"
"""Named in the contracts of a site that has workspaces."""
MAX_NUMBER: Final = 1e12


def _address(value: Any) -> str:
    """Return the value if it is an address of the form IP:port."""
    try:
        split_address(str(value))
    except ValueError as fault:
        raise vol.Invalid("must be IP:port, such as 127.0.0.1:8000") from fault
    return str(value)


def _ip(value: Any) -> str:
    """Return the value if it is an IP address."""
    try:
        ipaddress.ip_address(str(value))
    except ValueError as fault:
        raise vol.Invalid("must be an IP address, such as 127.0.0.1") from fault
    return str(value)


def _finite(value: float) -> float:
    """Return the value if it is a finite number."""
    if not math.isfinite(value):
        raise vol.Invalid("must be a finite number")
    return value


_FRACTION: Final = vol.All(vol.Coerce(float), _finite, vol.Range(min=0, max=MAX_NUMBER))

_SCHEMA: Final = vol.Schema(
    {
        vol.Required("nodeName"): vol.All(str, vol.Length(min=1)),
        vol.Required("zone"): str,
        vol.Required("ip"): _ip,
        vol.Required("listen"): vol.Schema(
            {
                vol.Required("front"): _address,
                vol.Required("ready"): _address,
                vol.Required("directory"): _address,
                vol.Required("control"): _address,
            },
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Required("platform"): vol.Schema(
            {vol.Required("address"): _address}, extra=vol.ALLOW_EXTRA
        ),
        vol.Optional("limits"): vol.Schema(
            {
                vol.Optional("linkMbps"): _FRACTION,
                vol.Optional("memoryMb"): _FRACTION,
                vol.Optional("maxFds"): _FRACTION,
            },
            extra=vol.ALLOW_EXTRA,
        ),
        vol.Optional("seeds"): vol.Any(None, [_address]),
        vol.Optional("bootstrap"): vol.Any(None, bool),
        vol.Optional("contracts"): vol.Any(None, [str]),
        vol.Optional("bounds"): vol.Schema(
            {
                vol.Optional("retryBudgetRatio"): _FRACTION,
                vol.Optional("retryBudgetExtra"): _FRACTION,
                vol.Optional("budgetExtra"): _FRACTION,
                vol.Optional("budgetWindowS"): _FRACTION,
                vol.Optional("graceS"): _FRACTION,
                vol.Optional("ttl_max_s"): _FRACTION,
                vol.Optional("drainMs"): _FRACTION,
                vol.Optional("contactMs"): _FRACTION,
                vol.Optional("evacuateMs"): _FRACTION,
            },
            extra=vol.ALLOW_EXTRA,
        ),
    },
    extra=vol.ALLOW_EXTRA,
)


def settings_path(environ: Mapping[str, str]) -> Path:
    """Return the path of the settings file; raise SettingsError if it is not set."""
    path = environ.get(VARIABLE, "")
    if not path:
        raise SettingsError((f"{VARIABLE}: name the settings file in this variable",))
    return Path(path)


def read_settings(path: Path) -> GatewaySettings:
    """Read and validate the settings file; raise SettingsError with all faults."""
    try:
        raw = _SCHEMA(orjson.loads(path.read_bytes()))
    except OSError as fault:
        raise SettingsUnreadable((f"{path}: {fault.strerror}",)) from fault
    except orjson.JSONDecodeError as fault:
        raise SettingsUnreadable((f"{path}: not JSON: {fault}",)) from fault
    except vol.MultipleInvalid as invalid:
        faults = sorted(
            f"{'.'.join(map(str, error.path)) or path}: {error.msg}" for error in invalid.errors
        )
        raise SettingsError(tuple(faults)) from invalid
    listen, limits = raw["listen"], raw.get("limits") or {}
    contracts = raw.get("contracts")
    return GatewaySettings(
        instance_id=raw["nodeName"],
        zone=raw["zone"],
        caller_listen=listen["front"],
        ready_listen=listen["ready"],
        locate_listen=listen["directory"],
        peer_listen=listen["control"],
        metrics_listen=f"{raw['ip']}:{METRICS_PORT}",
        link_mbps=int(limits.get("linkMbps") or 0),
        memory_mb=limits.get("memoryMb", 0.0),
        max_fds=int(limits.get("maxFds", 0)),
        platform_address=raw["platform"]["address"],
        seeds=tuple(raw.get("seeds") or ()),
        bounds=_bounds(raw.get("bounds") or {}),
        peer_key=os.environ.get(PEER_KEY_VARIABLE, DEFAULT_PEER_KEY),
        is_first_start=bool(raw.get("bootstrap")),
        uses_workspaces=contracts is None or CONTRACT_WORKSPACES in contracts,
    )


def _bounds(raw: dict[str, Any]) -> Bounds:
    """Decode the site's bounds; missing ones keep their defaults."""
    defaults = Bounds()
    return Bounds(
        retry_ratio=raw.get("retryBudgetRatio", defaults.retry_ratio),
        retry_extra=raw.get("budgetExtra", defaults.retry_extra),
        retry_window_s=raw.get("budgetWindowS", defaults.retry_window_s),
        grace_s=raw.get("graceS", defaults.grace_s),
        locate_keep_s=raw.get("ttl_max_s", defaults.locate_keep_s),
        drain_s=raw.get("drainMs", defaults.drain_s * 1000) / 1000,
        # Time that an instance must have been undisturbed before its bounds apply.
        catch_up_s=raw.get("contactMs", defaults.catch_up_s * 1000) / 1000,
        cordon_s=raw.get("evacuateMs", defaults.cordon_s * 1000) / 1000,
    )
