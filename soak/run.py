"""Play one seed: real gateway processes, traffic, the plan's steps, then the checks."""

from __future__ import annotations

import itertools
import random
import signal
import subprocess
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import gevent
import orjson

from driftstall.exceptions import PlatformUnavailable, UpstreamError
from driftstall.platform.names import KIND_CONFIG, KIND_CORDONS, KIND_INSTANCES, NAME_CONFIG
from driftstall.platform.store import Store
from features.worlds.gateway_world import HOST, document, route
from measures.bench import Bench, BenchError
from measures.gateway_process import GatewayProcess
from soak.caller import CallerConnection
from soak.checks import APPLY_S, COLD_RATE, CONTACT_S, CORDON_S, DRAIN_S, find_violations
from soak.fleet import EVENTS, FATAL, ZONES, UpstreamSlot
from soak.ledger import STORE, Ledger, RequestKind, SentRequest, UpstreamPeriod, Window
from soak.plan import Kind, Plan, Step, draw_steps
from soak.proxy import Proxy

GRACE_S: Final = 3.0
"""Time from SIGTERM to SIGKILL (graceS)."""
TIMEOUTS_S: Final = {RequestKind.STREAM: 6.0}
CALL_TIMEOUT_S: Final = 2.0
LOCATED_S: Final = 1.0
"""How long a caller keeps located addresses."""
PROBE_EVERY_S: Final = 0.4
READY_S: Final = 40.0
"""Time in which all instances are ready; they share few cores when they start at once."""
END_S: Final = 12.0
LINK_MBPS: Final = 100
PORTALS: Final = 2
ENGINES: Final = 3
REJECTED_PAUSE_S: Final = 0.05
COPY_EVERY_S: Final = 2.5
CHANGED: Final = 200
"""Revisions given out after each copy for what nobody here reads; they are given out again."""
LONGEST_AWAY_S: Final = 1.0
WRITTEN_AGAIN_S: Final = 1.0
"""Within this, operators and upstreams have written theirs again."""
UNSEEN_GAP_S: Final = 0.5
ENGINE_SERVICE: Final = "engines"
FATAL_CALLERS: Final = 2
"""Callers of requests that end each engine; each asks for one of its own."""
FATAL_FROM_S: Final = 3.0
"""By then ordinary streams have ended: these are all alike, and a good end tells them apart."""
FATAL_PAUSE_S: Final = (0.2, 1.2)


@dataclass(frozen=True, slots=True)
class Size:
    """Say how large a run is."""

    instances: int = 4
    callers: int = 12
    seconds: float = 20.0
    plan: Plan = Plan.MIXED


class Soak:
    """Play one seed."""

    def __init__(self, seed: int, size: Size) -> None:
        """Start the store, the upstreams and the instances."""
        self._seed = seed
        self._size = size
        self._source = random.Random(seed)
        self._numbers = itertools.count(1)
        self._version = 1
        self._acked: tuple[int, float] = (1, 0.0)
        self._cordons: set[str] = set()
        """The newest version that the store has acknowledged, and when."""
        self._traffic = True
        self.folder = Path(tempfile.mkdtemp(prefix=f"driftstall-soak-{seed}-"))
        self.ledger = Ledger(EVENTS)
        self._bench = Bench(self.folder)
        address = self._bench.start_platform().address
        self._store = Store(address)
        self._store.create(KIND_CONFIG, NAME_CONFIG, self._document())
        services = ["portal"] * PORTALS + ["engines"] * ENGINES
        self._fleet = [
            UpstreamSlot(place, service, self._store, self.ledger, self._source, size.plan)
            for place, service in enumerate(services, start=1)
        ]
        for one in self._fleet:
            one.all = [other for other in self._fleet if other.service == one.service]
            one.upstream.peers = {other.proxy.address: other.upstream for other in one.all}
        self._links = [Proxy(address) for _ in range(size.instances)]
        self._instances = [self._start(number) for number in range(1, size.instances + 1)]

    def close(self) -> None:
        """End all processes that this run has started."""
        for one in self._instances:
            one.signal(signal.SIGCONT)
            one.signal(signal.SIGKILL)
            one.process.wait()
        self._bench.close()
        for proxy in (*self._links, *(one.proxy for one in self._fleet)):
            proxy.stop()
        for listed in self._fleet:
            listed.upstream.stop()

    def play(self) -> list[str]:
        """Play the plan under traffic and return a line for each broken promise."""
        self._await_ready()
        jobs = [gevent.spawn(self._call, number) for number in range(self._size.callers)]
        jobs.append(gevent.spawn(self._probe))
        if self._size.plan is Plan.RETURNING:
            gevent.spawn(self._copy_store)
        if self._size.plan is Plan.CRASHING:
            jobs += [gevent.spawn(self._call_fatal, number) for number in range(FATAL_CALLERS)]
        began = time.monotonic()
        steps = draw_steps(
            self._seed,
            instances=self._size.instances,
            upstreams=len(self._fleet),
            seconds=self._size.seconds,
            plan=self._size.plan,
        )
        for step in steps:
            gevent.sleep(max(0.0, began + step.at_s - time.monotonic()))
            self._take(step)
        gevent.sleep(max(0.0, began + self._size.seconds - time.monotonic()))
        self._traffic = False
        gevent.joinall(jobs, timeout=END_S)
        self._look_at_ends()
        return find_violations(self.ledger)

    def _await_ready(self) -> None:
        """Wait until all instances are ready; the proxies here run meanwhile."""
        with gevent.Timeout(READY_S, BenchError("the instances do not become ready")):
            while not all(one.ready() for one in self._instances):
                gevent.sleep(REJECTED_PAUSE_S)

    def _start(self, number: int) -> GatewayProcess:
        """Start one instance."""
        seeds = [one.listen["control"] for one in getattr(self, "_instances", [])[:3]]
        bounds = {
            "graceS": GRACE_S,
            "ttl_max_s": LOCATED_S,
            "drainMs": DRAIN_S * 1000,
            "contactMs": CONTACT_S * 1000,
        }
        if self._size.plan is Plan.ZONES:
            bounds["evacuateMs"] = CORDON_S * 1000
        settings: dict[str, Any] = {
            "bounds": bounds,
            "seeds": seeds,
            "zone": ZONES[number % len(ZONES)],
            "limits": {"linkMbps": LINK_MBPS},
        }
        store = self._links[number - 1].address
        return GatewayProcess(f"instance-{number}", number, store, self.folder, settings)

    # Steps of the plan.

    def _take(self, step: Step) -> None:
        """Take one step; what ends later does so by itself."""
        doers: dict[Kind, Callable[[Step], None]] = {
            Kind.KILL: self._kill,
            Kind.STOP: self._stop,
            Kind.PAUSE: self._pause,
            Kind.RELOAD: self._reload,
            Kind.STORE_LINK: self._harm_store_link,
            Kind.UPSTREAM_LINK: self._harm_upstream_link,
            Kind.STORE_DOWN: lambda one: self._harm_store(one, {"down_s": one.for_s}),
            Kind.STORE_SILENT: lambda one: self._harm_store(
                one, {"down_s": one.for_s, "silent": True}
            ),
            Kind.STORE_SLOW: self._slow_store,
            Kind.STORE_FORGETS: lambda one: self._harm_store(one, {"forget": True}),
            Kind.STORE_LOSES: lambda one: self._harm_store(one, {"lose_answers": 2}),
            Kind.LEAVE: lambda one: self._change_fleet(one, "leave"),
            Kind.REMOVE: lambda one: self._change_fleet(one, "remove"),
            Kind.CRASH: lambda one: self._change_fleet(one, "crash"),
            Kind.BREAK_OFF: lambda one: self._fleet[one.target].break_off(one.for_s),
            Kind.CONFIGURE: lambda _: self._spawn(self._configure),
            Kind.CORDON: lambda one: self._spawn(self._cordon, one),
            Kind.START_AGAIN: lambda one: self._change_fleet(one, "start_again"),
            Kind.STORE_RETURNS: lambda one: self._spawn(self._return_store, one),
            Kind.LEAVE_UNSEEN: lambda one: self._spawn(self._leave_unseen, one),
            Kind.LIMIT: lambda one: self._spawn(self._fleet[one.target].limit, one.for_s),
            Kind.LEAVE_SIGNALLED: lambda one: self._spawn(
                self._fleet[one.target].leave_signalled, one.for_s
            ),
            Kind.REJECT: lambda one: self._spawn(self._fleet[one.target].reject, one.for_s),
            Kind.REJECT_ALL: self._reject_all,
            Kind.SILENCE: lambda _: self._silence(range(len(self._instances))),
            Kind.SILENCE_ONE: lambda one: self._silence([one.target]),
        }
        doers[step.kind](step)

    def _reject_all(self, step: Step) -> None:
        """Let all upstreams of a service reject requests."""
        for one in self._fleet[step.target].all:
            self._spawn(one.reject, step.for_s)

    @staticmethod
    def _spawn(work: Callable[..., None], *values: Any) -> None:
        """Let something go on beside the plan."""
        gevent.spawn(work, *values)

    def _disturb(self, name: str, for_s: float) -> None:
        """Note that something is disturbed from now on."""
        now = time.monotonic()
        self.ledger.disturb(name, now, now + for_s)

    def _halt(self, name: str, for_s: float) -> None:
        """Note that an instance does not run from now on."""
        self._disturb(name, for_s)
        now = time.monotonic()
        self.ledger.stopped[name].append(Window(now, now + for_s))

    def _kill(self, step: Step) -> None:
        """Kill an instance and start it again."""
        instance = self._instances[step.target]
        self._halt(instance.name, step.for_s + READY_S / 10)
        process = instance.process
        instance.signal(signal.SIGKILL)
        gevent.spawn_later(step.for_s, self._restart, instance, process)

    def _stop(self, step: Step) -> None:
        """Stop an instance as planned, kill it after the grace time, start it again."""
        instance = self._instances[step.target]
        self._halt(instance.name, GRACE_S + READY_S / 10)
        process = instance.process
        instance.signal(signal.SIGTERM)

        gevent.spawn_later(GRACE_S, self._restart, instance, process)

    def _restart(self, instance: GatewayProcess, process: subprocess.Popen[bytes]) -> None:
        """End a process that was told to, if it still runs, and start the instance again.

        An overlapping step may have done so already.
        """
        if instance.process is not process or not self._traffic:
            return
        if process.poll() is None:
            process.kill()
        instance.restart()

    def _pause(self, step: Step) -> None:
        """Let an instance stand still."""
        instance = self._instances[step.target]
        self._halt(instance.name, step.for_s)
        instance.signal(signal.SIGSTOP)
        gevent.spawn_later(step.for_s, instance.signal, signal.SIGCONT)

    def _reload(self, step: Step) -> None:
        """Change an instance's settings file and tell it."""
        instance = self._instances[step.target]
        changed = instance.settings | {"unknown": step.at_s}
        instance.write(changed)
        instance.signal(signal.SIGHUP)

    def _harm_store_link(self, step: Step) -> None:
        """Harm the link between an instance and the store."""
        self._disturb(self._instances[step.target].name, step.for_s)
        self._harm_proxy(self._links[step.target], step)

    def _silence(self, targets: Iterable[int]) -> None:
        """Let the open connections between some instances and the store fall silent for good."""
        for target in targets:
            self._disturb(self._instances[target].name, 0.0)
            self._links[target].silence_open()

    def _harm_upstream_link(self, step: Step) -> None:
        """Harm the links of all instances to an upstream."""
        listed = self._fleet[step.target]
        for instance in self._instances:
            self._disturb(instance.name, step.for_s)
        self._harm_proxy(listed.proxy, step)

    @staticmethod
    def _harm_proxy(proxy: Proxy, step: Step) -> None:
        """Harm a proxy for a while."""
        proxy.inject(step.fault)
        gevent.spawn_later(step.for_s, proxy.end_fault)

    def _harm_store(self, step: Step, script: dict[str, Any]) -> None:
        """Script a fault of the store."""
        self._disturb(STORE, step.for_s)
        assert self._bench.platform is not None
        self._spawn(self._bench.platform.control, script)

    def _slow_store(self, step: Step) -> None:
        """Slow the store for a while."""
        self._harm_store(step, {"slow_s": 0.3})
        assert self._bench.platform is not None
        gevent.spawn_later(step.for_s, self._bench.platform.control, {"slow_s": 0.0})

    def _copy_store(self) -> None:
        """Have the store take a copy again and again."""
        assert self._bench.platform is not None
        while self._traffic:
            script = {"copy": True, "without": KIND_INSTANCES, "changed_elsewhere": CHANGED}
            self._bench.platform.control(script)
            gevent.sleep(COPY_EVERY_S)

    def _return_store(self, step: Step) -> None:
        """Let the store come back from its copy, and have all but the instances write again."""
        assert self._bench.platform is not None
        away_s = min(step.for_s, LONGEST_AWAY_S)
        self._disturb(STORE, away_s + WRITTEN_AGAIN_S)
        self._bench.platform.control({"come_back": True, "down_s": away_s})
        gevent.sleep(away_s + WRITTEN_AGAIN_S / 2)
        for listed in self._fleet:
            self._spawn(listed.write_again)
        self._until_taken(lambda: self._store.replace(KIND_CONFIG, NAME_CONFIG, self._document()))

    def _change_fleet(self, step: Step, how: str) -> None:
        """Let an upstream go, in one of the ways; all of them may break its requests."""
        self._spawn(getattr(self._fleet[step.target], how))

    def _leave_unseen(self, step: Step) -> None:
        """Silence the store, and let all engines but one leave, one after another."""
        self._harm_store(step, {"down_s": step.for_s, "silent": True})
        engines = [one for one in self._fleet if one.service == ENGINE_SERVICE]
        first = step.target % len(engines)
        for number in range(1, len(engines)):
            gevent.sleep(UNSEEN_GAP_S)
            listed = engines[(first + number) % len(engines)]
            if listed.upstream.upstream_id not in self.ledger.leaving_reports:
                self._spawn(listed.leave_unseen)

    def _cordon(self, step: Step) -> None:
        """Cordon a zone for a while, unless it is."""
        zone = ZONES[step.target % len(ZONES)]
        if zone in self._cordons:
            return
        self._cordons.add(zone)
        self._until_taken(lambda: self._store.create(KIND_CORDONS, zone, {}))
        began = time.monotonic()
        gevent.sleep(step.for_s)
        window = Window(began, time.monotonic())
        # Those that have come meanwhile under other names are cordoned from their start on.
        ids = {one.upstream.upstream_id for one in self._fleet if one.zone == zone}
        self.ledger.cordoned += [UpstreamPeriod(one, window) for one in ids]
        self._until_taken(lambda: self._store.delete(KIND_CORDONS, zone))
        self._cordons.discard(zone)

    @staticmethod
    def _until_taken(write: Callable[[], object]) -> None:
        """Write again and again until the store has taken it."""
        while True:
            try:
                write()
                return
            except PlatformUnavailable:
                gevent.sleep(REJECTED_PAUSE_S)

    def _configure(self) -> None:
        """Store a configuration with one more route and without the last added one."""
        self._version += 1
        version = self._version
        while True:
            try:
                self._store.replace(KIND_CONFIG, NAME_CONFIG, self._document())
                break
            except PlatformUnavailable:
                gevent.sleep(REJECTED_PAUSE_S)
        if version > self._acked[0]:
            self._acked = (version, time.monotonic())

    def _document(self) -> dict[str, Any]:
        """Return the configuration of the newest version."""
        wanted = document(self._version)
        for one in wanted["routes"]:
            long = one["kind"] == "streaming"
            one["timeoutMs"] = (TIMEOUTS_S[RequestKind.STREAM] if long else CALL_TIMEOUT_S) * 1000
        if self._size.plan is Plan.ZONES:
            wanted["services"] = [one | {"coldPerS": COLD_RATE} for one in wanted["services"]]
        added = route("added", f"/added{self._version}/", "safe", "portal")
        wanted["routes"].append(added | {"timeoutMs": CALL_TIMEOUT_S * 1000})
        return wanted

    # Traffic.

    def _call(self, number: int) -> None:
        """Ask again and again as one caller."""
        source = random.Random(f"{self._seed}-{number}")
        connection = CallerConnection()
        located: list[GatewayProcess] = []
        located_at = float("-inf")
        while self._traffic:
            if time.monotonic() - located_at > LOCATED_S or not located:
                located = self._locate(source) or located
                located_at = time.monotonic()
            if not located:
                gevent.sleep(REJECTED_PAUSE_S)
                continue
            sort = source.choice(
                (RequestKind.SAFE, RequestKind.ONCE, RequestKind.ONCE, RequestKind.STREAM)
            )
            asked = self._ask(connection, source.choice(located), sort, f"/{sort}/x")
            gevent.sleep(source.uniform(0.0, 0.2) + (asked.status != 200) * REJECTED_PAUSE_S)
        connection.close()

    def _call_fatal(self, number: int) -> None:
        """Ask again and again for what ends each engine, at any instance, as one caller."""
        source = random.Random(f"{self._seed}-fatal-{number}")
        gevent.sleep(FATAL_FROM_S)
        while self._traffic:
            connection = CallerConnection()
            instance = source.choice(self._instances)
            self._ask(connection, instance, RequestKind.STREAM, f"{FATAL}-{number}")
            connection.close()
            gevent.sleep(source.uniform(*FATAL_PAUSE_S))

    def _locate(self, source: random.Random) -> list[GatewayProcess]:
        """Ask up to three instances which ones to use."""
        for one in source.sample(self._instances, min(3, len(self._instances))):
            try:
                zone = source.choice(ZONES)
                status, body = one.get("directory", f"/api/resolve?name={HOST}&zone={zone}")
            except UpstreamError:
                continue
            if status == 200:
                addresses = orjson.loads(body)["addresses"]
                return [one for one in self._instances if one.listen["front"] in addresses]
        return []

    def _ask(
        self, connection: CallerConnection, instance: GatewayProcess, sort: RequestKind, path: str
    ) -> SentRequest:
        """Send one request."""
        timeout_s = TIMEOUTS_S.get(sort, CALL_TIMEOUT_S)
        request_id = f"s{self._seed}-{next(self._numbers)}"
        asked = SentRequest(request_id, sort, path, instance.name, time.monotonic(), timeout_s)
        self.ledger.requests[request_id] = asked
        connection.send(instance.listen["front"], asked)
        return asked

    def _probe(self) -> None:
        """Ask each instance for routes that were added or dropped long enough ago."""
        while self._traffic:
            gevent.sleep(PROBE_EVERY_S)
            version, acked_at = self._acked
            due = time.monotonic() - acked_at > APPLY_S and version == self._version
            if not due or version == 1:
                continue
            jobs = [gevent.spawn(self._probe_one, one, version) for one in self._instances]
            gevent.joinall(jobs)

    def _probe_one(self, instance: GatewayProcess, version: int) -> None:
        """Ask one instance for the newest route and for the one dropped last."""
        for sort, number in ((RequestKind.ADDED, version), (RequestKind.DROPPED, version - 1)):
            if self._version != version:
                return
            connection = CallerConnection()
            self._ask(connection, instance, sort, f"/added{number}/x")
            connection.close()

    def _look_at_ends(self) -> None:
        """Note which processes have ended by themselves, or are not ready or not listed."""
        listed = {one.name for one in self._store.list(KIND_INSTANCES).objects}
        for one in self._instances:
            code = one.process.poll()
            expected = (None, 0, -signal.SIGKILL)
            if code not in expected:
                self.ledger.unexpected_exits.append(f"{one.name} ended by itself with {code}")
            elif not one.ready():
                self.ledger.not_ready.append(f"{one.name} is not ready at the end")
            elif code is None and one.name not in listed:
                self.ledger.not_ready.append(f"{one.name} is not listed at the end")
