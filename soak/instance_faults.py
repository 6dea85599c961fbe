"""Kill, stop, pause and start the instances' processes, and check what becomes of each process."""

from __future__ import annotations

import signal
import subprocess
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import gevent

from measures.gateway_process import GatewayProcess
from soak.ledger import STORE, Ledger, Window
from soak.plan import Kind, Step
from soak.stop_checks import GRACE_S

RESTORED_S: Final = 4.0
"""Time after a start for which the instance counts as disturbed."""
START_S: Final = 8.0
"""Time within which a restarted process is ready, on a machine that runs many others."""
END_SLACK_S: Final = 1.0
"""Time beyond the grace time after which a process that still runs has ignored its stop."""
POLL_S: Final = 0.05


@dataclass(slots=True, eq=False)
class WatchedProcess:
    """A process of an instance, and what the plan has done to it."""

    name: str
    process: subprocess.Popen[bytes]
    free_at: float
    """Time at which all that keeps it from starting is over."""
    is_stopped: bool = False
    is_killed: bool = False
    is_judged: bool = False

    @property
    def may_end(self) -> bool:
        """Return True if the plan has stopped or killed the process."""
        return self.is_stopped or self.is_killed


class InstanceFaults:
    """Faults of the instances' processes."""

    def __init__(
        self, instances: Sequence[GatewayProcess], ledger: Ledger, has_traffic: Callable[[], bool]
    ) -> None:
        """Watch the processes that the instances have now."""
        self._instances = instances
        self._ledger = ledger
        self._has_traffic = has_traffic
        # The run waits itself until the first processes, which start at once, are ready.
        self._watched = [WatchedProcess(each.name, each.process, 0.0) for each in instances]

    @property
    def handlers(self) -> dict[Kind, Callable[[Step], None]]:
        """Return the method that applies each kind of step."""
        return {
            Kind.KILL: self._kill,
            Kind.STOP: self._stop,
            Kind.PAUSE: self._pause,
            Kind.RELOAD: self._reload,
        }

    def close(self) -> None:
        """Kill all processes, also those whose successors have started beside them."""
        for watched in self._watched:
            if watched.process.poll() is None:
                watched.process.send_signal(signal.SIGCONT)
                watched.process.kill()
            watched.process.wait()

    def record_exits(self) -> None:
        """Record processes that have ended though the plan did not end them, or with a fault."""
        for watched in self._watched:
            code = watched.process.poll()
            if code is None or watched.is_judged:
                continue
            watched.is_judged = True
            if not watched.may_end:
                line = f"{watched.name} ended by itself with {code}"
                self._ledger.unexpected_exits.append(line)
            elif code != 0 and not watched.is_killed:
                line = f"{watched.name} was stopped and ended with {code}"
                self._ledger.unexpected_exits.append(line)

    def watch(self, instance: GatewayProcess, free_in_s: float = 0.0) -> None:
        """Expect the instance's new process to become ready after what keeps it from starting."""
        free_at = time.monotonic() + free_in_s
        watched = WatchedProcess(instance.name, instance.process, free_at)
        self._watched.append(watched)
        gevent.spawn(self._await_ready, instance, watched)

    def _await_ready(self, instance: GatewayProcess, watched: WatchedProcess) -> None:
        """Record a process that is not ready in time, unless the plan ends it meanwhile."""
        gevent.sleep(max(0.0, watched.free_at - time.monotonic()))
        while watched.process.poll() is None and not watched.may_end and self._has_traffic():
            if instance.is_ready():
                return
            calm_at = max((window.ends for window in self._ledger.disturbed[STORE]), default=0.0)
            if time.monotonic() > max(watched.free_at, calm_at) + START_S:
                line = f"{watched.name} was not ready {START_S:g} s after its start"
                self._ledger.not_ready.append(line)
                return
            gevent.sleep(POLL_S)

    def _watched_of(self, process: subprocess.Popen[bytes]) -> WatchedProcess:
        """Return the record of a process."""
        return next(watched for watched in self._watched if watched.process is process)

    def record_stop(self, name: str, for_s: float) -> Window:
        """Record that an instance does not run from now on, and return the time."""
        now = time.monotonic()
        window = Window(now, now + for_s)
        self._ledger.disturbed[name].append(window)
        self._ledger.stopped[name].append(window)
        return window

    def stop(self, instance: GatewayProcess) -> subprocess.Popen[bytes]:
        """Stop an instance as planned, and return the process that ends."""
        process = instance.process
        window = self.record_stop(instance.name, GRACE_S + RESTORED_S)
        if process.poll() is None and not self.is_stopped(process):
            self._ledger.planned_stops[instance.name].append(window)
        self.terminate(process)
        return process

    def kill(self, process: subprocess.Popen[bytes]) -> None:
        """Kill a process and wait for its end."""
        if process.poll() is None:
            self._watched_of(process).is_killed = True
            process.kill()
        process.wait()

    def terminate(self, process: subprocess.Popen[bytes]) -> None:
        """Send SIGTERM to a process if it still runs."""
        if process.poll() is None:
            self._watched_of(process).is_stopped = True
            process.send_signal(signal.SIGTERM)

    def is_stopped(self, process: subprocess.Popen[bytes]) -> bool:
        """Return True if the plan has sent SIGTERM to a process."""
        return self._watched_of(process).is_stopped

    def start_beside(self, instance: GatewayProcess, free_in_s: float) -> None:
        """Start an instance's successor while its process still ends."""
        instance.start_beside()
        self.watch(instance, free_in_s)

    def await_end(self, name: str, process: subprocess.Popen[bytes]) -> None:
        """Wait for the end of a stopped process; one that ignores the stop is recorded."""
        until = time.monotonic() + GRACE_S + END_SLACK_S
        while process.poll() is None and time.monotonic() < until:
            gevent.sleep(POLL_S)
        if process.poll() is None:
            self._ledger.unexpected_exits.append(f"{name} still ran after its grace time")
            self.kill(process)

    def restart(
        self, instance: GatewayProcess, process: subprocess.Popen[bytes], free_in_s: float = 0.0
    ) -> bool:
        """Kill a process if it still runs, and start its successor.

        Return False if an overlapping step has started one already, or the traffic has ended.
        """
        if instance.process is not process or not self._has_traffic():
            return False
        self.kill(process)
        instance.restart()
        if instance.process in [watched.process for watched in self._watched]:
            return False
        self.watch(instance, free_in_s)
        return True

    def _kill(self, step: Step) -> None:
        """Kill an instance and restart it later."""
        instance = self._instances[step.target]
        process = instance.process
        self.record_stop(instance.name, step.for_s + RESTORED_S)
        gevent.spawn(self.kill, process)
        gevent.spawn_later(step.for_s, self.restart, instance, process)

    def _stop(self, step: Step) -> None:
        """Stop an instance with SIGTERM, kill it after the grace time, and restart it."""
        instance = self._instances[step.target]
        process = self.stop(instance)
        gevent.spawn_later(GRACE_S, self.restart, instance, process)

    def _pause(self, step: Step) -> None:
        """Pause an instance with SIGSTOP, and resume it later."""
        instance = self._instances[step.target]
        self.record_stop(instance.name, step.for_s)
        instance.signal(signal.SIGSTOP)
        gevent.spawn_later(step.for_s, instance.signal, signal.SIGCONT)

    def _reload(self, step: Step) -> None:
        """Change an instance's settings file and have it reload the file."""
        instance = self._instances[step.target]
        instance.write(instance.settings | {"unknown": step.at_s})
        instance.signal(signal.SIGHUP)
