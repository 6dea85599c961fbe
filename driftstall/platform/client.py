"""Talk to the platform's object API over HTTP.

Published protocol: GET, PUT (If-Match with a version, zero to create) and a
long-poll watch, all with JSON values; and a list of live and leaving instances.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final
from urllib.parse import quote

import orjson
from geventhttpclient import HTTPClient

from driftstall.exceptions import PlatformUnavailable
from driftstall.util.addresses import split_address

READ_TIMEOUT_S: Final = 2.0
WATCH_S: Final = 20
CONNECTIONS: Final = 8
HTTP_CONFLICT: Final = 409


class WriteState(StrEnum):
    """Name how a write ended."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object; version zero stands for none."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Tell how a write ended, and the version it made."""

    state: WriteState
    version: int = 0


@dataclass(frozen=True, slots=True)
class ListedMember:
    """Hold one row of the platform's list; it lags."""

    member_id: str
    role: str
    """entry or runner."""
    address: str
    peer_address: str
    zone: str
    leaving: bool


class PlatformClient:
    """Read, write and watch objects."""

    def __init__(self, address: str, token: str) -> None:
        """Take the address (IP and port) and the access token."""
        host, port = split_address(address)
        self._headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        self._client = _http(host, port, READ_TIMEOUT_S, CONNECTIONS)
        self._watcher = _http(host, port, WATCH_S + READ_TIMEOUT_S, 2)
        self.reads = 0
        self.writes = 0

    def get(self, key: str) -> StoredObject:
        """Return an object, or raise PlatformUnavailable."""
        self.reads += 1
        status, body = self._call(self._client, "GET", f"/v1/objects/{quote(key)}")
        if status == 404:
            return StoredObject(key, 0, None)
        if status != 200:
            raise PlatformUnavailable(f"the platform answered {status}")
        return StoredObject(key, body["version"], body["value"])

    def put(self, key: str, value: Any, expected: int) -> WriteResult:
        """Write an object if its version is still the expected one."""
        self.writes += 1
        headers = {"If-Match": str(expected)}
        path = f"/v1/objects/{quote(key)}"
        try:
            status, body = self._call(self._client, "PUT", path, orjson.dumps(value), headers)
        except PlatformUnavailable as fault:
            if not fault.sent:
                raise
            return WriteResult(WriteState.UNKNOWN)
        if status == 200:
            return WriteResult(WriteState.DONE, body["version"])
        if status == HTTP_CONFLICT:
            return WriteResult(WriteState.CONFLICT)
        if status in (429, 503):
            # The published protocol: with these the write had no effect.
            raise PlatformUnavailable(f"the platform answered {status}", sent=False)
        return WriteResult(WriteState.UNKNOWN)

    def watch(self, prefix: str, after: int) -> tuple[int, tuple[StoredObject, ...]]:
        """Wait for changes after a revision; return the new revision and them."""
        self.reads += 1
        path = f"/v1/watch?prefix={quote(prefix)}&after={after}&timeout={WATCH_S}"
        status, body = self._call(self._watcher, "GET", path)
        if status != 200:
            raise PlatformUnavailable(f"the platform answered {status}")
        changes = [
            StoredObject(one["key"], one["version"], one["value"]) for one in body["changes"]
        ]
        return body["revision"], tuple(changes)

    def members(self) -> tuple[ListedMember, ...]:
        """Return the platform's list of instances and runners."""
        self.reads += 1
        status, body = self._call(self._client, "GET", "/v1/instances")
        if status != 200:
            raise PlatformUnavailable(f"the platform answered {status}")
        return tuple(
            ListedMember(
                one["id"],
                one["role"],
                one["address"],
                one.get("peer_address", ""),
                one.get("zone", ""),
                one["state"] == "leaving",
            )
            for one in body["instances"]
        )

    def _call(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Make one call and read its JSON."""
        sent = False
        try:
            merged = self._headers | (headers or {})
            sent = True
            response = client.request(method, path, body=body or None, headers=merged)
            raw = response.read()
            return response.status_code, orjson.loads(raw) if raw else None
        except ConnectionRefusedError as fault:
            raise PlatformUnavailable("the platform refuses connections", sent=False) from fault
        except (OSError, ValueError) as fault:
            raise PlatformUnavailable(f"no answer: {type(fault).__name__}", sent=sent) from fault


def _http(host: str, port: int, timeout_s: float, connections: int) -> HTTPClient:
    """Return an HTTP client for one address."""
    return HTTPClient(
        host,
        port=port,
        connection_timeout=READ_TIMEOUT_S,
        network_timeout=timeout_s,
        concurrency=connections,
    )
