"""Keep in the platform's store which requests have crashed upstreams: one object for each.

They outlast the end of all instances at once. The store knows no clock of ours, and a steady clock
ends with its machine, so objects tell the time of day of each crash.
"""

from __future__ import annotations

import time
from typing import Any, Final

import voluptuous as vol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.decisions.poison_detection import CRASH_RETENTION_S, CrashReport, PoisonReport
from driftstall.helpers.log import log_event
from driftstall.platform import checks, names
from driftstall.platform.store import Store, StoredObject

MS_PER_S: Final = 1000

_WHOLE: Final = vol.All(int, vol.Range(min=0))
_SPEC: Final = vol.Schema(
    {
        vol.Required("crashes"): [
            vol.Schema(
                {
                    vol.Required("upstream"): checks.text,
                    vol.Required("atMs"): _WHOLE,
                    vol.Required("underWay"): bool,
                },
                extra=vol.ALLOW_EXTRA,
            )
        ]
    },
    extra=vol.ALLOW_EXTRA,
)


class PlatformCrashStore:
    """Read and write the objects."""

    def __init__(self, store: Store) -> None:
        """Take the store."""
        self._store = store

    def read(self) -> tuple[PoisonReport, ...]:
        """Return all that is kept, or raise PlatformUnavailable; what is too old is removed."""
        now_ms = _now_ms()
        found = []
        for stored in self._store.list(names.KIND_CRASHES).objects:
            told = _decode_report(stored, now_ms)
            if told is not None and told.crashes:
                found.append(told)
            else:
                self._store.delete(names.KIND_CRASHES, stored.name)
        return tuple(found)

    def write(self, told: PoisonReport) -> None:
        """Write what is known of one request, or raise PlatformUnavailable."""
        now_ms = _now_ms()
        spec = {
            "crashes": [
                {
                    "upstream": one.upstream_id,
                    "atMs": max(0, now_ms - one.ago_ms),
                    "underWay": one.under_way,
                }
                for one in told.crashes
            ]
        }
        kind, name = names.KIND_CRASHES, told.fingerprint
        if self._store.create(kind, name, spec) is None:
            self._store.replace(kind, name, spec)

    def remove(self, fingerprint: str) -> None:
        """Remove what is kept of a request, or raise PlatformUnavailable."""
        self._store.delete(names.KIND_CRASHES, fingerprint)


def _decode_report(stored: StoredObject, now_ms: int) -> PoisonReport | None:
    """Decode one object; None where it can't be read."""
    try:
        spec: dict[str, Any] = _SPEC(stored.spec)
    except vol.Invalid as fault:
        log_event(
            PREFIX_CONFIGURATION, f"What is kept of request {stored.name} is not read: {fault}"
        )
        return None
    crashes = (
        CrashReport(one["upstream"], max(0, now_ms - one["atMs"]), one["underWay"])
        for one in spec["crashes"]
    )
    young = tuple(one for one in crashes if one.ago_ms <= CRASH_RETENTION_S * MS_PER_S)
    return PoisonReport(stored.name, young, None)


def _now_ms() -> int:
    """Return the time of day, in milliseconds."""
    return int(time.time() * MS_PER_S)
