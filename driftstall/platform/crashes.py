"""Store what has crashed upstreams, one object per request or prompt part, in the platform's store.

The objects survive when all instances end at once. They hold the wall-clock time of each crash:
the store does not share the instances' monotonic clocks, which end with their machine.
"""

from __future__ import annotations

import time
from typing import Any, Final

import voluptuous as vol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.decisions.poison_evidence import CRASH_RETENTION_S, CrashReport, PoisonReport
from driftstall.exceptions import PlatformUnavailable
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
                    vol.Optional("companions", default=[]): [checks.text],
                },
                extra=vol.ALLOW_EXTRA,
            )
        ]
    },
    extra=vol.ALLOW_EXTRA,
)


class PlatformCrashStore:
    """Read, write and delete the objects of crashed requests."""

    def __init__(self, store: Store) -> None:
        """Initialize with the platform's object store."""
        self._store = store

    def read(self) -> tuple[PoisonReport, ...]:
        """Return the stored reports, and try to delete expired or invalid objects.

        Raises PlatformUnavailable if there is no list.
        """
        now_ms = _now_ms()
        reports, obsolete = [], []
        for stored in self._store.list(names.KIND_CRASHES).objects:
            report = _decode_report(stored, now_ms)
            if report is not None and report.crashes:
                reports.append(report)
            else:
                obsolete.append(stored.name)
        for name in obsolete:
            self._try_delete(name)
        return tuple(reports)

    def _try_delete(self, name: str) -> None:
        """Delete an object; one that stays is read, and deleted, again."""
        try:
            self._store.delete(names.KIND_CRASHES, name)
        except (PlatformUnavailable, UnicodeEncodeError) as fault:
            log_event(PREFIX_CONFIGURATION, f"Stored crashes of {name!r} not deleted: {fault}")

    def write(self, report: PoisonReport) -> None:
        """Store the crashes of a request, or raise PlatformUnavailable."""
        now_ms = _now_ms()
        spec = {
            "crashes": [
                {
                    "upstream": crash.upstream_id,
                    "atMs": max(0, now_ms - crash.ago_ms),
                    "underWay": crash.under_way,
                    "companions": list(crash.companions),
                }
                for crash in report.crashes
            ]
        }
        kind, name = names.KIND_CRASHES, report.fingerprint
        if self._store.create(kind, name, spec) is None:
            self._store.replace(kind, name, spec)

    def remove(self, fingerprint: str) -> None:
        """Delete the stored crashes of a request, or raise PlatformUnavailable."""
        self._store.delete(names.KIND_CRASHES, fingerprint)


def _decode_report(stored: StoredObject, now_ms: int) -> PoisonReport | None:
    """Decode an object, without its expired crashes; None if it is invalid."""
    try:
        spec: dict[str, Any] = _SPEC(stored.spec)
        fingerprint = checks.name(stored.name)
    except vol.Invalid as fault:
        log_event(
            PREFIX_CONFIGURATION, f"Stored crashes of request {stored.name!r} ignored: {fault}"
        )
        return None
    crashes = (
        CrashReport(
            crash["upstream"],
            max(0, now_ms - crash["atMs"]),
            crash["underWay"],
            tuple(crash["companions"]),
        )
        for crash in spec["crashes"]
    )
    recent = tuple(crash for crash in crashes if crash.ago_ms <= CRASH_RETENTION_S * MS_PER_S)
    return PoisonReport(fingerprint, recent, None)


def _now_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)
