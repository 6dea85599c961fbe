"""Run the queue for engine memory of several instances, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import gevent

from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.fleet_events import UpstreamsListed
from driftstall.gateway.model import Bounds, GatewaySettings
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.scheduling import queue_client, queue_service
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.scheduling.queue_messages import (
    HeldRun,
    MemoryGranted,
    MemoryRefused,
    QueueAsked,
    RunsReported,
)
from driftstall.gateway.state import GatewayState
from driftstall.helpers import tasks as tasks_module
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from driftstall.util import clock
from features.worlds.gateway_world import document, route, wait_for
from features.worlds.upstream_samples import upstream_of

FIRST: Final = "placer-1"
SECOND: Final = "placer-2"
MEMBER: Final = "member"
OTHER: Final = "other"
ENGINE: Final = "engine-1"
ENGINE_TOKENS: Final = 10_000
RUN_TOKENS: Final = 6_000
"""Size of a generation of which one fits on an engine."""

TIMEOUTS_S: Final = {"PLACEMENT_TIMEOUT_S": 0.3, "REPEAT_TIMEOUT_S": 0.3}
"""Longer than in operation: a busy machine must not make a placer seem silent that is not."""


@dataclass(frozen=True, slots=True)
class Sent:
    """A message that an instance has sent."""

    sender: str
    recipient: str
    message: Any


def queued_document(**engine: Any) -> dict[str, Any]:
    """Return a routing document in which short streams are ranked before long ones."""
    raw = document()
    raw["routes"].append(
        route("brief", "/brief/", "streaming", "engines", priority=0, timeoutMs=2000)
    )
    raw["services"][1]["engine"] = raw["services"][1]["engine"] | engine
    return raw


def held_run(request_id: str, tokens: int = RUN_TOKENS) -> HeldRun:
    """Return a run on the first engine that is reported."""
    return HeldRun(request_id, ENGINE, tokens, 0, 0, "", 0, 30.0, False)


def run_for_scenario(context: Any) -> None:
    """Let background tasks of queues end with the scenario, and set the timeouts of answers."""
    tasks: list[gevent.Greenlet] = []

    def keep_running(_: str, work: Callable[[], None]) -> gevent.Greenlet:
        tasks.append(gevent.spawn(work))
        return tasks[-1]

    for module in (queue_client, queue_service):
        context.add_cleanup(setattr, module, "keep_running", tasks_module.keep_running)
        setattr(module, "keep_running", keep_running)  # noqa: B010
    for name, timeout_s in TIMEOUTS_S.items():
        context.add_cleanup(setattr, queue_client, name, getattr(queue_client, name))
        setattr(queue_client, name, timeout_s)
    context.add_cleanup(gevent.killall, tasks)


class QueueWorld:
    """Two placers, a member, and a network that loses and delays messages."""

    def __init__(self) -> None:
        """Start the instances; the ledgers of both placers are complete."""
        self._ahead_s = 0.0
        self.roles = FleetRoles(is_large=True, placers=(FIRST, SECOND))
        self.sent: list[Sent] = []
        self.loses: Callable[[Sent], bool] = lambda _: False
        self.delays: Callable[[Sent], bool] = lambda _: False
        self._delayed: list[Sent] = []
        self.canceled: set[str] = set()
        self.outcomes: dict[str, gevent.Greenlet] = {}
        self.states: dict[str, GatewayState] = {}
        self.queues: dict[str, MemoryQueue] = {}
        for name in (FIRST, SECOND, MEMBER):
            self._add_instance(name)
        self.list_engines(ENGINE)
        self.report()
        self.pass_time(queue_service.TAKEOVER_S + 0.3)
        self.report()
        self.report(sender=MEMBER)

    def now(self) -> float:
        """Return the time of all instances."""
        return clock.now() + self._ahead_s

    def pass_time(self, seconds: float) -> None:
        """Advance the clock of all instances."""
        self._ahead_s += seconds

    def list_engines(self, *names: str) -> None:
        """List the engines at all instances."""
        for state in self.states.values():
            entries = tuple(upstream_of(name, len(names)) for name in names)
            state.fleet.handle(UpstreamsListed(entries), self.now())

    def report(self, *runs: HeldRun, sender: str = OTHER) -> None:
        """Report an instance's runs to both placers."""
        for name in (FIRST, SECOND):
            self.queues[name].handle(RunsReported(sender, "a", runs))

    def ask(self, request_id: str, tokens: int = RUN_TOKENS) -> None:
        """Ask for memory at the member, in another greenlet."""
        number = len(self.outcomes)
        asked = question(request_id, MEMBER, tokens, start_by_s=1.0 + number)
        self.outcomes[request_id] = gevent.spawn(
            self.states[MEMBER].acquire_memory, asked, lambda: request_id in self.canceled
        )

    def outcome(self, request_id: str) -> MemoryGranted | MemoryRefused | None:
        """Return what a question led to; fail if it leads to nothing in some seconds."""
        wait_for(f"an outcome of {request_id}", self.outcomes[request_id].ready)
        result: MemoryGranted | MemoryRefused | None = self.outcomes[request_id].get()
        return result

    def running(self, name: str) -> int:
        """Return the number of runs that a placer counts on the engine."""
        return len(self.queues[name].ledger.runs_on(ENGINE))

    def messages(self, kind: type, recipient: str = "", sender: str = "") -> list[Any]:
        """Return the messages of a kind, also those that were lost."""
        return [
            sent.message
            for sent in self.sent
            if isinstance(sent.message, kind)
            and recipient in ("", sent.recipient)
            and sender in ("", sent.sender)
        ]

    def deliver_delayed(self) -> None:
        """Deliver the messages that were delayed."""
        self.delays = lambda _: False
        delayed, self._delayed = self._delayed, []
        for sent in delayed:
            self.queues[sent.recipient].handle(sent.message)

    def _add_instance(self, name: str) -> None:
        """Start one instance."""
        nowhere = "127.0.0.1:1"
        listens: dict[str, Any] = dict.fromkeys(
            ("caller_listen", "ready_listen", "locate_listen", "peer_listen"), nowhere
        )
        settings = GatewaySettings(
            instance_id=name,
            zone="a",
            link_mbps=100,
            platform_address=nowhere,
            seeds=(),
            bounds=Bounds(),
            peer_key="peer key for tests only",
            is_first_start=True,
            metrics_listen=nowhere,
            **listens,
        )
        state = self.states[name] = GatewayState(settings, PlatformDialect(), default_policy())
        state.now = self.now  # type: ignore[method-assign]
        raw = queued_document(kvCacheTokens=ENGINE_TOKENS)
        state.route_table = RouteTable.from_document(read_routing(raw))

        def send(recipient: str, message: Any) -> None:
            self._send(Sent(name, recipient, message))

        self.queues[name] = MemoryQueue(
            state, roles=lambda: self.roles, send=send, placer_gate=state.cold_gate
        )
        self.queues[name].start()

    def _send(self, sent: Sent) -> None:
        """Deliver a message in another greenlet, or lose or delay it."""
        self.sent.append(sent)
        if self.loses(sent) or sent.recipient not in self.queues:
            return
        if self.delays(sent):
            self._delayed.append(sent)
        else:
            gevent.spawn(self.queues[sent.recipient].handle, sent.message)


def question(
    request_id: str, sender: str, tokens: int = RUN_TOKENS, start_by_s: float = 1.0
) -> QueueAsked:
    """Return a question for engine memory."""
    return QueueAsked(
        sender=sender,
        request_id=request_id,
        service="engines",
        workspace="north",
        rank=0,
        route_rank=0,
        share=1.0,
        prompt_tokens=tokens,
        output_tokens=0,
        hold_s=1.0,
        zone="a",
        avoid=(),
        wants_backup=False,
        waited_s=0.0,
        start_by_s=start_by_s,
        gives_up_s=60.0,
        may_refuse=True,
        ticket=request_id,
    )
