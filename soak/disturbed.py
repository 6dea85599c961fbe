"""Disturb the starts of instances, their settings files, and the store with odd entries."""

from __future__ import annotations

import random
import signal
import subprocess
import time
from collections.abc import Callable, Sequence
from contextlib import closing, suppress
from functools import partial
from pathlib import Path
from typing import Any, Final

import gevent
import orjson
from gevent import socket

from driftstall.exceptions import PlatformUnavailable
from driftstall.platform.names import (
    KIND_CORDONS,
    KIND_CRASHES,
    KIND_INSTANCES,
    KIND_UPSTREAMS,
)
from driftstall.platform.store import Store
from driftstall.util.addresses import split_address
from features.worlds.odd_contents import CONTENTS
from features.worlds.upstream_samples import entry_spec
from measures.gateway_process import GatewayProcess
from soak.fleet import UpstreamSlot
from soak.instance_faults import RESTORED_S, InstanceFaults
from soak.ledger import STORE, Ledger
from soak.plan import Kind, Step
from soak.stop_checks import GRACE_S

SIGNALS_IN_START_S: Final = 1.2
"""Range of the signals after the interpreter's own start; most starts have ended by then."""
MAX_SIGNALS: Final = 6
STOP_SHARE: Final = 0.3
"""Share of the signals that are stops."""
METRICS_PORT: Final = 9464
FIRST_MODULE: Final = "/gevent/"
"""Package with a native library that a process loads soon after the interpreter has started."""
LOAD_POLL_S: Final = 0.005
RETRY_S: Final = 0.1
ODD_KINDS: Final = (*[KIND_UPSTREAMS] * 3, KIND_INSTANCES, KIND_CORDONS, KIND_CRASHES)
ODD_SERVICE: Final = "elsewhere"
"""Service of odd entries, which no route uses: some of them are valid."""


class DisturbedStarts:
    """Faults around the starts of instances."""

    def __init__(
        self,
        instances: Sequence[GatewayProcess],
        faults: InstanceFaults,
        ledger: Ledger,
        store: Store,
        control: Callable[[dict[str, Any]], None],
        slots: Sequence[UpstreamSlot],
        seed: int,
    ) -> None:
        """Initialize; control sends a control message to the store's stand-in."""
        self._instances = instances
        self._faults = faults
        self._ledger = ledger
        self._store = store
        self._control = control
        self._slots = slots
        self._seed = seed
        self._spoiled: set[str] = set()

    @property
    def handlers(self) -> dict[Kind, Callable[[Step], None]]:
        """Return the method that applies each kind of step."""
        methods: dict[Kind, Callable[[Step, random.Random], None]] = {
            Kind.SIGNAL_START: self._signal_start,
            Kind.HOLD_ADDRESS: self._hold_address,
            Kind.RESTART_BESIDE: self._restart_beside,
            Kind.SPOIL_START: self._spoil_start,
            Kind.SPOIL_SETTINGS: self._spoil_settings,
            Kind.LATE_STORE: self._delay_store,
            Kind.ODD_ENTRY: self._store_odd_entry,
        }
        return {kind: partial(self._begin, method) for kind, method in methods.items()}

    def _begin(self, method: Callable[[Step, random.Random], None], step: Step) -> None:
        """Run a step in the background with a random source of its own."""
        gevent.spawn(method, step, random.Random(f"{self._seed}-{step.kind}-{step.at_s}"))

    def _kill(self, step: Step, for_s: float) -> tuple[GatewayProcess, subprocess.Popen[bytes]]:
        """Kill an instance that is started again within the given time."""
        instance = self._instances[step.target]
        process = instance.process
        self._faults.record_stop(instance.name, for_s + RESTORED_S)
        self._faults.kill(process)
        return instance, process

    def _signal_start(self, step: Step, source: random.Random) -> None:
        """Send reloads and stops to an instance that starts, and start it again if it ends.

        The interpreter's own start is left out: no program can handle signals then.
        """
        instance, process = self._kill(step, SIGNALS_IN_START_S + GRACE_S)
        if not self._faults.restart(instance, process):
            return
        process = instance.process
        mapped = Path(f"/proc/{process.pid}/maps")
        while process.poll() is None and FIRST_MODULE not in mapped.read_text():
            gevent.sleep(LOAD_POLL_S)
        count = source.randint(1, MAX_SIGNALS)
        moments = sorted(source.uniform(0.0, SIGNALS_IN_START_S) for _ in range(count))
        has_stop = source.random() < STOP_SHARE * 2
        began = time.monotonic()
        for moment in moments:
            gevent.sleep(max(0.0, began + moment - time.monotonic()))
            if has_stop and source.random() < STOP_SHARE:
                self._faults.terminate(process)
            elif process.poll() is None:
                process.send_signal(signal.SIGHUP)
        if self._faults.is_stopped(process):
            self._faults.await_end(instance.name, process)
        if process.poll() is not None:
            self._faults.restart(instance, process)

    def _hold_address(self, step: Step, source: random.Random) -> None:
        """Hold one of an instance's addresses while it starts."""
        instance, process = self._kill(step, step.for_s)
        addresses = [*instance.listen.values(), f"{instance.settings['ip']}:{METRICS_PORT}"]
        with closing(socket.socket()) as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                # An overlapping step may hold the address, or have started the instance already.
                holder.bind(split_address(source.choice(addresses)))
                holder.listen(1)
            self._faults.restart(instance, process, step.for_s)
            gevent.sleep(step.for_s)

    def _restart_beside(self, step: Step, _: random.Random) -> None:
        """Stop an instance, and start its successor while it still ends."""
        instance = self._instances[step.target]
        if instance.process.poll() is not None:
            return
        process = self._faults.stop(instance)
        self._faults.start_beside(instance, GRACE_S)
        self._faults.await_end(instance.name, process)

    def _spoil_start(self, step: Step, source: random.Random) -> None:
        """Start an instance while its settings file is spoiled."""
        instance = self._instances[step.target]
        if instance.name in self._spoiled:
            return
        _, process = self._kill(step, step.for_s)
        self._spoil(instance, source)
        self._faults.restart(instance, process, step.for_s)
        gevent.sleep(step.for_s)
        self._restore(instance)

    def _spoil_settings(self, step: Step, source: random.Random) -> None:
        """Spoil the settings file of a running instance, and request reloads meanwhile."""
        instance = self._instances[step.target]
        if instance.name in self._spoiled:
            return
        self._spoil(instance, source)
        if source.random() < 0.5:
            instance.signal(signal.SIGHUP)
        gevent.sleep(step.for_s)
        self._restore(instance)
        instance.signal(signal.SIGHUP)

    def _spoil(self, instance: GatewayProcess, source: random.Random) -> None:
        """Remove, empty or cut a settings file."""
        self._spoiled.add(instance.name)
        whole = orjson.dumps(instance.settings)
        cut = source.choice((None, 0, source.randrange(1, len(whole))))
        if cut is None:
            instance.path.unlink(missing_ok=True)
        else:
            instance.path.write_bytes(whole[:cut])

    def _restore(self, instance: GatewayProcess) -> None:
        """Write a whole settings file again."""
        instance.write(instance.settings)
        self._spoiled.discard(instance.name)

    def _delay_store(self, step: Step, source: random.Random) -> None:
        """Start an instance while the store is down."""
        instance, process = self._kill(step, step.for_s)
        now = time.monotonic()
        self._ledger.disturb(STORE, now, now + step.for_s)
        self._control({"down_s": step.for_s, "silent": source.random() < 0.5})
        self._faults.restart(instance, process, step.for_s)

    def _store_odd_entry(self, step: Step, source: random.Random) -> None:
        """Store an entry that decoders reject, replace an upstream, and remove the entry later."""
        kind, content = source.choice(ODD_KINDS), source.choice(sorted(CONTENTS))
        field, text = CONTENTS[content]
        marker = f"raw-{step.at_s:.3f}"
        name = f"{source.choice('az')}-{marker}"
        spec = entry_spec("127.0.0.1:9", ODD_SERVICE) | {"peer_address": "127.0.0.1:9"}
        self._control({"raw": {marker: text}})
        self._retry(lambda: self._store.create(kind, name, spec | {field: marker}))
        gevent.spawn(source.choice(self._slots).leave)
        gevent.sleep(step.for_s)
        self._retry(lambda: self._store.delete(kind, name))

    @staticmethod
    def _retry(write: Callable[[], object]) -> None:
        """Call write until the store has taken it."""
        while True:
            try:
                write()
                return
            except PlatformUnavailable:
                gevent.sleep(RETRY_S)
