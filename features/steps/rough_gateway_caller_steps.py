"""Let crowds of callers that do not behave use real gateway processes."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.platform.names import KIND_CONFIG, NAME_CONFIG
from features.steps.gateway_node_steps import start_node, wait_for_processes
from features.worlds.gateway_world import document, read_response, request_bytes
from stand_ins.routed import Script

MIB: Final = 1 << 20
LIMITS: Final = {
    "maxHeaderBytes": 12_288,
    "maxBodyBytes": 4 * MIB,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
PIECE: Final = 65_536
ENOUGH_REPEATS: Final = 64
"""Input without end is repeated at least so often unless the connection is closed."""
GET: Final = b"GET /api/resolve?name=desk.example&zone=a HTTP/1.1\r\nHost: a\r\n"
TARGET: Final = b"GET /api/resolve?name="
CROWD_WAIT_S: Final = 40.0


def chunked_head() -> bytes:
    """Return the head of a request whose body is sent in chunks."""
    whole = request_bytes("/once/a", "crowd", Content_Length="", Transfer_Encoding="chunked")
    return whole.removesuffix(b"body")


def chunks(size: int, total: int) -> bytes:
    """Return body bytes in chunks of one size; the end is missing."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size) * (total // size)


def open_head() -> bytes:
    """Return a request whose head is not complete."""
    return chunked_head().removesuffix(b"\r\n")


CROWDS: Final = {
    "bodies in large chunks": lambda: (chunked_head() + chunks(PIECE, 4 * MIB - PIECE), b""),
    "bodies in chunks of two bytes": lambda: (chunked_head() + chunks(2, MIB // 4), b""),
    "bodies in chunks of one byte": lambda: (chunked_head() + chunks(1, MIB // 2), b""),
    "a header value without end": lambda: (open_head() + b"X-Long: ", b"x" * PIECE),
    "a header name without end": lambda: (open_head() + b"X-Long", b"x" * PIECE),
    "header lines without end": lambda: (open_head(), b"a:\r\n" * (PIECE // 4)),
    "a target without end": lambda: (b"GET /", b"x" * PIECE),
    "a trailer without end": lambda: (chunked_head() + b"0\r\nX-Long: ", b"x" * PIECE),
    "a chunk extension without end": lambda: (chunked_head() + b"4;x=", b"x" * PIECE),
    "empty lines without end": lambda: (b"", b"\r\n" * (PIECE // 2)),
    "pipelined requests without end": lambda: (b"", request_bytes("/none/a", "", Connection="")),
    "nothing at all": lambda: (b"", b""),
    "a directory's header without end": lambda: (GET + b"X-Long: ", b"x" * PIECE),
    "a readiness header without end": lambda: (GET + b"X-Long: ", b"x" * PIECE),
    "requests for the directory in vain": lambda: (TARGET, b""),
}
"""What a caller sends first, and what it then repeats without end."""


@dataclass(slots=True)
class Crowd:
    """Callers that send to one listener and read nothing."""

    address: tuple[str, int]
    connections: list[socket.socket] = field(default_factory=list)
    senders: list[gevent.Greenlet] = field(default_factory=list)
    waiting: int = 0
    """Callers that have not sent enough yet, and whose connections are open."""

    def add(self, first: bytes, repeated: bytes) -> None:
        """Add one caller, for whom the kernel holds little that it has not read."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        connection.settimeout(CROWD_WAIT_S)
        connection.connect(self.address)
        self.connections.append(connection)
        self.waiting += 1
        self.senders.append(gevent.spawn(self._send, connection, first, repeated))

    def close(self) -> None:
        """Close all connections."""
        gevent.killall(self.senders)
        for connection in self.connections:
            connection.close()

    def _send(self, connection: socket.socket, first: bytes, repeated: bytes) -> None:
        """Send until the connection is closed."""
        try:
            self._send_enough(connection, first, repeated)
        except OSError:
            return
        finally:
            self.waiting -= 1
        while repeated:
            try:
                connection.sendall(repeated)
            except OSError:
                return

    def _send_enough(self, connection: socket.socket, first: bytes, repeated: bytes) -> None:
        """Send the first bytes, and the repeated ones until they are enough."""
        connection.sendall(first)
        for _ in range(ENOUGH_REPEATS if repeated else 0):
            connection.sendall(repeated)


@given("the stored limits of requests are those of a calm day")
def store_limits(context: Any) -> None:
    """Store the limits that the platform names by default."""
    newer = document(9, limits=LIMITS)
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None
    context.request_ids = (f"rough-{number}" for number in itertools.count())


@given("a gateway process with {memory:d} MB of memory and {descriptors:d} descriptors")
def start_limited(context: Any, memory: int, descriptors: int) -> None:
    """Start a process with the limits of its machine, and wait until it is ready."""
    context.machine = {"memoryMb": memory, "maxFds": descriptors}
    start_node(context, context.store_address, limits=context.machine)
    wait_for_processes("it is ready", context.nodes[0].is_ready)


def start_crowd(context: Any, listener: str) -> Crowd:
    """Return a crowd without callers at a listener."""
    host, port = context.nodes[0].listen[listener].split(":")
    context.crowd = Crowd((host, int(port)))
    context.add_cleanup(context.crowd.close)
    return context.crowd


@when('{count:d} callers at the "{listener}" listener send {kind}')
def send_crowd(context: Any, count: int, listener: str, kind: str) -> None:
    """Wait until each caller has sent enough or lost its connection."""
    crowd = start_crowd(context, listener)
    first, repeated = CROWDS[kind]()
    for _ in range(count):
        crowd.add(first, repeated)
    with gevent.Timeout(CROWD_WAIT_S, AssertionError("input is neither read nor refused")):
        while crowd.waiting:
            gevent.sleep(0.01)


@when("{count:d} callers ask for answers of {size:d} MiB and do not read them")
def ask_for_large_answers(context: Any, count: int, size: int) -> None:
    """Wait until each request has been answered by its upstream, or was refused."""
    crowd = start_crowd(context, "front")
    large = Script(body=b"x" * (size * MIB))
    ids = {f"large-{number}" for number in range(count)}
    for request_id in ids:
        for upstream in context.upstreams:
            upstream.scripts[request_id] = [large.with_new_events()]
        crowd.add(request_bytes("/once/a", request_id), b"")
    wait_for_processes(
        "the requests have run or were refused",
        lambda: unanswered(context, ids) <= count_closed(crowd.connections),
    )
    # The instance holds most once it has read the answers, or has refused to read on.
    wait_for_processes(
        "the answers are sent", lambda: not any(each.in_progress for each in context.upstreams)
    )


def unanswered(context: Any, ids: set[str]) -> int:
    """Return how many of the requests have reached no upstream."""
    return len(ids - {seen.request_id for each in context.upstreams for seen in each.seen})


def count_closed(connections: list[socket.socket]) -> int:
    """Return how many connections have got a refusal or an end."""
    return sum(bool(is_refused(connection)) for connection in connections)


def is_refused(connection: socket.socket) -> bool:
    """Return True if the first bytes are no success, without reading them."""
    try:
        first = connection._sock.recv(12, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not first.startswith(b"HTTP/1.1 200"[: len(first)]) or not first


def ask(context: Any) -> None:
    """Send an ordinary call and check its answer."""
    answer = context.nodes[0].ask("/once/a", next(context.request_ids))
    assert (answer.status, answer.body) == (200, b"whole"), answer


@then("an ordinary call is answered beside them")
def answered_beside(context: Any) -> None:
    """Send a call while the crowd's connections are open."""
    ask(context)


@then("an ordinary call is answered after them")
def answered_after(context: Any) -> None:
    """Send a call after the crowd has left."""
    context.crowd.close()
    ask(context)


@then("the process has stayed within its memory and descriptors")
def within_limits(context: Any) -> None:
    """Check the largest resident memory and the open descriptors of the running process."""
    node = context.nodes[0]
    assert node.process.poll() is None, node.log.read_text()[-500:]
    proc = Path(f"/proc/{node.process.pid}")
    lines = dict(line.split(":", 1) for line in (proc / "status").read_text().splitlines())
    peak_mb = int(lines["VmHWM"].split()[0]) / 1024
    descriptors = len(list((proc / "fd").iterdir()))
    if context.config.userdata.getbool("peaks"):
        print(f"PEAK {context.scenario.name}: {peak_mb:.0f} MB")
    assert peak_mb < context.machine["memoryMb"], f"peak of {peak_mb:.0f} MB"
    assert descriptors < context.machine["maxFds"], f"{descriptors} descriptors"


def pieces_of(form: str) -> Iterator[bytes]:
    """Return the largest body in one of the forms."""
    size = LIMITS["maxBodyBytes"]
    if form == "one piece":
        yield b"x" * size
        return
    length = PIECE if form == "chunks of 64 KiB" else 100
    yield chunks(length, size)
    rest = size % length
    yield (chunks(rest, rest) if rest else b"") + b"0\r\n\r\n"


@when("one caller sends the largest head, and the largest body in {form}")
def send_largest(context: Any, form: str) -> None:
    """Send a request that reaches both limits, apart from the first line of its head."""
    size = LIMITS["maxBodyBytes"]
    coding = (
        {"Content_Length": str(size)}
        if form == "one piece"
        else {"Content_Length": "", "Transfer_Encoding": "chunked"}
    )
    shortest = request_bytes("/once/a", "largest", X_Fill="x", **coding)
    fill = "x" * (LIMITS["maxHeaderBytes"] - len(shortest))
    head = request_bytes("/once/a", "largest", X_Fill=fill, **coding).removesuffix(b"body")
    crowd = start_crowd(context, "front")
    crowd.add(head + b"".join(pieces_of(form)), b"")


@then("its call is answered")
def call_answered(context: Any) -> None:
    """Read the answer of the only caller."""
    answer = read_response(context.crowd.connections[0])
    assert (answer.status, answer.body) == (200, b"whole"), answer


@when('one caller at the "{listener}" listener sends the target "{target}"')
def send_target(context: Any, listener: str, target: str) -> None:
    """Send a request with a target, and wait for the end of its connection."""
    crowd = start_crowd(context, listener)
    crowd.add(f"GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode(), b"")
    read_response(crowd.connections[0])


@then("the log has no traceback")
def no_traceback(context: Any) -> None:
    """Check that the error was handled."""
    assert "Traceback" not in context.nodes[0].log.read_text()
