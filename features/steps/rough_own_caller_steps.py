"""Send what exhausts memory or descriptors to the own interface, beside an ordinary call."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.util.http import Exchange
from features.worlds.crowd import (
    Crowd,
    count_descriptors,
    descriptor_limit,
    peak_memory_mb,
    repeated,
)
from features.worlds.process_world import KEY
from measures.bench import Bench, wait_until

MB: Final = 1_000_000
SEND_WAIT_S: Final = 15.0
CALL_TIMEOUT_S: Final = 20.0
SIZES: Final = {"64 KiB": 65_536, "2 B": 2, "1 B": 1}
LINE: Final = b"POST /services/portal/x HTTP/1.1\r\n"
HEADERS: Final = b"Host: x\r\nContent-Type: application/json\r\nAuthorization: Bearer %b\r\n" % (
    KEY.encode()
)
CHUNKED: Final = LINE + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS: Final = {
    "a header value": (LINE + b"X-Long: ", b"a"),
    "header lines": (LINE, b"X-Name: value\r\n"),
    "long header lines": (LINE, b"X-Name: " + b"v" * 60_000 + b"\r\n"),
    "a request line": (b"GET /", b"a"),
    "empty lines": (b"", b"\r\n"),
    "a chunk extension": (CHUNKED + b"1;", b"a"),
    "chunk extensions": (CHUNKED, b"1;" + b"a" * 4_000 + b"\r\nx\r\n"),
    "a trailer": (CHUNKED + b"0\r\nX-Trailer: ", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: value\r\n"),
}

TRICKLED: Final = {"a head": LINE, "a body": CHUNKED + b"ffff\r\n"}
TRICKLE_PAUSE_S: Final = 0.2


@given("the own interface before a plain service")
def own_interface(context: Any) -> None:
    """Start the store, a service and an instance."""
    bench = context.crowd_bench = Bench()
    context.add_cleanup(bench.close)
    bench.start_platform()
    bench.start_services("portal", 1)
    bench.start(1)
    assert bench.submit(Path("examples/both.policy").read_text(), ("north",)).status == 200
    bench.wait_ready(1)


@given("the own interface is restarted with {limit:d} descriptors")
def restarted_with_descriptors(context: Any, limit: int) -> None:
    """Restart the instance under a lower limit of descriptors."""
    with descriptor_limit(limit):
        restart(context, ())


@given('the own interface is restarted with "{flag}"')
def restarted_with_flag(context: Any, flag: str) -> None:
    """Restart the instance with another flag."""
    restart(context, (flag,))


def restart(context: Any, flags: tuple[str, ...]) -> None:
    """End the instance, and start it with more flags."""
    bench = context.crowd_bench
    process = bench.instances[0]
    process.popen.kill()
    process.popen.wait()
    process.popen.args = [*bench.command_of(process), *flags]
    bench.restart(process)
    bench.wait_listening(process)
    bench.wait_ready(1)


def start_crowd(context: Any, count: int, prefix: bytes, block: bytes, blocks: int) -> None:
    """Start a crowd at the callers' listener."""
    address = context.crowd_bench.instances[0].address
    context.crowd = Crowd(address, count, prefix, block, blocks)
    context.add_cleanup(context.crowd.close)


@when("{count:d} callers of the own interface each send {chunks:d} chunks of {size} and stop")
def send_chunks(context: Any, count: int, chunks: int, size: str) -> None:
    """Send bodies without their end."""
    block, blocks = repeated(chunk_of(SIZES[size]), chunks * len(chunk_of(SIZES[size])))
    start_crowd(context, count, CHUNKED, block, blocks)


@when("{count:d} callers of the own interface each send {size:d} MB of {kind}")
def send_endless(context: Any, count: int, size: int, kind: str) -> None:
    """Send heads or framing without end."""
    prefix, unit = ENDLESS[kind]
    block, blocks = repeated(unit, size * MB)
    start_crowd(context, count, prefix, block, blocks)


@when("{count:d} callers of the own interface connect and send nothing")
def connect_only(context: Any, count: int) -> None:
    """Open connections."""
    start_crowd(context, count, b"", b"", 0)
    context.crowd.join(SEND_WAIT_S)


@when("{count:d} callers of the own interface each trickle {part}")
def trickle(context: Any, count: int, part: str) -> None:
    """Send a byte of a head or of a body now and then."""
    start_crowd(context, count, TRICKLED[part], b"", 0)
    context.crowd.join(SEND_WAIT_S)
    context.crowd.keep_sending(b"x", TRICKLE_PAUSE_S)


@then("the own interface closes the connections of the crowd")
def closes_crowd(context: Any) -> None:
    """Wait until each connection has been closed by the process."""
    wait_until("all are closed", lambda: context.crowd.open_count == 0)


def chunk_of(size: int) -> bytes:
    """Return a chunk of so many bytes."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def call(context: Any, body: bytes) -> int:
    """Send a call to the service, and return its status."""
    address = context.crowd_bench.instances[0].address
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": ""}
    path = "/services/portal/x"
    with gevent.Timeout(CALL_TIMEOUT_S, AssertionError("the call was not answered")):
        exchange = Exchange.open(address, "POST", path, headers, body, CALL_TIMEOUT_S)
        exchange.read()
    return int(exchange.status)


@then("the own interface answers an ordinary call beside the crowd and after it")
def answers_beside(context: Any) -> None:
    """Send a call while the crowd sends, one while it holds on, and one after it."""
    process = context.crowd_bench.instances[0]
    assert call(context, b"{}") == 200
    context.crowd.join(SEND_WAIT_S)
    assert call(context, b"{}") == 200
    context.peak_descriptors = count_descriptors(process.popen.pid)
    context.crowd.close()
    assert call(context, b"{}") == 200
    assert process.is_running


@then("the own interface has used at most {memory:d} MB and {descriptors:d} descriptors")
def used_at_most(context: Any, memory: int, descriptors: int) -> None:
    """Check the peak memory, and the descriptors beside the crowd."""
    process = context.crowd_bench.instances[0]
    peak_mb = peak_memory_mb(process.popen.pid)
    print(f"peak {peak_mb:.0f} MB, {context.peak_descriptors} descriptors")
    assert peak_mb <= memory, f"{peak_mb:.0f} MB"
    assert context.peak_descriptors <= descriptors, context.peak_descriptors
    assert "Traceback" not in process.log.read_text()


@when("a caller of the own interface sends a whole body in {count:d} chunks of {size}")
def send_whole(context: Any, count: int, size: str) -> None:
    """Send a body with its end, and keep the head of the answer."""
    block, blocks = repeated(chunk_of(SIZES[size]), count * len(chunk_of(SIZES[size])))
    prefix = CHUNKED.replace(b"Host", b"Connection: close\r\nHost")
    address = context.crowd_bench.instances[0].address
    context.caller = Crowd(address, 1, prefix, block, blocks)
    context.add_cleanup(context.caller.close)
    context.caller.join(SEND_WAIT_S)


@then("the own interface answers that call")
def answers_whole(context: Any) -> None:
    """End the body and read the answer."""
    context.caller.send(b"0\r\n\r\n")
    received = context.caller.receive(CALL_TIMEOUT_S)
    assert received.startswith(b"HTTP/1.1 200 "), received[:200]
