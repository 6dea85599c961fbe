"""Stand-ins of the review: the platform's store, runners, clients, and a launcher of gateways.

They use the standard library alone and run inside the process of a case; the gateways are separate
processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "portal.example"
ZONE = "regina-hall"
SECRET = "key-of-tenant-one"
SEAL = "X-Driftstall-Response-Seal"
HELD, BROKEN, COULD_NOT_RUN = 0, 3, 2
"""Exit codes of a case's program; run.sh turns BROKEN into 1, which any failure of Python gives."""
REQUEST_ID = "X-Driftstall-Request-Id"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "strictRevocation": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 56,
    "recoverS": 12,
    "pass_ms": 120,
    "again_s": 5.4,
    "ttl_max_s": 5,
}
"""The bounds of the site enrol-desk."""


class CaseFault(Exception):
    """The case could not run."""


class Record:
    """Collect what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Start the clock; the lines are written to the path at the end."""
        self._path = path
        self._began = time.monotonic()
        self._lines: list[str] = []

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now:8.3f}  {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass(slots=True)
class Message:
    """An HTTP request or the head and body of a response."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = False
    """Whether the body is complete by its framing."""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(
    reader: asyncio.StreamReader, message: Message, on_piece: Callable[[bytes], None]
) -> None:
    """Read a body by its framing, and set whether it is whole."""
    headers = message.headers
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    message.is_whole = True
                    return
                on_piece(data[:-2])
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(min(left, 65_536))
                if not data:
                    return
                left -= len(data)
                on_piece(data)
            message.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return


def encode(first: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Encode a message; without a body its length is not stated."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        """Start empty."""
        self.address = ""
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 7
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any, *, gone: bool = False) -> dict[str, Any]:
        """Write or remove an object, and wake the watches."""
        known = self._objects.get((kind, name))
        self._revision += 1
        made = known["metadata"]["made"] if known else self._revision
        metadata = {"name": name, "revision": self._revision, "made": made}
        value = {
            "metadata": metadata | {"finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        if gone:
            self._objects.pop((kind, name), None)
        else:
            self._objects[(kind, name)] = value
        self._history.append((self._revision, kind, value, gone))
        self._changed.set()
        self._changed = asyncio.Event()
        return value

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (call := await read_head(reader)) is not None:
                parts: list[bytes] = []
                await read_body(reader, call, parts.append)
                status, value = await self._answer(call.first, b"".join(parts))
                head = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} S", head, json.dumps(value).encode()))
                await writer.drain()
                if call.headers.get("connection") == "close":
                    break
        writer.close()

    async def _answer(self, first: str, raw: bytes) -> tuple[int, Any]:
        """Return the status and the value that answer a call."""
        method, target, _ = first.split()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, _, kind, *rest = [unquote(part) for part in url.path.split("/")]
        name = rest[0] if rest else ""
        if method == "GET":
            return await self._read(kind, name, query)
        body = json.loads(raw) if raw else {}
        name = name or body["metadata"]["name"]
        known = self._objects.get((kind, name))
        if method == "POST" and known:
            return 409, known
        if method != "POST" and not known:
            return 404, {}
        wanted = body.get("metadata", {}).get("revision") or query.get("revision")
        if known and wanted and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if method == "PUT" and known and known["spec"] == body.get("spec"):
            return 200, known
        return 200, self.put(kind, name, body.get("spec"), gone=method == "DELETE")

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        """Answer a read: one object, a list or a watch."""
        if name:
            known = self._objects.get((kind, name))
            return (200, known) if known else (404, {})
        if "watch" not in query:
            items = [value for (each, _), value in sorted(self._objects.items()) if each == kind]
            return 200, {"items": items, "more": False, "at": self._revision}
        until, after = time.monotonic() + int(query["waitMs"]) / 1000, int(query["watch"])
        while True:
            events = [
                {"object": value, "gone": gone}
                for revision, each, value, gone in self._history
                if each == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


@dataclass(slots=True)
class Arrival:
    """A request that reached a runner."""

    request_id: str
    at: float
    headers: dict[str, str]
    target: str
    ended: str = "running"


Work = Callable[["Runner", Message, Arrival, asyncio.StreamWriter], Awaitable[None]]


class Runner:
    """A runner: records what reaches it, and serves it with the given work."""

    def __init__(self, name: str, service: str, record: Record, work: Work) -> None:
        """Initialize with the runner's id, which stands in its entry, and its service."""
        self.name, self.service, self.work = name, service, work
        self.address = ""
        self.arrivals: list[Arrival] = []
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def spec(self, state: str = "ready", **more: Any) -> dict[str, Any]:
        """Return the runner's entry in the store."""
        fields: dict[str, Any] = {"service": self.service, "address": self.address, "zone": ZONE}
        fields |= {"version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0, "seq": 1}
        return fields | more

    async def end(self) -> None:
        """End the runner: it stops listening, and its connections are closed."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: requests one after the other."""
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (call := await read_head(reader)) is not None:
                parts: list[bytes] = []
                await read_body(reader, call, parts.append)
                call.body = b"".join(parts)
                await self._answer(call, reader, writer)
                if call.headers.get("connection") == "close":
                    break
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request; its work ends when its connection closes."""
        method, target, _ = call.first.split()
        if target.startswith(("/health", "/api/")):
            await self.answer_system(method, target, call, writer)
            return
        request_id = call.headers.get(REQUEST_ID.lower(), "")
        if call.headers.get("x-driftstall-expect-instance", self.name) != self.name:
            writer.write(encode("HTTP/1.1 421 M", {REQUEST_ID: request_id}))
            return
        arrival = Arrival(request_id, self._record.now, call.headers, target)
        self.arrivals.append(arrival)
        self._record.add(f"runner {self.name} runs {request_id}")
        work = asyncio.ensure_future(self.work(self, call, arrival, writer))
        gone = asyncio.ensure_future(_wait_closed(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            gone.cancel()
            arrival.ended = "answered"
        else:
            work.cancel()
            arrival.ended = "dropped, as its connection was closed"
        self._record.add(f"runner {self.name} ends {request_id}: {arrival.ended}")

    async def answer_system(
        self, method: str, target: str, call: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the system's own calls."""
        if target.startswith("/health"):
            writer.write(encode("HTTP/1.1 200 O", {"X-Driftstall-Instance-Id": self.name}))
        elif target == "/api/report":
            models = [{"name": "m", "version": 1, "adapters": []}]
            report: dict[str, Any] = {"stage": "combined", "models": models}
            report |= {"busy": False, "seq": 1, "queued": 0, "running": 0, "kvUsed": 0}
            report |= {"kvTotal": 34545, "handles": 0, "state": "ready", "runs": []}
            head = {"Content-Type": "application/json"}
            writer.write(encode("HTTP/1.1 200 O", head, json.dumps(report).encode()))
        else:
            writer.write(encode("HTTP/1.1 404 N", {}))
        await writer.drain()


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Wait for the end of a connection, or for further bytes on it."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


def stream_work(first_s: float, events: int, gap_s: float) -> Work:
    """Return work that streams events: the first one after a time, the others with pauses."""

    async def work(
        runner: Runner, call: Message, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        headers = {REQUEST_ID: arrival.request_id, SEAL: f"seal.{arrival.request_id}"}
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        for number in range(1, events + 1):
            await asyncio.sleep(first_s if number == 1 else gap_s)
            if number == 1:
                writer.write(encode("HTTP/1.1 200 OK", headers, None))
            event = f"id: {number}\ndata: piece {number} of {arrival.request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return work


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    _numbers = itertools.count(1)

    def __init__(self, name: str, store: str, folder: Path, seeds: list[str]) -> None:
        """Choose a loopback address of its own, and write the settings."""
        self.name, self._folder = name, folder
        self.ip = _free_ip()
        self.control = f"{self.ip}:8748"
        self.front = f"{self.ip}:8740"
        self.directory = f"{self.ip}:8746"
        self.ready = f"{self.ip}:8749"
        self.settings: dict[str, Any] = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory", "control"],
            "ip": self.ip,
            "zone": ZONE,
            "region": "prairie-west",
            "zones": {ZONE: "prairie-west"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
                "directory": self.directory,
            },
            "portRange": [7200, 7215],
            "seeds": [*seeds, self.control],
            "bootstrap": True,
            "limits": {"cores": 2, "memoryMb": 150, "maxFds": 4100, "linkMbps": 1000.0},
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "objects", "historyS": 20},
        }
        self._process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    def start(self) -> None:
        """Start the process."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        environ = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environ |= {
            "PYTHONDONTWRITEBYTECODE": "1",
            "DRIFTSTALL_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environ, stdout=output, stderr=output
            )
        self.settings["bootstrap"] = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return True if the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of the process; minus the number of the signal that ended it."""
        return self._process.poll() if self._process is not None else None

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the process reports itself as ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            answer = await call(self.ready, "GET", "/api/ready", {}, timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseFault(f"{self.name} is not ready")


@dataclass(slots=True)
class Answer:
    """What a client saw of one request; status zero: no head of an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    end: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
    on_piece: Callable[[bytes], None] = lambda _: None,
) -> Answer:
    """Send one request on a connection of its own, and return what was seen."""
    answer = Answer(sent_at=time.monotonic())
    parts: list[bytes] = []

    def collect(data: bytes) -> None:
        parts.append(data)
        on_piece(data)

    async def exchange() -> None:
        host, port = address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": HOST, **headers}, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.end = "closed without an answer"
                return
            answer.status, answer.headers = head.status, head.headers
            await read_body(reader, head, collect)
            answer.is_whole = head.is_whole
            answer.end = "whole" if head.is_whole else "closed within the answer"
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except TimeoutError:
        answer.end = "the client's time is over"
    except OSError as fault:
        answer.end = f"no connection: {type(fault).__name__}"
    answer.body, answer.ended_at = b"".join(parts), time.monotonic()
    return answer


_ids = itertools.count(1)


def new_id() -> str:
    """Return a new id of a client attempt."""
    return f"{random.SystemRandom().getrandbits(32):08x}{next(_ids):08x}"


async def attempt(
    record: Record,
    address: str,
    method: str,
    path: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    on_piece: Callable[[bytes], None] = lambda _: None,
) -> tuple[str, Answer]:
    """Send one client attempt, and record it and its answer."""
    request_id = new_id()
    own = {
        REQUEST_ID: request_id,
        "X-Driftstall-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {SECRET}",
    }
    record.add(f"client sends {request_id} {method} {path} to {address}")
    body = b"" if method == "GET" else b"body of " + request_id.encode()
    timeout_s = deadline_ms / 1000
    answer = await call(address, method, path, own | (headers or {}), body, timeout_s, on_piece)
    record.add(f"client gets for {request_id}: {answer.status or 'no answer'}, {answer.end}")
    return request_id, answer


def config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration, as the operator writes it to config/main."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [SECRET], "priority": 1}],
    }


def route(name: str, kind: str, service: str, timeout_ms: int, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration, below the path of its name."""
    fields: dict[str, Any] = {"name": name, "hostname": HOST, "pathPrefix": f"/{name}/"}
    fields["kind"] = kind
    fields |= {"timeoutMs": timeout_ms, "targetLatencyMs": 400, "priority": 2, "service": service}
    fields |= {"maxAttempts": 2, "allowAnonymous": False, "sticky": False, "streamResume": False}
    return fields | more


def plain_service(name: str) -> dict[str, Any]:
    """Return a service without engines."""
    return {"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1"}


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model engines, with the figures of the site enrol-desk."""
    engine: dict[str, Any] = {
        "slots": 64,
        "kvCacheTokens": 34545,
        "kvTokenBytes": 18432,
        "linkMbps": 2700.0,
    }
    engine |= {"moves": True, "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0}
    engine |= {"holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}
    return plain_service(name) | {"maxConnections": 442, "engine": engine}


def _free_ip() -> str:
    """Return a loopback address at which nothing listens."""
    source = random.SystemRandom()
    while True:
        ip = f"127.{source.randint(20, 250)}.{source.randint(1, 250)}.{source.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
            return ip


class Case:
    """A running case: its store, gateways and folder, which end with it."""

    def __init__(self, folder: Path) -> None:
        """Initialize for the folder of the case, to which the record is written."""
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.gateways: list[Gateway] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))

    def add_gateway(self, name: str, store: str = "") -> Gateway:
        """Start a gateway that knows the earlier ones as seeds."""
        if not (ROOT / "target/deps").is_dir():
            raise CaseFault("target/deps is missing: run the build of deploy/system.toml first")
        seeds = [gateway.control for gateway in self.gateways][:2]
        gateway = Gateway(name, store or self.store.address, self._folder, seeds)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def log_of(self, gateway: Gateway) -> str:
        """Return what a gateway has written."""
        return gateway.log.read_text(errors="replace")

    def close(self) -> None:
        """End all gateways, write the record and remove the temporary folder."""
        for gateway in self.gateways:
            gateway.end()
        self.record.write()
        if os.environ.get("KEEP"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], Awaitable[bool]], limit_s: float = 110.0) -> int:
    """Play a case; return BROKEN if the rule was broken, HELD if it held, else COULD_NOT_RUN."""

    async def guarded() -> int:
        case = Case(folder)
        try:
            await case.store.start()
            return BROKEN if await asyncio.wait_for(play(case), limit_s) else HELD
        except Exception as fault:
            case.record.add(f"the case could not run: {fault!r}")
            return COULD_NOT_RUN
        finally:
            case.close()

    return asyncio.run(guarded())
