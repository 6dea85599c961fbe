"""Test malformed input and resume tokens of other workspaces, on real processes."""

from __future__ import annotations

from typing import Any

from behave import then, when
from gevent import socket

from driftstall.cli.client import call_json
from driftstall.exceptions import UpstreamError
from driftstall.util.http import Exchange
from features.worlds.process_world import (
    KEY,
    GenerationReader,
    running_instances,
)
from measures.bench import workspace_key

GARBAGE = (
    b"\x00\xff" * 400,
    b"GET / HTTP/9.9\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\nshort",
    b"GET / HTTP/1.1\r\n" + b"A: " + b"a" * 70_000 + b"\r\n\r\n",
    b"\x00\x00\x00\x20" + b"z" * 32,
    b"\xff\xff\xff\xff" + b"z" * 100,
)


@when("malformed input is sent to every listener")
def malformed(context: Any) -> None:
    """Send garbage to the listeners for callers, operators and peers, and close."""
    process = running_instances(context.bench)[0]
    flags = process.popen.args
    peer = next(flag.split("=")[1] for flag in flags if flag.startswith("--peer-listen"))
    for address in (process.address, process.operator, peer):
        host, port = address.split(":")
        for data in GARBAGE:
            with socket.create_connection((host, int(port)), 2.0) as connection:
                try:
                    connection.sendall(data)
                    connection.shutdown(socket.SHUT_WR)
                    connection.settimeout(2.0)
                    while connection.recv(4096):
                        pass
                except OSError:
                    continue


@then("bad requests get a clear 4xx")
def bad_requests(context: Any) -> None:
    """Send well-formed HTTP requests with invalid content."""
    address = running_instances(context.bench)[0].address
    cases: list[tuple[Any, int]] = [
        ({}, 400),
        ({"model": 5, "messages": []}, 400),
        ({"model": "base", "messages": [{"role": "user"}]}, 400),
        ({"model": "base", "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}, 400),
        ({"model": "nobody", "messages": [{"role": "user", "content": "x"}]}, 404),
        ([1, 2], 400),
    ]
    for body, status in cases:
        answer = call_json(address, "POST", "/v1/chat/completions", KEY, body)
        assert answer.status == status, (body, answer)
        assert answer.value["ran"] == "not run", answer
    assert call_json(address, "POST", "/v1/chat/completions", "wrong", {}).status == 401
    assert call_json(address, "GET", "/nowhere", KEY).status == 404
    big = b'{"model":"' + b"x" * 3_000_000 + b'"}'
    headers = {"Authorization": f"Bearer {KEY}"}
    try:
        exchange = Exchange.open(address, "POST", "/v1/chat/completions", headers, big, 10.0)
        assert exchange.status == 413, exchange.status
    except UpstreamError:
        # The server responded and closed the connection before the body was complete.
        return


@then("all instances still run and serve")
def still_serve(context: Any) -> None:
    """Check that all instances run and that a generation completes."""
    assert len(running_instances(context.bench)) >= 3
    GenerationReader(context.bench, 10).check()


@then("a resume token of one workspace opens nothing for another")
def foreign_token(context: Any) -> None:
    """Send a resume token with the key of another workspace."""
    answer = GenerationReader(context.bench, 5)
    address = running_instances(context.bench)[0].address
    body = b'{"model":"base","stream":true,"messages":[{"role":"user","content":"[length=3]"}]}'
    headers = {"Authorization": f"Bearer {KEY}"}
    exchange = Exchange.open(address, "POST", "/v1/chat/completions", headers, body, 30.0)
    token = exchange.read_event().split(b"\n")[0][4:].decode()
    exchange.close()
    other = {
        "Authorization": f"Bearer {workspace_key('plains')}",
        "Last-Event-ID": token,
    }
    foreign = Exchange.open(address, "POST", "/v1/chat/completions", other, b"", 30.0)
    assert foreign.status == 400, foreign.status
    answer.check()
