"""Start stand-ins and instances as local processes, for demos, tests and measurements."""

from __future__ import annotations

import hashlib
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any, Final

from gevent import socket

from driftstall.cli.client import Answer, call_json
from driftstall.exceptions import DriftstallError, UpstreamError
from driftstall.platform.names import KIND_INSTANCES, KIND_UPSTREAMS
from driftstall.platform.store import Store

OPERATOR_TOKEN: Final = "operator-token-of-the-bench"
PEER_KEY: Final = "peer-key-of-the-bench"
ZONES: Final = ("zone-a", "zone-b", "zone-c")
WAIT_S: Final = 20.0


class BenchError(DriftstallError):
    """The bench could not reach a state in time."""


FIRST_PORT: Final = 20_000
"""First of the ports of the bench, which are below the range of outgoing connections."""
SLICE_PORTS: Final = 500
SLICES: Final = 20
LOCK_PORT: Final = 19_000
"""First of the UDP ports that lock the slices: a run binds the port of its slice, so that no other
run on the machine takes ports from it."""

_claimed: list[socket.socket] = []


def _claim_slice() -> Iterator[int]:
    """Lock a random slice for this process and return an endless iterator over its ports."""
    for index in random.SystemRandom().sample(range(SLICES), SLICES):
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind(("127.0.0.1", LOCK_PORT + index))
        except OSError:
            lock.close()
            continue
        _claimed.append(lock)
        first = FIRST_PORT + index * SLICE_PORTS
        return itertools.cycle(range(first, first + SLICE_PORTS))
    raise BenchError("other runs on this machine hold all ports")


@cache
def _ports() -> Iterator[int]:
    """Return the iterator over this process's ports; the first call locks the slice."""
    return _claim_slice()


def free_port() -> int:
    """Return a free port that no other run on this machine uses."""
    while True:
        port = next(_ports())
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port


def workspace_key(name: str) -> str:
    """Return the API key of a bench workspace."""
    return f"key-of-{name}"


def wait_until(what: str, check: Callable[[], bool], timeout_s: float = WAIT_S) -> float:
    """Wait for a condition and return the seconds it took; raise BenchError after timeout_s."""
    begin = time.monotonic()
    while time.monotonic() - begin < timeout_s:
        try:
            if check():
                return time.monotonic() - begin
        except UpstreamError:
            pass
        time.sleep(0.02)
    raise BenchError(f"not reached in {timeout_s:g} s: {what}")


@dataclass(slots=True)
class Process:
    """A started process and its addresses."""

    name: str
    address: str
    popen: subprocess.Popen[bytes]
    log: Path
    operator: str = ""
    zone: str = ""

    @property
    def is_running(self) -> bool:
        """Return True if the process is running."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def control(self, script: dict[str, Any]) -> None:
        """Send a control message, for example to inject faults, to a stand-in."""
        call_json(self.address, "POST", "/control", "", script)

    def stats(self) -> dict[str, Any]:
        """Return a stand-in's statistics."""
        value: dict[str, Any] = call_json(self.address, "GET", "/control/stats", "").value
        return value


@dataclass(slots=True)
class Bench:
    """A small complete system: the platform, engines, plain services and instances."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="driftstall-")))
    platform: Process | None = None
    engines: list[Process] = field(default_factory=list)
    services: list[Process] = field(default_factory=list)
    instances: list[Process] = field(default_factory=list)
    runners: list[dict[str, Any]] = field(default_factory=list)
    traces: bool = False
    """Whether each instance records a trace in the folder."""

    def __enter__(self) -> Bench:
        """Return the bench."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes."""
        self.close()

    def close(self) -> None:
        """Kill all processes and wait until they have ended."""
        for process in self._processes():
            if process.is_running:
                process.signal(signal.SIGCONT)
                process.popen.kill()
        for process in self._processes():
            process.popen.wait()

    def _processes(self) -> list[Process]:
        """Return all processes."""
        platform = [self.platform] if self.platform else []
        return [*platform, *self.engines, *self.services, *self.instances]

    def _spawn(self, name: str, address: str, module: str, *flags: str) -> Process:
        """Start a process, with its output in a log file."""
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", module, *flags]
        environment = {name: text for name, text in os.environ.items() if "DRIFTSTALL" not in name}
        with log.open("ab") as output:
            popen = subprocess.Popen(command, stdout=output, stderr=output, env=environment)
        return Process(name, address, popen, log)

    def command_of(self, process: Process) -> tuple[str, ...]:
        """Return the command line of a process."""
        assert isinstance(process.popen.args, list)
        return tuple(str(part) for part in process.popen.args)

    def restart(self, process: Process) -> None:
        """Start a process that has ended again, with the same flags."""
        with process.log.open("ab") as output:
            process.popen = subprocess.Popen(self.command_of(process), stdout=output, stderr=output)

    def start_platform(self) -> Process:
        """Start the platform stand-in and wait until it listens."""
        port = free_port()
        self.platform = self._spawn(
            "platform", f"127.0.0.1:{port}", "stand_ins.platform", f"--port={port}"
        )
        self.wait_listening(self.platform)
        return self.platform

    def start_engines(
        self, count: int, *, model: str = "base", memory: int = 48_000, flags: tuple[str, ...] = ()
    ) -> None:
        """Start engine stand-ins, distributed over the zones."""
        for _ in range(count):
            index = len(self.engines)
            port, name = free_port(), f"engine-{index + 1}"
            options = (f"--port={port}", f"--id={name}", f"--memory={memory}", f"--model={model}")
            address = f"127.0.0.1:{port}"
            process = self._spawn(name, address, "stand_ins.engine", *options, *flags)
            self.engines.append(process)
            self.runners.append(
                {
                    "runner_id": name,
                    "address": address,
                    "zone": ZONES[index % len(ZONES)],
                    "model": model,
                    "memory_tokens": memory,
                    "checks_fences": "--no-fences" not in flags,
                }
            )

    def start_services(self, service: str, count: int) -> None:
        """Start stand-ins of a plain service, distributed over the zones."""
        for index in range(count):
            port, name = free_port(), f"{service}-{index + 1}"
            address = f"127.0.0.1:{port}"
            flags = (f"--port={port}", f"--name={name}")
            self.services.append(self._spawn(name, address, "stand_ins.service", *flags))
            zone = ZONES[index % len(ZONES)]
            row = {"runner_id": name, "address": address, "zone": zone, "service": service}
            self.runners.append(row)

    def start_instance(self, *flags: str) -> Process:
        """Start another instance and add it to the platform's list."""
        assert self.platform is not None
        index = len(self.instances)
        name, zone = f"instance-{index + 1}", ZONES[index % len(ZONES)]
        listen, peer, operator = (f"127.0.0.1:{free_port()}" for _ in range(3))
        process = self._spawn(
            name,
            listen,
            "driftstall",
            f"--instance-id={name}",
            f"--zone={zone}",
            f"--listen={listen}",
            f"--peer-listen={peer}",
            f"--operator-listen={operator}",
            f"--platform={self.platform.address}",
            f"--operator-token={OPERATOR_TOKEN}",
            f"--peer-key={PEER_KEY}",
            "--locate-keep=2",
            *([f"--trace={self.folder}/{name}.trace"] if self.traces else []),
            *flags,
        )
        process.operator, process.zone = operator, zone
        self.instances.append(process)
        row = {"role": "entry", "address": listen, "peer_address": peer, "zone": zone}
        self.list_member(name, row | {"state": "live"})
        return process

    def list_member(self, name: str, row: dict[str, Any]) -> None:
        """Update an entry of the platform's list; the state is live, leaving or gone."""
        assert self.platform is not None
        kind = KIND_INSTANCES if row["role"] == "entry" else KIND_UPSTREAMS
        store = Store(self.platform.address)
        if row["state"] == "gone":
            store.delete(kind, name)
            return
        state = "draining" if row["state"] == "leaving" else "ready"
        spec = row | {"state": state, "service": row.get("service", "")}
        if store.replace(kind, name, spec) is None:
            store.create(kind, name, spec)

    def wait_listening(self, process: Process) -> None:
        """Wait until a process accepts connections; raise BenchError if it ends before."""

        def is_listening() -> bool:
            if not process.is_running:
                raise BenchError(f"{process.name} has ended:\n{process.log.read_text()[-2000:]}")
            host, port = process.address.split(":")
            with socket.socket() as probe:
                return bool(probe.connect_ex((host, int(port))) == 0)

        wait_until(f"{process.name} listens", is_listening)

    def start(self, instances: int) -> None:
        """Start instances and wait until all processes listen."""
        for _ in range(instances):
            self.start_instance()
        for process in self._processes():
            self.wait_listening(process)

    def submit(self, policy: str, workspaces: tuple[str, ...], at: int = 0) -> Answer:
        """Submit a complete configuration through an instance."""
        rows = [
            {"name": name, "key_sha256": hashlib.sha256(workspace_key(name).encode()).hexdigest()}
            for name in workspaces
        ]
        change = {"policy": policy, "workspaces": rows, "runners": self.runners}
        return self.operator(at, "PUT", "/operator/config", change)

    def operator(self, at: int, method: str, path: str, value: Any = None) -> Answer:
        """Call the operator API of an instance."""
        return call_json(self.instances[at].operator, method, path, OPERATOR_TOKEN, value)

    def status(self, at: int) -> dict[str, Any]:
        """Return the operator status of an instance."""
        value: dict[str, Any] = self.operator(at, "GET", "/operator/status").value
        return value

    def wait_ready(self, members: int) -> None:
        """Wait until all running instances are ready and know so many members."""
        for index, instance in enumerate(self.instances):
            if not instance.is_running:
                continue

            def is_ready(at: int = index) -> bool:
                status = self.status(at)
                return bool(status["ready"]) and len(status["instances"]) >= members

            wait_until(f"{instance.name} is ready", is_ready)
