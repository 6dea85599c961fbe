"""A runner leaves while a machine is partitioned from the store."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BOUNDS,
    EXIT_BROKEN,
    EXIT_HELD,
    REQUEST_ID,
    SEAL,
    CouldNotRun,
    Gateway,
    Message,
    Record,
    Runner,
    Store,
    configuration,
    fetch,
    new_request_id,
    route,
    run_case,
    wait_until,
)

DEPLOYMENTS, ROUNDS = 4, 4
"""Deployments of one machine each, which know nothing of each other, and cuts of each."""
CUT_S = 5.5
LEAVES_BEFORE_END_S = 2.0
SERVES_ON_S = 8.0
"""A leaving runner serves on for drainMs and a little longer, at times many seconds."""
CALM_S = 3.5
DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000
REQUESTS_PER_S = 25.0
DEADLINE_S = 3.0


class Link:
    """The link between the machine and the store, which can be cut without a sign."""

    def __init__(self, target: str) -> None:
        ip, _, port = target.rpartition(":")
        self._target = (ip, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1)
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._is_up = asyncio.Event()
        self._is_up.set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting = asyncio.create_task(self._accept())

    def cut(self) -> None:
        """Pass nothing on; packets that open connections are lost, as the queue is full."""
        self._is_up.clear()
        self._accepting.cancel()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def heal(self) -> None:
        """Pass everything on again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._is_up.set()
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        """Accept connections while the link is up."""
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            task = asyncio.create_task(self._pass_on(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, connection: socket.socket) -> None:
        """Pass the bytes of one connection on, both ways."""
        with contextlib.suppress(OSError):
            near = await asyncio.open_connection(sock=connection)
            far = await asyncio.open_connection(*self._target)
            await asyncio.gather(self._copy(near[0], far[1]), self._copy(far[0], near[1]))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copy bytes one way; hold them while the link is cut."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._is_up.wait()
                writer.write(data)
                await writer.drain()
        await self._is_up.wait()
        writer.close()


class TimedRunner(Runner):
    """A runner that records when each request reaches it."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__(name, service, record)
        self.arrived: dict[str, float] = {}

    async def _respond(self, call: Message) -> bytes:
        """Run one request and return its response."""
        request_id = call.headers.get(REQUEST_ID.lower(), "")
        if request_id:
            self.arrived[request_id] = time.monotonic()
        return await super()._respond(call)


class Traffic:
    """Clients of a route; each request has a connection of its own."""

    def __init__(self, address: str, record: Record) -> None:
        self._address, self._record = address, record
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: dict[str, float] = {}
        self.served = 0

    async def run(self) -> None:
        """Send requests at a steady rate."""
        while True:
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def _send(self) -> None:
        """Send one request."""
        request_id = new_request_id()
        headers = {REQUEST_ID: request_id, "X-Driftstall-Deadline-Ms": "3000"}
        self.sent[request_id] = time.monotonic()
        try:
            response = await fetch(self._address, "POST", "/post/1", headers, b"x", DEADLINE_S)
            answer = f"status {response.status}"
            self.served += response.status == 200 and SEAL.lower() in response.headers
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer = f"no answer ({type(error).__name__})"
        self._record(f"{request_id}: {answer}")


class Deployment:
    """A machine with a store, runners and clients of its own."""

    def __init__(self, number: int, record: Record, folder: Path) -> None:
        self.number, self._record = number, record
        self.store = Store()
        self.gateway = Gateway(f"front-{number}", number, "", folder)
        self._link: Link | None = None
        self.clients: Traffic | None = None
        self._traffic: asyncio.Task[None] | None = None
        self.late = 0

    async def start(self) -> None:
        """Start everything, and the requests."""
        await self.store.start()
        self._link = Link(self.store.address)
        for number in range(2):
            await TimedRunner(f"i-stays-{number}", "portal", self._record).start(self.store)
        routes = [route("/post/", "unsafe", "portal")]
        self.store.put("config", "main", configuration(1, routes))
        self.gateway.store = self._link.address
        self.gateway.start()
        await wait_until(self.gateway.is_ready, 20.0, f"the start of {self.gateway.name}")
        self.clients = Traffic(self.gateway.listen["front"], self._record)
        self._traffic = asyncio.create_task(self.clients.run())

    def stop(self) -> None:
        """Stop the requests and the process."""
        if self._traffic is not None:
            self._traffic.cancel()
        self.gateway.kill()

    async def run(self, is_troubled: bool) -> None:
        """Let a runner leave in each round, with the partition around it."""
        assert self._link is not None and self.clients is not None
        await asyncio.sleep(CALM_S * self.number / DEPLOYMENTS)
        for number in range(ROUNDS):
            name = f"i-{self.number}-leaves-{number}"
            where = f"machine {self.number}, round {number}"
            leaver = TimedRunner(name, "portal", self._record)
            await leaver.start(self.store)
            await asyncio.sleep(CALM_S)
            if is_troubled:
                self._link.cut()
                self._record(f"{where}: the machine is partitioned from the store")
            await asyncio.sleep(CUT_S - LEAVES_BEFORE_END_S)
            self.store.remove("servers", name)
            removed_at = time.monotonic()
            self._record(f"{where}: the store has accepted the removal of {name}")
            await asyncio.sleep(LEAVES_BEFORE_END_S)
            healed_at = time.monotonic()
            if is_troubled:
                self._link.heal()
                self._record(f"{where}: the partition ends")
            await asyncio.sleep(SERVES_ON_S - LEAVES_BEFORE_END_S)
            in_touch_from = healed_at + CONTACT_S if is_troubled else removed_at
            late = [
                arrived_at
                for request_id, arrived_at in leaver.arrived.items()
                if arrived_at > removed_at + DRAIN_S
                and self.clients.sent.get(request_id, 0.0) >= in_touch_from
            ]
            last_s = max(leaver.arrived.values(), default=removed_at) - healed_at
            self.late += len(late)
            self._record.say(
                f"{where}: the last request reached {name} {last_s:+.2f} s from the partition's"
                f" end; {len(late)} came later than drainMs after its removal and taken in touch"
            )


async def play(record: Record, folder: Path, is_troubled: bool) -> int:
    """Play the case."""
    deployments = [Deployment(number, record, folder) for number in range(DEPLOYMENTS)]
    try:
        for deployment in deployments:
            await deployment.start()
        await asyncio.gather(*(deployment.run(is_troubled) for deployment in deployments))
        clients = [each.clients for each in deployments if each.clients is not None]
        sent = sum(len(each.sent) for each in clients)
        served = sum(each.served for each in clients)
        record.say(f"{served} of {sent} requests were served")
        if served < sent / 2:
            raise CouldNotRun("the system did not serve")
        late = sum(deployment.late for deployment in deployments)
        record.say(f"{late} requests reached a runner too late")
        return EXIT_BROKEN if late else EXIT_HELD
    finally:
        for deployment in deployments:
            deployment.stop()


run_case(FOLDER, play)
