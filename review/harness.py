"""Stand-ins and process control for the cases of the second review.

Everything uses the standard library alone: the platform's object store, a plain runner, HTTP
clients on kept connections, and gateway processes started with the command of the deploy file.
All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "front.example"
SEAL = "X-Driftstall-Response-Seal"
REQUEST_ID = "X-Driftstall-Request-Id"
MAX_FDS = 4_100
GRACE_S = 8.0
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
BOUNDS: dict[str, Any] = {
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


class CouldNotRun(Exception):
    """Raised if the case cannot be set up on this machine."""


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line with the time since the start; print it as well."""
        line = f"{time.monotonic() - self._began_at:8.3f} s  {text}"
        print(line, file=self._file, flush=True)

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self(text)
        print(text, flush=True)


def allow_descriptors(count: int = MAX_FDS) -> None:
    """Let this process and its children open as many descriptors as a machine of the site."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CouldNotRun(f"the hard limit of descriptors is {hard}, {count} are needed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    import socket

    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


@dataclass(slots=True)
class Message:
    """A request or a response."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, *, is_response: bool = False) -> Message:
    """Read a message that is framed by a length or chunks; raise IncompleteReadError."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's object store: lists, watches and conditional writes."""

    def __init__(self) -> None:
        """Start empty."""
        self.address = ""
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a runner does; the return is the acknowledgement."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        made = known["metadata"]["made"] if known else self._revision
        metadata = {"name": name, "revision": self._revision, "made": made}
        metadata |= {"finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._note(kind, stored, gone=False)

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it existed."""
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return False
        self._revision += 1
        stored["metadata"]["revision"] = self._revision
        self._note(kind, stored, gone=True)
        return True

    def _note(self, kind: str, stored: dict[str, Any], *, gone: bool) -> None:
        """Add a change to the history and wake the watches."""
        copy = json.loads(json.dumps(stored))
        self._history.append((self._revision, kind, copy, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                call = await read_message(reader)
                status, value = await self._answer(call)
                body = json.dumps(value).encode()
                first = f"HTTP/1.1 {status} Status"
                writer.write(encode(first, {"Content-Type": "application/json"}, body))
                await writer.drain()
        writer.close()

    async def _answer(self, call: Message) -> tuple[int, Any]:
        """Return the status and the value of the answer to one call."""
        from urllib.parse import parse_qs, unquote

        method, target, _ = call.first.split(" ")
        path, _, raw_query = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(raw_query).items()}
        parts = [unquote(part) for part in path.removeprefix("/api/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        body = json.loads(call.body) if call.body else {}
        if method == "GET" and name:
            stored = self._objects.get((kind, name))
            return (200, stored) if stored else (404, None)
        if method == "GET" and "watch" in query:
            return 200, await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        if method == "GET":
            items = [stored for (each, _), stored in sorted(self._objects.items()) if each == kind]
            return 200, {"items": items, "more": False, "at": self._revision}
        name = name or body["metadata"]["name"]
        known = self._objects.get((kind, name))
        if method == "DELETE":
            return (200, None) if self.remove(kind, name) else (404, None)
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, None
        revision = body["metadata"].get("revision")
        if method == "PUT" and known and revision not in (None, known["metadata"]["revision"]):
            return 409, known
        self.put(kind, name, body["spec"])
        return 200, self._objects[kind, name]

    async def _watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any]:
        """Return the changes of a kind after a revision; wait for one."""
        until = time.monotonic() + wait_s
        while True:
            events = [
                {"gone": gone, "object": stored}
                for revision, each, stored, gone in self._history
                if each == kind and revision > after
            ]
            remaining_s = until - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)


class Runner:
    """A runner of a plain service that runs each request once and answers it whole."""

    def __init__(self, name: str, service: str, record: Record, work_s: float = 0.02) -> None:
        """Initialize a runner with its id, service and the duration of its work."""
        self.name, self.service = name, service
        self.address = ""
        self.runs: list[str] = []
        self.work_s = work_s
        self._record = record

    async def start(self, store: Store, **more: Any) -> None:
        """Listen, and write the entry in the store."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        spec = {"service": self.service, "address": self.address, "zone": "zone-a"}
        spec |= {"version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 1}
        store.put("servers", self.name, spec | more)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                call = await read_message(reader)
                writer.write(await self._respond(call))
                await writer.drain()
        writer.close()

    async def _respond(self, call: Message) -> bytes:
        """Run one request and return its response."""
        expected = call.headers.get("x-driftstall-expect-instance", self.name)
        request_id = call.headers.get(REQUEST_ID.lower(), "")
        headers = {REQUEST_ID: request_id, "X-Driftstall-Instance-Id": self.name}
        if expected != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", headers, b"")
        if " /health " in call.first:
            return encode("HTTP/1.1 200 OK", headers, b"")
        self.runs.append(request_id)
        self._record(f"runner {self.name} runs {request_id} ({len(call.body)} bytes)")
        await asyncio.sleep(self.work_s)
        headers[SEAL] = f"seal-{request_id}"
        return encode("HTTP/1.1 200 OK", headers, f"answer to {request_id}".encode())


def configuration(
    version: int, routes: list[dict[str, Any]], limits: dict[str, int] | None = None
) -> dict[str, Any]:
    """Return a configuration with plain services."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 442} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        | (limits or {}),
    }


def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route."""
    fields = {"name": f"r{prefix.replace('/', '-')}", "hostname": HOST, "pathPrefix": prefix}
    fields |= {"kind": kind, "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2}
    return fields | {"service": service, "maxAttempts": 2, "allowAnonymous": True} | more


@dataclass(slots=True)
class Gateway:
    """A gateway process of the deploy file, with a settings file like the platform's."""

    name: str
    number: int
    store: str
    folder: Path
    seeds: list[str] = field(default_factory=list)
    memory_mb: int = 150
    bootstrap: bool = True
    process: subprocess.Popen[bytes] | None = None
    listen: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Choose addresses, which stay the same over a restart."""
        run = os.getpid()
        ip = f"127.{run // 250 % 250 + 1}.{run % 250 + 1}.{self.number + 1}"
        self.ip = ip
        self.listen = {
            part: f"{ip}:{free_port(ip)}" for part in ("front", "ready", "control", "directory")
        }

    ip: str = ""

    def start(self) -> None:
        """Write the settings file and start the process."""
        settings = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory", "control"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": self.listen,
            "portRange": [7200, 7215],
            "seeds": self.seeds,
            "bootstrap": self.bootstrap,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": self.memory_mb,
                "maxFds": MAX_FDS,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": self.store, "form": "objects"},
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        self.bootstrap = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environ = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environ |= {
            "DRIFTSTALL_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environ, stdout=output, stderr=subprocess.STDOUT
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return True if the process reports that it is ready."""
        try:
            response = await fetch(self.listen["ready"], "GET", "/api/ready", {}, b"", 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response.status == 200

    async def resolve(self) -> list[str]:
        """Return the addresses that the process names to clients; empty without an answer."""
        target = f"/api/resolve?name={HOST}&region=region-a&zone=zone-a"
        try:
            response = await fetch(self.listen["directory"], "GET", target, {}, b"", 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return []
        return list(json.loads(response.body)["addresses"]) if response.status == 200 else []


async def open_connection(
    address: str, timeout_s: float = 1.0
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection; raises OSError or TimeoutError."""
    ip, _, port = address.rpartition(":")
    return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout_s)


async def fetch(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Message:
    """Send one request on a connection of its own."""
    reader, writer = await open_connection(address, timeout_s)
    try:
        writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": HOST, **headers}, body))
        return await asyncio.wait_for(read_message(reader, is_response=True), timeout_s)
    finally:
        writer.close()


def new_request_id() -> str:
    """Return an id for a client attempt."""
    return uuid.uuid4().hex[:16]


async def wait_until(check: Callable[[], Awaitable[bool]], timeout_s: float, what: str) -> None:
    """Wait until a check holds; raise CouldNotRun after the timeout."""
    until = time.monotonic() + timeout_s
    while not await check():
        if time.monotonic() > until:
            raise CouldNotRun(f"{what} took over {timeout_s} s")
        await asyncio.sleep(0.05)


def run_case(folder: Path, play: Callable[[Record, Path, bool], Awaitable[int]]) -> None:
    """Play a case with its record, and exit with its code; TROUBLE=0 leaves out the trouble."""
    record = Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"with the disruption: {is_troubled}")
    try:
        allow_descriptors()
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(asyncio.wait_for(play(record, Path(temporary), is_troubled), 115))
    except CouldNotRun as reason:
        record.say(f"could not run: {reason}")
        code = EXIT_COULD_NOT_RUN
    except TimeoutError:
        record.say("could not run: it took too long")
        code = EXIT_COULD_NOT_RUN
    # Connections that are still open would each print an error at the end of the interpreter.
    sys.stdout.flush()
    os._exit(code)
