"""Client and helpers for tests of a small system of real processes."""

from __future__ import annotations

import itertools
import re
from typing import Any

import gevent

from driftstall.cli.client import Caller, ChatEnd, ChatPart
from driftstall.util.http import Exchange
from measures.bench import Bench, wait_until, workspace_key

TOKEN = re.compile(r"(\S+)#(\d+) ")
KEY = workspace_key("north")
NUMBERS = itertools.count()


def running_instances(bench: Bench) -> list[Any]:
    """Return the running instances."""
    return [instance for instance in bench.instances if instance.is_running]


class GenerationReader:
    """Reads a streamed generation in a greenlet."""

    def __init__(self, bench: Bench, length: int, kind: str = "chat") -> None:
        """Start a generation of length tokens."""
        seeds = tuple(instance.address for instance in running_instances(bench))
        self.caller = Caller(seeds, KEY)
        self.text = ""
        self.end: ChatEnd | None = None
        self.length = length
        content = f"please number {next(NUMBERS)} [length={length}]"
        body = {
            "model": "base",
            "max_tokens": 4_000,
            "messages": [{"role": "user", "content": content}],
        }
        self.job = gevent.spawn(self._read, body, kind)

    def _read(self, body: dict[str, Any], kind: str) -> None:
        for part in self.caller.chat(body, kind):
            if isinstance(part, ChatPart):
                self.text += part.text
            else:
                self.end = part

    def wait_started(self) -> None:
        """Wait for the first tokens."""
        wait_until("the answer has begun", lambda: self.text.count("#") >= 5)

    def check(self) -> None:
        """Wait for the end; check that each token arrived once, in order, from one generation."""
        self.job.join(timeout=60)
        assert self.end is not None, "there is no end"
        assert self.end.problem is None, self.end.problem
        tokens = TOKEN.findall(self.text)
        assert len({name for name, _ in tokens}) == 1, "generations are mixed"
        assert [int(index) for _, index in tokens] == list(range(self.length)), "not whole"


def service_call(context: Any, method: str, key: str, **more: str) -> tuple[int, bytes]:
    """Call a plain service through the first running instance; return status and body."""
    headers = {"Authorization": f"Bearer {KEY}", "X-Call-Id": more.pop("call", key)}
    if key:
        headers["Idempotency-Key"] = key
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    address = running_instances(context.bench)[0].address
    exchange = Exchange.open(address, method, "/services/portal/x", headers, b"{}", 30.0)
    return exchange.status, exchange.read()


def count_runs(bench: Bench, call: str) -> int:
    """Return how often a call ran, according to the upstreams."""
    return sum(service.stats()["runs"].get(call, 0) for service in bench.services)


def find_owner(bench: Bench) -> Any:
    """Return the instance that owns the engines' group."""
    name = bench.status(bench.instances.index(running_instances(bench)[0]))["groups"]["base/0"][
        "owner"
    ]
    return next(instance for instance in bench.instances if instance.name == name)


def count_received(bench: Bench, name: str) -> int:
    """Return the number of generations that an engine has received."""
    engine = next(engine for engine in bench.engines if engine.name == name)
    return int(engine.stats().get("received", 0))
