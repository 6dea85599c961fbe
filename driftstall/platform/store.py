"""Call the platform's object store: lists, conditional writes and watches.

Every call has a connection of its own: after a lost answer a connection says
nothing more, and a watch may be cut at any time.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import gevent
import orjson

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.watch_timeouts import ANSWER_MARGIN_S
from driftstall.exceptions import HistoryUnavailable, PlatformUnavailable, UpstreamError
from driftstall.helpers.log import log_event
from driftstall.platform import names
from driftstall.util.http import Exchange

CALL_TIMEOUT_S: Final = 1.5
"""A call takes milliseconds; beyond this the store is taken for silent."""
BODY_TIMEOUT_S: Final = 10.0
"""Time for the whole body of an answer: a megabyte, the most that one holds, takes two seconds
on the weakest links (5 Mbit/s), which it shares with all streams."""
MAX_LOGGED_CHARS: Final = 200
"""Characters of an object that can't be read which are logged."""
NO_ERA: Final = 0
"""The era of a store that names none."""
NOT_EXECUTED_STATUSES: Final = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)


Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object of the store."""

    name: str
    revision: StoreVersion
    """The store's version at the object's last change."""
    spec: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a kind."""

    objects: tuple[StoredObject, ...]
    at: StoreVersion
    """The version from which a watch sees all that follows."""


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Hold one change of an object."""

    changed: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Hold the changes since a revision, in order."""

    events: tuple[WatchEvent, ...]
    at: StoreVersion


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold one answer of the store."""

    status: int
    body: Any
    era: int


class Store:
    """Call the store at one address."""

    def __init__(self, address: str, token: str = "") -> None:
        """Take the store's address, IP and port, and an access token if it wants one."""
        self._on_era: Callable[[int], None] | None = None
        self._era: int | None = None
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return how many calls were made."""
        return self._calls

    @property
    def era(self) -> int:
        """Return the newest era that an answer has named; zero where none has."""
        return self._era or NO_ERA

    def subscribe_store_eras(self, era_seen: Callable[[int], None]) -> None:
        """Have somebody told of each era that an answer is the first to name."""
        self._on_era = era_seen

    def use_address(self, address: str) -> None:
        """Call another address from now on."""
        self._address = address

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind, or raise PlatformUnavailable.

        A stale list may be some seconds old, and costs a tenth.
        """
        found: list[StoredObject] = []
        fixed = {"stale": "1"} if stale else {}
        query = dict(fixed)
        at: StoreVersion | None = None
        while True:
            body, era = self._read(_path(kind, query=query))
            if at is not None and era != at.era:
                # The pages are of two eras: no watch from here would miss nothing.
                raise HistoryUnavailable
            rows = _rows(body, "items")
            readable = _readable(rows, partial(_object, era=era))
            if rows and not readable:
                raise PlatformUnavailable("no row of an answer can be read")
            found += readable
            # Later pages may be newer; a watch from the first page's revision misses nothing.
            at = _revision(body, era) if at is None else at
            last = _last_name(body)
            if not body.get("more") or not last:
                return Listing(tuple(found), at)
            query = fixed | {"after": last}

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None if there is none."""
        answer = self._call("GET", _path(kind, name))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _object(_checked(answer), era=answer.era)

    def watch(self, kind: str, at: StoreVersion, wait_s: float) -> WatchAnswer:
        """Wait for changes after a version; raise HistoryGone if they are forgotten.

        So it does where the store has come back meanwhile: the revision may name another change
        now, and what happened before it is not told.
        """
        query = {"watch": str(at.revision), "waitMs": str(int(wait_s * 1000))}
        body, era = self._read(_path(kind, query=query), wait_s + ANSWER_MARGIN_S)
        if era != at.era:
            raise HistoryUnavailable
        rows, until = _rows(body, "events"), _revision(body, era)
        events = tuple(_readable(rows, partial(_event, era=era)))
        if len(events) < len(rows):
            # What is passed over in a list is read again with the next one; a change is not.
            raise HistoryUnavailable
        return WatchAnswer(events, until)

    def create(self, kind: str, name: str, spec: Any) -> StoredObject | None:
        """Make an object; return None where it is there already."""
        body = {"metadata": {"name": name}, "spec": spec}
        return _written(self._call("POST", _path(kind), body))

    def replace(
        self, kind: str, name: str, spec: Any, revision: StoreVersion | None = None
    ) -> StoredObject | None:
        """Replace an object; return None where it is gone, or not at the version if one is given.

        Raises PlatformUnavailable; its sent flag tells whether the write may have been done.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            if revision.era < (self._era or 0):
                # The same revision may be another change by now.
                return None
            metadata["revision"] = revision.revision
        body = {"metadata": metadata, "spec": spec}
        return _written(self._call("PUT", _path(kind, name), body))

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        answer = self._call("DELETE", _path(kind, name))
        if answer.status != HTTPStatus.NOT_FOUND:
            _checked(answer)

    def _read(self, path: str, timeout_s: float = CALL_TIMEOUT_S) -> tuple[Any, int]:
        """Make one reading call and return its body, and the era it is of."""
        answer = self._call("GET", path, timeout_s=timeout_s)
        return _checked(answer), answer.era

    def _call(
        self, method: str, path: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S
    ) -> _Answer:
        """Make one call; raise PlatformUnavailable where no answer came."""
        self._calls += 1
        data = b"" if body is None else orjson.dumps(body)
        headers = dict(self._headers)
        if data:
            headers["Content-Type"] = "application/json"
        try:
            # The exchange itself bounds each read only, and bytes may come one by one.
            with gevent.Timeout(timeout_s, UpstreamError("no answer in time", sent=True)):
                exchange = Exchange.open(self._address, method, path, headers, data, timeout_s)
            with gevent.Timeout(BODY_TIMEOUT_S, UpstreamError("no whole answer", sent=True)):
                raw = exchange.read()
            era = self._take_era(exchange.header(names.HEADER_ERA))
            return _Answer(exchange.status, _decoded(raw) if raw else None, era)
        except UpstreamError as fault:
            raise PlatformUnavailable(f"no answer: {fault}", sent=fault.sent) from fault
        except (ValueError, RecursionError) as fault:
            raise PlatformUnavailable("the answer is not JSON") from fault

    def _take_era(self, told: str) -> int:
        """Return the era that an answer names, or raise PlatformUnavailable.

        A store that has never named one has none. An answer without one, or of an era that is over,
        is not believed.
        """
        if not told and self._era is None:
            return NO_ERA
        known = self._era or NO_ERA
        if not told.isdecimal() or int(told) < known:
            detail = f"an answer names the era {told[:MAX_LOGGED_CHARS]!r} after {known}"
            log_event(PREFIX_CONFIGURATION, f"The platform is not believed: {detail}")
            raise PlatformUnavailable(detail)
        era = int(told)
        if era != self._era:
            self._era = era
            if self._on_era is not None:
                self._on_era(era)
        return era


def _decoded(raw: bytes) -> Any:
    """Return the content of an answer; raise ValueError or RecursionError where it has none.

    One object with bytes that are no text must not hide all others of a list.
    """
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        return json.loads(raw.decode("utf-8", "replace"))


def _path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    """Return the path of a kind or of one of its objects."""
    parts: Iterable[str] = (names.PATH_OBJECTS, quote(kind, safe=""), quote(name, safe=""))
    path = "/".join(part for part in parts if part)
    return f"{path}?{urlencode(query)}" if query else path


def _written(answer: _Answer) -> StoredObject | None:
    """Return the object as a write left it, or None where its condition did not hold."""
    if answer.status in (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND):
        return None
    return _object(_checked(answer), era=answer.era)


def _checked(answer: _Answer) -> Any:
    """Return the body of a good answer, or raise PlatformUnavailable."""
    status, body = answer.status, answer.body
    if status in (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT):
        return body
    if status == HTTPStatus.GONE:
        raise HistoryUnavailable
    raise PlatformUnavailable(
        f"the store answered {status}", sent=status not in NOT_EXECUTED_STATUSES
    )


def _rows(body: Any, name: str) -> list[Any]:
    """Return the rows of an answer, or raise PlatformUnavailable."""
    rows = body.get(name) if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise PlatformUnavailable(f"an answer cannot be read: it has no {name}")
    return rows


def _readable(rows: list[Any], decode: Callable[[Any], Item]) -> list[Item]:
    """Decode the rows that can be decoded; the others hold for nothing, and are logged."""
    found: list[Item] = []
    for row in rows:
        try:
            found.append(decode(row))
        except PlatformUnavailable as fault:
            log_event(
                PREFIX_CONFIGURATION, f"One row of the platform's answer is passed over: {fault}"
            )
    return found


def _last_name(body: dict[str, Any]) -> str:
    """Return the last name of a page, after which the next one begins; empty if there is none."""
    for row in reversed(body["items"]):
        name = _name(row)
        if name:
            return name
    return ""


def _name(row: Any) -> str:
    """Return the name of an object, also of one that can't be read otherwise."""
    metadata = row.get("metadata") if isinstance(row, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _revision(body: dict[str, Any], era: int) -> StoreVersion:
    """Return the version of an answer, or raise PlatformUnavailable."""
    try:
        return StoreVersion.of(era, int(body["at"]))
    except (KeyError, TypeError, ValueError) as fault:
        raise PlatformUnavailable(f"an answer cannot be read: {fault!r}") from fault


def _event(raw: Any, era: int) -> WatchEvent:
    """Decode one change."""
    if not isinstance(raw, dict) or not isinstance(raw.get("gone"), bool):
        raise PlatformUnavailable("a change does not tell whether its object is gone")
    return WatchEvent(_object(raw.get("object"), era), raw["gone"])


def _object(raw: Any, era: int) -> StoredObject:
    """Decode one object."""
    name = _name(raw)
    revision = raw["metadata"].get("revision") if name else None
    if type(revision) is not int or revision < 0:
        raise PlatformUnavailable(f"an object cannot be read: {str(raw)[:MAX_LOGGED_CHARS]}")
    return StoredObject(name, StoreVersion.of(era, revision), raw.get("spec"))
