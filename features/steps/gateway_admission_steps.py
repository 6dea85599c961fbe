"""Test the gateway's admission of requests and its HTTP parsing."""

from __future__ import annotations

import json
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when

from driftstall.gateway.model import Route, SplitPart
from driftstall.gateway.routes import pick_service
from driftstall.gateway.sources import RoutingSource
from driftstall.platform.documents import read_routing
from driftstall.platform.json_rows import encode_value
from driftstall.platform.settings import read_settings
from features.worlds.gateway_world import (
    HOST,
    KEY,
    document,
    parse_answer,
    read_response,
    request_bytes,
    runs,
    wait_for,
    world_of,
)


@given("the configuration may be old")
def may_be_old(context: Any) -> None:
    """Mark the instance's configuration as possibly outdated."""
    world_of(context).current = False


def document_with_workspaces(version: int, workspaces: str) -> dict[str, Any]:
    """Return a configuration whose list of workspaces is empty, null or missing."""
    raw = document(version)
    raw["tenants"] = [] if workspaces == "empty" else None
    if workspaces == "missing":
        del raw["tenants"]
    return raw


@given("the list of workspaces is now {workspaces}")
def change_workspaces(context: Any, workspaces: str) -> None:
    """Apply a newer configuration with another list of workspaces."""
    world_of(context).use(document_with_workspaces(2, workspaces))


@given("settings whose contracts are {contracts}")
def read_contracts(context: Any, contracts: str) -> None:
    """Read a settings file with these contracts, and use what it says of workspaces."""
    raw: dict[str, Any] = {
        "nodeName": "n",
        "zone": "a",
        "ip": "127.0.0.1",
        "listen": dict.fromkeys(("front", "ready", "directory", "control"), "127.0.0.1:80"),
        "platform": {"address": "127.0.0.1:80"},
    }
    if contracts != "not named":
        raw["contracts"] = contracts.split(", ")
    with tempfile.NamedTemporaryFile() as file:
        Path(file.name).write_text(json.dumps(raw))
        uses_workspaces = read_settings(Path(file.name)).uses_workspaces
    state = world_of(context).state
    state.settings = replace(state.settings, uses_workspaces=uses_workspaces)


@given('the key of "north" is now one of "plains"')
def move_key(context: Any) -> None:
    """Apply a newer configuration in which another workspace holds the key."""
    raw = document(2)
    for workspace in raw["tenants"]:
        workspace["apiKeys"] = [KEY] if workspace["name"] == "plains" else []
    world_of(context).use(raw)


@when('a request for "{path}" with the credentials "{credentials}" is asked as "{request_id}"')
def ask_with(context: Any, path: str, credentials: str, request_id: str) -> None:
    """Send a request with an Authorization header as it is."""
    header = credentials.replace("\\t", "\t")
    context.answer = world_of(context).ask(path, request_id, Authorization=header)


@when("a peer sends a configuration whose list of workspaces is {workspaces}")
def peer_sends(context: Any, workspaces: str) -> None:
    """Encode a configuration as an instance that has read it from the store, and apply it."""
    raw = document_with_workspaces(2, workspaces)
    source = RoutingSource(world_of(context).state, lambda *, from_peer: None)
    source.handle_peer_document(encode_value(raw))
    assert source.version == 2


@then("the answer has the status {status:d}")
def has_status(context: Any, status: int) -> None:
    """Check the status alone."""
    assert context.answer.status == status, context.answer


@given("no configuration has been read")
def no_configuration(context: Any) -> None:
    """Remove the configuration."""
    world = world_of(context)
    world.state.route_table = None
    world.state.configured.clear()


@given("a first configuration that comes while the request waits")
def configuration_comes(context: Any) -> None:
    """Remove the configuration, and apply it once a request waits."""
    world = world_of(context)
    no_configuration(context)

    def configure() -> None:
        wait_for("the request waits", lambda: world.state.open_requests > 0)
        world.use(document())
        world.state.notify_if_configured()

    gevent.spawn(configure)


@then('"{first}" leads to route "{first_name}" and "{second}" to "{second_name}"')
def leads_to(context: Any, first: str, first_name: str, second: str, second_name: str) -> None:
    """Look up the routes of two paths."""
    table = world_of(context).state.route_table
    assert table is not None
    for path, name in ((first, first_name), (second, second_name)):
        route = table.route(f"{HOST.upper()}:80", path)
        assert route is not None and route.name == name, (path, route)


@then("of 1000 requests on a route split 90 to 10 about 900 go to the first service")
def split(context: Any) -> None:
    """Count the services chosen for evenly spaced random values."""
    parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    raw = document()
    raw["routes"][0] |= {"trafficSplit": parts, "service": None}
    route: Route = read_routing(raw).routes[0]
    assert route.split == (SplitPart("a", 90.0), SplitPart("b", 10.0))
    chosen = [pick_service(route, index / 1000) for index in range(1000)]
    assert chosen.count("a") == 900


HEAD = f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nX-Driftstall-Request-Id: bad\r\n".encode()
INPUTS = {
    "two lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
    "a length beside chunks": HEAD
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a folded header": HEAD + b"A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
    "bare line ends": HEAD.replace(b"\r\n", b"\n") + b"\n",
    "a bad chunk size": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
    "an unknown transfer coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
    "a name with a blank before colon": HEAD + b"Content-Length : 4\r\n\r\nbody",
    "no host": b"GET /once/a HTTP/1.1\r\n\r\n",
    "two hosts": HEAD + b"Host: other.example\r\nContent-Length: 0\r\n\r\n",
    "two request ids": HEAD + b"X-Driftstall-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
    "a header of 10000 bytes": HEAD + b"A: " + b"a" * 10_000 + b"\r\n\r\n",
    "a length of 70000 bytes": HEAD + b"Content-Length: 70000\r\n\r\n",
    "a chunked body of 70000 bytes": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n11170\r\n"
    + b"a" * 70_000
    + b"\r\n0\r\n\r\n",
    "half a header and then nothing": HEAD[:-10],
}


@when("a caller sends {what}")
def send_input(context: Any, what: str) -> None:
    """Send malformed input, serve another caller, and read until the connection ends."""
    world = world_of(context)
    connection = world.connect()
    connection.sendall(INPUTS[what])
    context.other = world.ask("/once/a", "other")
    context.answer = read_response(connection)
    connection.close()


@then("it is answered {status:d} and closed")
def answered_closed(context: Any, status: int) -> None:
    """Check the status and the Connection header."""
    assert context.answer.status == status, context.answer
    assert context.answer.headers["connection"] == "close"


@then("another caller is served meanwhile")
def others_served(context: Any) -> None:
    """Check the other caller's response, and that the malformed request was not run."""
    assert context.other.status == 200
    assert not runs(world_of(context), "bad")


@when("two requests come in one packet")
def two_in_one(context: Any) -> None:
    """Send two pipelined requests and read both responses."""
    connection = world_of(context).connect()
    keep = request_bytes("/once/a", "p1", Connection="keep-alive")
    connection.sendall(keep + request_bytes("/once/b", "p2"))
    context.both = b""
    connection.settimeout(5.0)
    while piece := connection.recv(65_536):
        context.both += piece
    connection.close()


@then("both are answered in order on the same connection")
def both_answered(context: Any) -> None:
    """Split and check both responses."""
    first, second = context.both.split(b"HTTP/1.1 ")[1:]
    for part, request_id in ((first, "p1"), (second, "p2")):
        answer = parse_answer(b"HTTP/1.1 " + part)
        assert answer.status == 200 and answer.whole, answer
        assert answer.headers["x-driftstall-request-id"] == request_id, answer
