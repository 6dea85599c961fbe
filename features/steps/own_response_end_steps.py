"""Test how streams of the own interface end."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from types import SimpleNamespace
from typing import Any, Final

from behave import given, then, when
from gevent import socket

from driftstall.core import Problem, Ran
from driftstall.daemon.callers import STREAM_END, CallersApp
from driftstall.daemon.http_responses import StartResponse
from driftstall.daemon.http_server import build_server
from driftstall.daemon.hub import Hub
from driftstall.daemon.relay_service import Completed, Failed, RelayItem, Token, Tokens
from driftstall.daemon.settings import Settings
from features.worlds.gateway_world import read_response

TOKENS: Final = [Tokens((Token("g", index, "r1", b'{"t":%d}' % index),)) for index in range(2)]
FAILURE: Final = Failed(Problem("runner_failed", 502, "the runner is gone", Ran.UNKNOWN))
REQUEST: Final = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
RELAYS: Final[dict[str, tuple[RelayItem | Exception, ...]]] = {
    "is complete after 2 tokens": (*TOKENS, Completed(b'{"end":1}')),
    "fails after 2 tokens": (*TOKENS, FAILURE),
    "raises an error after 2 tokens": (*TOKENS, ValueError("a defect")),
    "stops without an end after 2": tuple(TOKENS),
    "raises an error at once": (ValueError("a defect"),),
}
ENDS: Final = {
    "its end": b'data: {"end":1}\n\n' + STREAM_END,
    "the failure": b"event: error\n",
    "the tokens": b"",
}


def _relay(items: Iterable[RelayItem | Exception]) -> Iterator[RelayItem]:
    """Yield items, and raise those that are errors."""
    for item in items:
        if isinstance(item, Exception):
            raise item
        yield item


class RelayingApp(CallersApp):
    """The callers' application, with a relay in place of the dispatch of requests."""

    def __init__(self, hub: Hub, items: Iterable[RelayItem | Exception]) -> None:
        """Initialize with the items of the relay."""
        node: Any = SimpleNamespace(hub=hub)
        super().__init__(node)
        self._items = items

    def _serve(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Respond with the relay's stream."""
        request: Any = SimpleNamespace(workspace="w", asked_at=self._hub.wall_time())
        relay: Any = _relay(self._items)
        return self._respond_stream(relay, request, start)


@given("the own interface before a relay that {ends}")
def serve_relay(context: Any, ends: str) -> None:
    """Start a server."""
    settings = Settings.from_args(
        [
            "--instance-id=a",
            "--zone=a",
            "--operator-token=operator token for tests",
            "--peer-key=peer key for tests only",
        ],
        {},
    )
    app = RelayingApp(Hub(settings), RELAYS[ends])
    context.server = build_server(
        settings, "127.0.0.1:0", app, max_body=1_000, descriptor_share=0.3
    )
    context.server.start()
    context.add_cleanup(context.server.stop)


@when("its stream is read")
def read_stream(context: Any) -> None:
    """Send a request and read its response."""
    connection = socket.create_connection(("127.0.0.1", context.server.server_port))
    context.add_cleanup(connection.close)
    connection.sendall(REQUEST)
    context.answer = read_response(connection)


@then("it holds 2 tokens and nothing but {more}")
def holds_tokens(context: Any, more: str) -> None:
    """Check the events."""
    answer = context.answer
    assert answer.status == 200 and answer.body.count(b"id: ") == len(TOKENS), answer
    _, _, rest = answer.body.rpartition(TOKENS[-1].tokens[0].data + b"\n\n")
    assert rest.startswith(ENDS[more]) and bool(rest) == bool(ENDS[more]), answer


@then("its last chunk is {place:w}")
def last_chunk(context: Any, place: str) -> None:
    """Check the end of the response."""
    assert context.answer.whole == (place == "there"), context.answer


@then("it is a whole problem with status {status:d}")
def whole_problem(context: Any, status: int) -> None:
    """Check the response."""
    assert (context.answer.status, context.answer.whole) == (status, True), context.answer
