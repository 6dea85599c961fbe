"""Run the complete system against its stand-ins and check its guarantees.

Usage:
  demo [--seconds=N] [--instances=N] [--rate=R] [--seed=N]

Options:
  --seconds=N    Seconds of traffic [default: 20].
  --instances=N  Entry instances [default: 7].
  --rate=R       Requests a second, generations and plain calls [default: 8].
  --seed=N       Seed of the traffic [default: 1].
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import re  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any, Final  # noqa: E402

import gevent  # noqa: E402
import numpy as np  # noqa: E402
from docopt import docopt  # noqa: E402

from driftstall.cli.client import Caller, ChatEnd, ChatPart, call_json  # noqa: E402
from driftstall.exceptions import UpstreamError  # noqa: E402
from driftstall.util.http import Exchange  # noqa: E402
from measures.bench import ZONES, Bench, workspace_key  # noqa: E402

WORKSPACES: Final = ("north", "plains", "river", "prairie", "depot-east", "depot-west")
WORDS: Final = "when is the next deadline for the program at this college and what is missing "
TOKEN: Final = re.compile(r"(\S+)#(\d+) ")
MAX_RETRIES: Final = 3
"""Maximum number of times that a refused caller retries at the time given by retry_after_s."""


@dataclass(slots=True)
class Tally:
    """Counts of what callers observed."""

    requests: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    stalls_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    lost: int = 0
    doubled: int = 0
    mixed: int = 0
    incomplete: int = 0
    retries: int = 0
    admitted_on_retry: int = 0
    not_run: set[str] = field(default_factory=set)
    """Calls whose callers got the response that the call was not run."""


class Traffic:
    """Mixed traffic of two deployments."""

    def __init__(self, bench: Bench, seed: int) -> None:
        """Initialize callers for each workspace and zone of a running bench."""
        self._bench = bench
        self._random = random.Random(seed)
        self.tally = Tally()
        self._number = 0
        seeds = tuple(instance.address for instance in bench.instances)
        self._callers = {
            (name, zone): Caller(seeds, workspace_key(name), zone)
            for name in WORKSPACES
            for zone in ZONES
        }

    def run(self, seconds: float, rate: float) -> list[gevent.Greenlet]:
        """Start requests at random times for some seconds; return their greenlets."""
        ends = time.monotonic() + seconds
        open_requests = []
        while time.monotonic() < ends:
            gevent.sleep(self._random.expovariate(rate))
            open_requests.append(gevent.spawn(self._send_random))
        return open_requests

    def _send_random(self) -> None:
        """Send a random request of the mix."""
        workspace = self._random.choice(WORKSPACES)
        caller = self._callers[workspace, self._random.choice(ZONES)]
        is_enrolment = not workspace.startswith("depot")
        share = self._random.random()
        if share < 0.45:
            self._run_conversation(caller, "chat" if is_enrolment else "briefing")
        elif share < 0.55:
            self._send_long_prompt(caller, "summary" if is_enrolment else "log_summary")
        else:
            self._send_plain_call(caller, workspace, "portal" if is_enrolment else "parcel")

    def _run_conversation(self, caller: Caller, kind: str) -> None:
        """Run a conversation of one to three turns, each with the whole history."""
        messages = [{"role": "system", "content": WORDS * 4}]
        for _ in range(self._random.randint(1, 3)):
            words = WORDS * self._random.randint(1, 4)
            messages.append({"role": "user", "content": f"{words} {self._next_number()}"})
            length = min(800, int(self._random.lognormvariate(4.2, 0.7)) + 2)
            text = self._generate(caller, kind, messages, length, 1_000)
            if text is None:
                return
            messages.append({"role": "assistant", "content": text})
            gevent.sleep(self._random.uniform(0.2, 1.0))

    def _send_long_prompt(self, caller: Caller, kind: str) -> None:
        """Request a summary of a long text."""
        words = WORDS * self._random.randint(60, 160)
        messages = [{"role": "user", "content": f"{words} {self._next_number()}"}]
        length = min(600, int(self._random.lognormvariate(4.8, 0.6)) + 2)
        self._generate(caller, kind, messages, length, 1_500)

    def _next_number(self) -> int:
        """Return a number that makes a text unique."""
        self._number += 1
        return self._number

    def _generate(
        self, caller: Caller, kind: str, messages: list[dict[str, str]], length: int, cap: int
    ) -> str | None:
        """Stream one generation, with retries after refusals; return the text if it is complete."""
        tagged = [*messages[:-1], {"role": "user", "content": ""}]
        tagged[-1]["content"] = f"{messages[-1]['content']} [length={length}]"
        messages[-1] = tagged[-1]
        body = {"model": "base", "max_tokens": cap, "messages": messages}
        self.tally.requests[kind] += 1
        ticket = ""
        for attempt in range(MAX_RETRIES + 1):
            text, end = self._stream(caller, body, kind, ticket, length)
            if attempt and end.problem is None:
                self.tally.admitted_on_retry += 1
            code = end.problem["code"] if end.problem else "whole"
            if code != "refused_by_policy" or attempt == MAX_RETRIES:
                self.tally.outcomes[code] += 1
                return text if end.problem is None else None
            assert end.problem is not None
            self.tally.retries += 1
            ticket = end.problem.get("ticket", "")
            gevent.sleep(end.problem["retry_after_s"])
        return None

    def _stream(
        self, caller: Caller, body: dict[str, Any], kind: str, ticket: str, length: int
    ) -> tuple[str, ChatEnd]:
        """Stream one response, record its token gaps and check its tokens."""
        begin = last = time.monotonic()
        parts: list[str] = []
        for part in caller.chat(body, kind, ticket):
            if isinstance(part, ChatEnd):
                self._check("".join(parts), length, part)
                return "".join(parts), part
            assert isinstance(part, ChatPart)
            now = time.monotonic()
            if parts:
                self.tally.gaps_s.append(now - last)
            else:
                self.tally.stalls_s.append(now - begin)
            last = now
            parts.append(part.text)
        raise AssertionError("the stream ended without an end event")

    def _check(self, text: str, length: int, end: ChatEnd) -> None:
        """Count lost, doubled and mixed tokens; each token has its generation's id and an index."""
        tokens = TOKEN.findall(text)
        self.tally.mixed += max(0, len({name for name, _ in tokens}) - 1)
        indexes = [int(index) for _, index in tokens]
        self.tally.doubled += len(indexes) - len(set(indexes))
        self.tally.doubled += sum(b < a for a, b in zip(indexes, indexes[1:], strict=False))
        expected = length if end.problem is None else max(indexes, default=-1) + 1
        self.tally.lost += expected - len(set(indexes))
        if end.problem is not None and tokens:
            self.tally.incomplete += 1

    def _send_plain_call(self, caller: Caller, workspace: str, service: str) -> None:
        """Send a GET for a status, or a POST with an idempotency key that must run only once."""
        call_id = f"{service}-call-{self._next_number()}"
        is_post = self._random.random() < 0.6
        method, path = ("POST", "/records") if is_post else ("GET", f"/status/{call_id}")
        self.tally.requests[f"{service} {'record' if is_post else 'status'}"] += 1
        headers = {
            "Authorization": f"Bearer {workspace_key(workspace)}",
            "X-Call-Id": call_id if is_post else "",
            "Content-Type": "application/json",
        }
        if is_post:
            headers["Idempotency-Key"] = call_id
        body = b'{"record":"handed over"}' if is_post else b""
        status = 0
        for attempt in range(4):
            addresses = caller.locate()
            try:
                address = addresses[attempt % len(addresses)]
                exchange = Exchange.open(
                    address, method, f"/services/{service}{path}", headers, body, 15.0
                )
                status = exchange.status
                response = exchange.read()
            except UpstreamError:
                caller.expire_locations()
                gevent.sleep(0.3)
                continue
            if status == 503 and b'"ran":"not run"' in response:
                self.tally.not_run.add(call_id)
                gevent.sleep(1.0)
                continue
            self.tally.not_run.discard(call_id)
            break
        self.tally.outcomes[f"call {status}"] += 1


def _format_percentiles(values: list[float]) -> str:
    """Return percentiles of times in seconds as a text in milliseconds."""
    if not values:
        return "none"
    p50, p95, p99 = np.percentile(np.array(values) * 1000, [50, 95, 99])
    return f"p50 {p50:.1f}  p95 {p95:.1f}  p99 {p99:.1f} ms"


def _print_summary(bench: Bench, tally: Tally) -> bool:
    """Print the summary; return whether all guarantees held."""
    engines = [engine.stats() for engine in bench.engines]
    services = [service.stats() for service in bench.services]
    runs: Counter[str] = Counter()
    for service in services:
        runs.update({name: n for name, n in service["runs"].items() if "-call-" in name})
    posted = {name: n for name, n in runs.items() if "/status/" not in name}
    twice = sum(n > 1 for n in posted.values())
    run_though_denied = sum(posted.get(name, 0) > 0 for name in tally.not_run)
    preemptions = sum(engine.get("preemptions", 0) for engine in engines)
    print("\nSummary")
    for name, count in sorted(tally.requests.items()):
        print(f"  {name:<18} {count} requests")
    print("  outcomes           " + ", ".join(f"{k}: {v}" for k, v in tally.outcomes.items()))
    print(f"  stall              {_format_percentiles(tally.stalls_s)}")
    print(f"  token gap          {_format_percentiles(tally.gaps_s)}")
    print(f"  preemptions        {preemptions}")
    print(f"  refusals           {tally.retries}, {tally.admitted_on_retry} admitted on return")
    print(f"  tokens delivered   {len(tally.gaps_s) + len(tally.stalls_s)}")
    leftover = sum(engine["running"] for engine in engines)
    violations = {
        "tokens lost": tally.lost,
        "tokens doubled": tally.doubled,
        "generations mixed": tally.mixed,
        "answers cut off": tally.incomplete,
        "not-repeatable calls run twice": twice,
        "calls run though told 'not run'": run_though_denied,
        "generations left on engines": leftover,
    }
    print("Promises (counted by the stand-ins)")
    for name, count in violations.items():
        print(f"  {'held  ' if count == 0 else 'BROKEN'} {name}: {count}")
    return not any(violations.values())


def main() -> int:
    """Run the demo; return zero only if all guarantees held."""
    options = docopt(__doc__ or "")
    count = int(options["--instances"])
    begin = time.monotonic()
    with Bench() as bench:
        print(f"Starting the stand-ins and {count} instances in {len(ZONES)} zones ...")
        bench.start_platform()
        bench.start_engines(5)
        bench.start_services("portal", 3)
        bench.start_services("parcel", 3)
        bench.start(count)
        policy = Path("examples/both.policy").read_text()
        answer = bench.submit(policy, WORKSPACES)
        print(f"Submitted the policy: {answer.value['state']}")
        bench.wait_ready(count)
        print(
            f"All instances are ready after {time.monotonic() - begin:.1f} s; sending traffic ..."
        )
        traffic = Traffic(bench, int(options["--seed"]))
        seconds, rate = float(options["--seconds"]), float(options["--rate"])
        requests = traffic.run(seconds / 3, rate)
        print(f"Planned stop of {bench.instances[-1].name} under load ...")
        bench.instances[-1].signal(signal.SIGTERM)
        requests += traffic.run(seconds / 3, rate)
        print(f"Killing {bench.instances[-2].name} under load; its callers go on elsewhere ...")
        bench.instances[-2].popen.kill()
        requests += traffic.run(seconds / 3, rate)
        print("Waiting for open answers ...")
        gevent.joinall(requests, timeout=60)
        stopped = bench.instances[-1].popen
        exit_code = stopped.wait(timeout=20)
        print(f"The planned stop ended with exit code {exit_code}")
        gevent.sleep(0.5)
        held = _print_summary(bench, traffic.tally)
        call_json(bench.instances[0].address, "GET", "/v1/locate", workspace_key("north"))
    print(f"Done in {time.monotonic() - begin:.1f} s: {'all promises held' if held else 'FAILED'}")
    return 0 if held and exit_code == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
