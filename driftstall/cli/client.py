"""HTTP clients of an instance: JSON calls of operators, and streamed chats of callers."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import orjson

from driftstall.const import HEADER_KIND, HEADER_LAST_EVENT_ID, HEADER_TICKET
from driftstall.exceptions import UpstreamError
from driftstall.util import clock
from driftstall.util.http import Exchange

TIMEOUT_S: Final = 30.0
MAX_RECONNECTS: Final = 20
RECONNECT_PAUSE_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded JSON body of a response."""

    status: int
    value: Any


def call_json(
    address: str,
    method: str,
    path: str,
    token: str,
    value: Any = None,
    timeout_s: float = TIMEOUT_S,
) -> Answer:
    """Send a request with a JSON body; raise UpstreamError if there is no valid answer."""
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    body = b"" if value is None else orjson.dumps(value)
    exchange = Exchange.open(address, method, path, headers, body, timeout_s)
    status = exchange.status
    raw = exchange.read()
    try:
        return Answer(status, orjson.loads(raw) if raw else None)
    except orjson.JSONDecodeError as fault:
        raise UpstreamError("the answer is not JSON", sent=True) from fault


@dataclass(frozen=True, slots=True)
class ChatPart:
    """A piece of a streamed answer, and the event id to resume after."""

    text: str
    event_id: str


@dataclass(frozen=True, slots=True)
class ChatEnd:
    """End of a streamed answer; `problem` is None if the answer is complete."""

    problem: dict[str, Any] | None
    last: dict[str, Any] | None = None


class Caller:
    """Client that locates instances, caches their addresses, and resumes broken streams."""

    def __init__(self, seeds: tuple[str, ...], key: str, zone: str = "") -> None:
        """Initialize with the addresses of any instances, the workspace key and the own zone."""
        self._seeds = seeds
        self._key = key
        self._zone = zone
        self._addresses: tuple[str, ...] = ()
        self._addresses_expire_at = 0.0

    def locate(self) -> tuple[str, ...]:
        """Return the instances' addresses, best first, cached for as long as the answer allows.

        Raises UpstreamError if no instance answers and no addresses are cached.
        """
        now = clock.now()
        if self._addresses and now < self._addresses_expire_at:
            return self._addresses
        for address in (*self._addresses, *self._seeds):
            try:
                answer = call_json(
                    address, "GET", f"/v1/locate?zone={self._zone}", self._key, timeout_s=2.0
                )
            except UpstreamError:
                continue
            if answer.status == 200:
                self._addresses = tuple(row["address"] for row in answer.value["instances"])
                self._addresses_expire_at = now + float(answer.value["keep_s"])
                return self._addresses
        if self._addresses:
            return self._addresses
        raise UpstreamError("no instance answers", sent=False)

    def expire_locations(self) -> None:
        """Locate instances again before the next request, after an instance has failed."""
        self._addresses_expire_at = 0.0

    def chat(
        self, body: dict[str, Any], kind: str, ticket: str = "", deadline_s: float = 0.0
    ) -> Iterator[ChatPart | ChatEnd]:
        """Stream an answer, and resume it at another instance if the connection breaks."""
        last_id = ""
        for attempt in range(MAX_RECONNECTS):
            addresses = self.locate()
            address = addresses[attempt % len(addresses)]
            try:
                for part in self._stream(address, body, kind, last_id, ticket, deadline_s):
                    if isinstance(part, ChatPart):
                        last_id = part.event_id
                    yield part
                    if isinstance(part, ChatEnd):
                        return
            except UpstreamError as fault:
                if fault.sent and not last_id and not attempt < 3:
                    break
                self.expire_locations()
                time.sleep(RECONNECT_PAUSE_S)
        yield ChatEnd({"code": "unreachable", "detail": "no instance answers", "ran": "unknown"})

    def _stream(
        self,
        address: str,
        body: dict[str, Any],
        kind: str,
        last_id: str,
        ticket: str,
        deadline_s: float,
    ) -> Iterator[ChatPart | ChatEnd]:
        """Stream from one instance: from the start, or after the event `last_id`."""
        headers = {"Authorization": f"Bearer {self._key}", HEADER_KIND: kind}
        if last_id:
            headers[HEADER_LAST_EVENT_ID] = last_id
        if ticket:
            headers[HEADER_TICKET] = ticket
        if deadline_s:
            headers["Driftstall-Deadline"] = f"{deadline_s:g}"
        payload = orjson.dumps(body | {"stream": True})
        exchange = Exchange.open(
            address, "POST", "/v1/chat/completions", headers, payload, TIMEOUT_S * 4
        )
        if exchange.status != 200:
            yield ChatEnd(orjson.loads(exchange.read()))
            return
        try:
            while True:
                event = exchange.read_event()
                if not event:
                    raise UpstreamError("the stream ended early", sent=True)
                yield _chat_event(event)
        finally:
            exchange.close()


def _chat_event(event: bytes) -> ChatPart | ChatEnd:
    """Decode a server-sent event of an answer."""
    head, _, data = event.rstrip(b"\n").rpartition(b"data: ")
    if head.startswith(b"event: error"):
        return ChatEnd(orjson.loads(data))
    if not head.startswith(b"id: "):
        return ChatEnd(None, orjson.loads(data))
    chunk = orjson.loads(data)
    text = chunk["choices"][0]["delta"].get("content", "")
    return ChatPart(text, head[4:].strip().decode())
