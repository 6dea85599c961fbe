"""Client of the platform's object store: lists, conditional writes and long-poll watches.

Every call opens its own connection, since a connection cannot be reused after a lost answer, and
a watch may be cut off at any time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import gevent
import orjson
import voluptuous as vol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.watch_timeouts import ANSWER_MARGIN_S
from driftstall.exceptions import HistoryUnavailable, PlatformUnavailable, UpstreamError
from driftstall.helpers.log import log_event
from driftstall.platform import checks, names
from driftstall.platform.json_rows import decode_answer
from driftstall.util.http import Exchange
from driftstall.util.limited_response import ResponseLimits
from driftstall.util.staggered_calls import call_staggered

CALL_TIMEOUT_S: Final = 1.5
"""Time for the headers of an answer. Calls take milliseconds; a store that takes longer than this
is treated as unavailable."""
ATTEMPT_DELAY_S: Final = 0.3
"""While calls fail, time without an answer after which an urgent read is repeated."""
URGENT_KINDS: Final = frozenset({names.KIND_UPSTREAMS})
"""Kinds whose first answer after an outage must follow the return of the store at once."""
BODY_TIMEOUT_S: Final = 10.0
"""Time for the whole body of an answer. The largest body, one megabyte, takes two seconds on the
slowest links (5 Mbit/s), and shares the link with all streams."""
ANSWER_LIMITS: Final = ResponseLimits(4_000_000, BODY_TIMEOUT_S)
"""Limits of an answer's body: pages of lists and answers of watches are a quarter as large."""
MAX_LOGGED_CHARS: Final = 200
"""Logged characters of an object that cannot be decoded."""
_REVISION: Final = checks.integer()
NO_ERA: Final = 0
"""Era of a store whose answers name none."""
NOT_EXECUTED_STATUSES: Final = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)
"""Statuses with which the store has not executed the request."""


Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store."""

    name: str
    revision: StoreVersion
    """Version of the store at the object's last change."""
    spec: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind."""

    objects: tuple[StoredObject, ...]
    at: StoreVersion
    """Version from which a watch sees every later change."""


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change or removal of an object."""

    changed: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """The changes since a version, in order."""

    events: tuple[WatchEvent, ...]
    at: StoreVersion


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store."""

    status: int
    body: Any
    era: int


class Store:
    """Client of the store at one address."""

    def __init__(self, address: str, token: str = "") -> None:
        """Initialize with the store's address (IP:port) and its access token, if it needs one."""
        self._on_era: Callable[[int], None] | None = None
        self._era: int | None = None
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._calls = 0
        self._is_failing = False
        """Whether the latest call was not answered."""

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._calls

    @property
    def era(self) -> int:
        """Return the newest era that an answer has named, or zero."""
        return self._era or NO_ERA

    def subscribe_store_eras(self, on_era: Callable[[int], None]) -> None:
        """Call `on_era` with each new era, when the first answer names it."""
        self._on_era = on_era

    def use_address(self, address: str) -> None:
        """Send later calls to another address."""
        self._address = address

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind, or raise PlatformUnavailable.

        A stale list may be some seconds old, and costs the store a tenth of a current one.
        """
        objects: list[StoredObject] = []
        base_query = {"stale": "1"} if stale else {}
        query = dict(base_query)
        at: StoreVersion | None = None
        while True:
            path = _build_path(kind, query=query)
            body, era = self._read(path, is_urgent=kind in URGENT_KINDS)
            if at is not None and era != at.era:
                # The pages belong to two eras, so a watch from the first page could miss changes.
                raise HistoryUnavailable
            rows = _get_rows(body, "items")
            readable = _decode_rows(rows, partial(_decode_object, era=era))
            if rows and not readable:
                raise PlatformUnavailable("no row of the answer is valid")
            objects += readable
            # Later pages may be newer; a watch from the first page's version misses no change.
            at = _decode_version(body, era) if at is None else at
            if not body.get("more"):
                return Listing(tuple(objects), at)
            last = _find_last_name(body)
            if last in ("", query.get("after")):
                raise PlatformUnavailable("no name to continue a list after")
            query = base_query | {"after": last}

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        answer = self._call("GET", _build_path(kind, name))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_object(_check_answer(answer), era=answer.era)

    def watch(self, kind: str, at: StoreVersion, wait_s: float) -> WatchAnswer:
        """Wait up to `wait_s` seconds for changes after a version.

        Raises HistoryUnavailable if the store no longer has these changes. It is raised as well if
        the store was restored from an older copy in the meantime (its era has changed): the
        revision may then name another change, and earlier changes are not reported.
        """
        query = {"watch": str(at.revision), "waitMs": str(int(wait_s * 1000))}
        path = _build_path(kind, query=query)
        if wait_s > 0:
            body, era = self._read(path, wait_s + ANSWER_MARGIN_S)
        else:
            body, era = self._read(path, is_urgent=kind in URGENT_KINDS)
        if era != at.era:
            raise HistoryUnavailable
        rows, until = _get_rows(body, "events"), _decode_version(body, era)
        events = tuple(_decode_rows(rows, partial(_decode_event, era=era)))
        if len(events) < len(rows):
            # An invalid row of a list is read again with the next list; a skipped change is lost.
            raise HistoryUnavailable
        return WatchAnswer(events, until)

    def create(self, kind: str, name: str, spec: Any) -> StoredObject | None:
        """Create an object; return None if it exists already."""
        body = {"metadata": {"name": name}, "spec": spec}
        return _decode_written_object(self._call("POST", _build_path(kind), body))

    def replace(
        self, kind: str, name: str, spec: Any, revision: StoreVersion | None = None
    ) -> StoredObject | None:
        """Replace an object; return None if it was removed or is not at the given revision.

        Raises PlatformUnavailable, whose `sent` is true if the write may have been executed.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            if revision.era < (self._era or 0):
                # The revision is of an earlier era and may name another change now.
                return None
            metadata["revision"] = revision.revision
        body = {"metadata": metadata, "spec": spec}
        return _decode_written_object(self._call("PUT", _build_path(kind, name), body))

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        answer = self._call("DELETE", _build_path(kind, name))
        if answer.status != HTTPStatus.NOT_FOUND:
            _check_answer(answer)

    def _read(
        self, path: str, timeout_s: float = CALL_TIMEOUT_S, *, is_urgent: bool = False
    ) -> tuple[Any, int]:
        """Send a GET request and return the answer's body and era.

        While calls fail, an urgent one is repeated on further connections until one is answered.
        """
        is_staggered = is_urgent and self._is_failing
        answer = self._call("GET", path, timeout_s=timeout_s, is_staggered=is_staggered)
        return _check_answer(answer), answer.era

    def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        is_staggered: bool = False,
    ) -> _Answer:
        """Send a request; raise PlatformUnavailable if there is no valid answer.

        A staggered request is repeated on further connections until one of them is answered.
        """
        data = b"" if body is None else orjson.dumps(body)
        headers = dict(self._headers)
        if data:
            headers["Content-Type"] = "application/json"

        def open_exchange() -> Exchange:
            self._calls += 1
            return Exchange.open(
                self._address, method, path, headers, data, timeout_s, ANSWER_LIMITS
            )

        try:
            # Opening the connection counts as well.
            with gevent.Timeout(timeout_s, UpstreamError("no answer in time", sent=True)):
                exchange = (
                    call_staggered(open_exchange, ATTEMPT_DELAY_S)
                    if is_staggered
                    else open_exchange()
                )
            self._is_failing = False
            raw = exchange.read_document()
            era = self._update_era(exchange.header(names.HEADER_ERA))
            body = decode_answer(raw, lambda: gevent.sleep(0)) if raw else None
            return _Answer(exchange.status, body, era)
        except UpstreamError as fault:
            self._is_failing = True
            raise PlatformUnavailable(f"no answer: {fault}", sent=fault.sent) from fault
        except ValueError as fault:
            raise PlatformUnavailable("the answer is not JSON") from fault

    def _update_era(self, header: str) -> int:
        """Return the era that an answer names, after recording it if it is new.

        A store whose answers have never named an era is in era NO_ERA. Once an era is known, an
        answer without an era or of an earlier one is rejected with PlatformUnavailable.
        """
        if not header and self._era is None:
            return NO_ERA
        known = self._era or NO_ERA
        if not header.isdecimal() or int(header) < known:
            detail = f"an answer names era {header[:MAX_LOGGED_CHARS]!r} after era {known}"
            log_event(PREFIX_CONFIGURATION, f"Store answer rejected: {detail}")
            raise PlatformUnavailable(detail)
        era = int(header)
        if era != self._era:
            self._era = era
            if self._on_era is not None:
                self._on_era(era)
        return era


def _build_path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    """Return the request path of a kind or of one of its objects."""
    parts: Iterable[str] = (names.PATH_OBJECTS, quote(kind, safe=""), quote(name, safe=""))
    path = "/".join(part for part in parts if part)
    return f"{path}?{urlencode(query)}" if query else path


def _decode_written_object(answer: _Answer) -> StoredObject | None:
    """Return the written object, or None if the condition of the write did not hold."""
    if answer.status in (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND):
        return None
    return _decode_object(_check_answer(answer), era=answer.era)


def _check_answer(answer: _Answer) -> Any:
    """Return the body of a successful answer, or raise PlatformUnavailable."""
    status, body = answer.status, answer.body
    if status in (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT):
        return body
    if status == HTTPStatus.GONE:
        raise HistoryUnavailable
    raise PlatformUnavailable(
        f"the store answered {status}", sent=status not in NOT_EXECUTED_STATUSES
    )


def _get_rows(body: Any, name: str) -> list[Any]:
    """Return the list in a field of an answer, or raise PlatformUnavailable."""
    rows = body.get(name) if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise PlatformUnavailable(f"invalid answer: it has no list {name!r}")
    return rows


def _decode_rows(rows: list[Any], decode: Callable[[Any], Item]) -> list[Item]:
    """Decode the valid rows; log the others and skip them."""
    items: list[Item] = []
    for row in rows:
        try:
            items.append(decode(row))
        except PlatformUnavailable as fault:
            log_event(PREFIX_CONFIGURATION, f"Invalid row of a store answer skipped: {fault}")
        except Exception as defect:
            detail = type(defect).__name__
            log_event(PREFIX_CONFIGURATION, f"Invalid row of a store answer skipped: {detail}")
    return items


def _find_last_name(body: dict[str, Any]) -> str:
    """Return the last object name of a page, after which the next page starts; empty if none.

    Names that cannot be sent are passed over.
    """
    for row in reversed(body["items"]):
        name = _get_name(row)
        if name and _is_encodable(name):
            return name
    return ""


def _is_encodable(name: str) -> bool:
    """Return True if a name can be part of a path."""
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return True


def _get_name(row: Any) -> str:
    """Return an object's name, even if the object is otherwise invalid; empty without a name."""
    metadata = row.get("metadata") if isinstance(row, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _decode_version(body: dict[str, Any], era: int) -> StoreVersion:
    """Return the version of an answer, or raise PlatformUnavailable."""
    try:
        return StoreVersion.of(era, _REVISION(body.get("at")))
    except vol.Invalid as fault:
        raise PlatformUnavailable(f"invalid revision in an answer: {fault}") from fault


def _decode_event(raw: Any, era: int) -> WatchEvent:
    """Decode a change, or raise PlatformUnavailable."""
    if not isinstance(raw, dict) or not isinstance(raw.get("gone"), bool):
        raise PlatformUnavailable("a change has no boolean field 'gone'")
    return WatchEvent(_decode_object(raw.get("object"), era), raw["gone"])


def _decode_object(raw: Any, era: int) -> StoredObject:
    """Decode an object, or raise PlatformUnavailable."""
    name = _get_name(raw)
    if not name:
        raise PlatformUnavailable("an object has no name")
    try:
        revision = _REVISION(raw["metadata"].get("revision"))
    except vol.Invalid as fault:
        detail = f"object {name[:MAX_LOGGED_CHARS]!r} has no valid revision"
        raise PlatformUnavailable(detail) from fault
    return StoredObject(name, StoreVersion.of(era, revision), raw.get("spec"))
