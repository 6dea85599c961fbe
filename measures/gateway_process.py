"""Start and restart gateway processes with their settings files, for tests and the soak."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
from gevent.lock import Semaphore

from driftstall.exceptions import UpstreamError
from driftstall.util.http import Exchange
from measures.bench import free_port

CALL_TIMEOUT_S = 3.0


class GatewayProcess:
    """A gateway process; its addresses stay the same over a restart."""

    def __init__(
        self, name: str, number: int, store: str, folder: Path, settings: dict[str, Any]
    ) -> None:
        """Write the settings and start the process.

        Each number of a run has a loopback address of its own, as the port of the metrics is
        fixed.
        """
        self.name = name
        self.listen = {
            part: f"127.0.0.1:{free_port()}" for part in ("front", "ready", "directory", "control")
        }
        self.settings: dict[str, Any] = {
            "nodeName": name,
            "zone": "a",
            "ip": _loopback(number),
            "listen": self.listen,
            "platform": {"address": store},
            "seeds": [],
            "bootstrap": True,
        } | settings
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.write(self.settings)
        self._starting = Semaphore()
        self._has_started = False
        self.process = self._spawn()

    def write(self, settings: dict[str, Any]) -> None:
        """Write the settings file."""
        self.path.write_bytes(orjson.dumps(settings))

    def restart(self) -> None:
        """Wait for the process to end and restart it, unless another greenlet has done so."""
        ended = self.process
        # Without the lock two greenlets start the process twice, as both the wait for the end and
        # the start switch greenlets; the second process then finds its port in use.
        with self._starting:
            ended.wait()
            if self.process is ended:
                self.process = self._spawn()

    def start_beside(self) -> None:
        """Start the next process while the current one may still run."""
        self.process = self._spawn()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def get(self, part: str, path: str) -> tuple[int, bytes]:
        """Send a GET request to a listener; return status and body, or raise UpstreamError."""
        address = self.listen.get(part) or f"{self.settings['ip']}:9464"
        exchange = Exchange.open(address, "GET", path, {}, b"", CALL_TIMEOUT_S)
        body = exchange.read()
        return exchange.status, body

    def is_ready(self) -> bool:
        """Return True if the process reports itself as ready."""
        try:
            return self.get("ready", "/api/ready")[0] == 200
        except UpstreamError:
            return False

    def locate(self, host: str) -> set[str]:
        """Return the addresses to which the process resolves a host; empty on errors."""
        try:
            status, body = self.get("directory", f"/api/resolve?name={host}&zone=b")
        except UpstreamError:
            return set()
        return set(orjson.loads(body)["addresses"]) if status == 200 else set()

    def _spawn(self) -> subprocess.Popen[bytes]:
        """Start the process; a restart is no first start of the system."""
        if self._has_started:
            self._clear_bootstrap()
        self._has_started = True
        return self.launch()

    def _clear_bootstrap(self) -> None:
        """Write that the system has started before, unless the settings file is spoiled."""
        self.settings["bootstrap"] = False
        with suppress(FileNotFoundError, orjson.JSONDecodeError):
            self.write(orjson.loads(self.path.read_bytes()) | {"bootstrap": False})

    def launch(self) -> subprocess.Popen[bytes]:
        """Start the process with the settings file as it is, and its output in the log file."""
        with self.log.open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", "driftstall.platform"],
                env={
                    "PYTHONFAULTHANDLER": "1",
                    "DRIFTSTALL_CONFIG": str(self.path),
                    "PATH": "/usr/bin:/bin",
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )


def _loopback(number: int) -> str:
    """Return a loopback address that no other run on this machine uses."""
    run = os.getpid()
    return f"127.{run // 256 % 256}.{run % 256}.{1 + number}"
