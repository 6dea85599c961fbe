"""Driftstall daemon.

Usage:
  driftstalld [options]
  driftstalld --help

Each option can be given as an environment variable as well, for example
DRIFTSTALL_ZONE for --zone. A flag goes before its variable.

Options:
  --instance-id=ID        Name of this instance, unique among those alive.
  --zone=ZONE             Availability zone of this instance.
  --listen=ADDR           Callers' address, IP and port [default: 127.0.0.1:8000].
  --peer-listen=ADDR      Peers' address, IP and port [default: 127.0.0.1:8100].
  --operator-listen=ADDR  Operators' address, IP and port [default: 127.0.0.1:8200].
  --platform=ADDR         Address of the platform's object API [default: 127.0.0.1:7000].
  --platform-token=TOKEN  Token for the platform.
  --operator-token=TOKEN  Token that operators must show; at least 16 characters.
  --peer-key=KEY          Key shared by all instances; at least 16 characters.
  --locate-keep=SECONDS   How long callers keep a located address [default: 30].
  --max-body=BYTES        Largest request body [default: 2000000].
  --max-connections=N     Most open callers' connections [default: 2000].
  --max-requests=N        Most requests served at once [default: 1000].
  --max-held-bytes=BYTES  Most bytes of open requests' bodies [default: 64000000].
  --read-timeout=SECONDS  Longest time for a head, or a body, to arrive [default: 120].
  --idle-timeout=SECONDS  How long a connection may be silent [default: 60].
  --default-deadline=SECONDS  Deadline of a request that names none [default: 600].
  --tls-cert=FILE         Certificate for the callers' and operators' listeners.
  --tls-key=FILE          Private key that belongs to the certificate.
  --trace=FILE            Record a trace of decisions for 'driftstall policy try'.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from typing import Any, Final

import voluptuous as vol
from docopt import DocoptExit, docopt

from driftstall.exceptions import SettingsError
from driftstall.util.addresses import split_address

ENV_PREFIX: Final = "DRIFTSTALL_"
MIN_SECRET_CHARS: Final = 16


def _address(value: Any) -> str:
    """Validate an address of the form IP:port."""
    try:
        split_address(str(value))
    except ValueError as fault:
        raise vol.Invalid("write it as IP:port, such as 127.0.0.1:8000") from fault
    return str(value)


def _secret(value: Any) -> str:
    """Validate the length of a secret."""
    if not isinstance(value, str) or len(value) < MIN_SECRET_CHARS:
        raise vol.Invalid(f"give at least {MIN_SECRET_CHARS} characters")
    return value


def _name(value: Any) -> str:
    """Validate a name used in ids and logs."""
    text = str(value or "")
    if not text or not text.replace("-", "").replace("_", "").isalnum() or len(text) > 64:
        raise vol.Invalid("give up to 64 letters, digits, - or _")
    return text


def _bounded_number(low: float, high: float) -> Any:
    """Return a validator for a number within bounds."""
    message = f"choose a number from {low:g} to {high:g}"

    def check(value: Any) -> float:
        try:
            number = float(value)
        except (TypeError, ValueError) as fault:
            raise vol.Invalid(message) from fault
        if not low <= number <= high:
            raise vol.Invalid(message)
        return number

    return check


def _integer(low: int, high: int) -> Any:
    """Return a validator for an integer within bounds."""
    check = _bounded_number(low, high)

    def check_integer(value: Any) -> int:
        number = check(value)
        if number != int(number):
            raise vol.Invalid("choose a whole number")
        return int(number)

    return check_integer


def _text(value: Any) -> str:
    """Return an optional text as a string, empty if missing."""
    return str(value or "")


SCHEMA: Final = vol.Schema(
    {
        vol.Required("instance_id"): _name,
        vol.Required("zone"): _name,
        vol.Required("listen"): _address,
        vol.Required("peer_listen"): _address,
        vol.Required("operator_listen"): _address,
        vol.Required("platform"): _address,
        vol.Required("platform_token"): _text,
        vol.Required("operator_token"): _secret,
        vol.Required("peer_key"): _secret,
        vol.Required("locate_keep"): _bounded_number(0, 3600),
        vol.Required("max_body"): _integer(1_000, 100_000_000),
        vol.Required("max_connections"): _integer(1, 100_000),
        vol.Required("max_requests"): _integer(1, 100_000),
        vol.Required("max_held_bytes"): _integer(1_000, 100_000_000_000),
        vol.Required("read_timeout"): _bounded_number(1, 3600),
        vol.Required("idle_timeout"): _bounded_number(1, 3600),
        vol.Required("default_deadline"): _bounded_number(1, 86_400),
        vol.Required("tls_cert"): _text,
        vol.Required("tls_key"): _text,
        vol.Required("trace"): _text,
    }
)


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one instance."""

    instance_id: str
    zone: str
    listen: str
    peer_listen: str
    operator_listen: str
    platform: str
    platform_token: str
    operator_token: str
    peer_key: str
    locate_keep: float
    max_body: int
    max_connections: int
    max_requests: int
    max_held_bytes: int
    read_timeout: float
    idle_timeout: float
    default_deadline: float
    tls_cert: str
    tls_key: str
    trace: str

    @classmethod
    def from_args(cls, argv: Sequence[str], environ: Mapping[str, str]) -> Settings:
        """Read flags and environment variables; raise SettingsError listing all errors."""
        try:
            flags = docopt(__doc__ or "", argv=list(argv))
        except DocoptExit as fault:
            message = str(fault).strip().splitlines()[0]
            raise SettingsError((f"{message}; see driftstalld --help",)) from fault
        flags_in_argv = {name.split("=")[0].lstrip("-") for name in argv if name.startswith("--")}
        raw = {}
        for setting in fields(cls):
            flag = setting.name.replace("_", "-")
            variable = environ.get(ENV_PREFIX + setting.name.upper())
            use_flag = flag in flags_in_argv or variable is None
            raw[setting.name] = flags[f"--{flag}"] if use_flag else variable
        return cls._checked(raw)

    @classmethod
    def _checked(cls, raw: dict[str, Any]) -> Settings:
        """Validate all settings together; raise SettingsError listing all errors."""
        faults = []
        checked: dict[str, Any] = {}
        try:
            checked = SCHEMA(raw)
        except vol.MultipleInvalid as invalid:
            for fault in invalid.errors:
                faults.append(f"--{str(fault.path[0]).replace('_', '-')}: {fault.msg}")
        if bool(raw.get("tls_cert")) != bool(raw.get("tls_key")):
            faults.append("--tls-cert: give it together with --tls-key")
        if faults:
            raise SettingsError(tuple(sorted(faults)))
        return cls(**checked)
