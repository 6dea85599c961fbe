"""Measure the cost of the daemon's relay relative to a plain relay without decisions.

Usage:
  relay [--tokens=N] [--streams=N] [--rounds=N] [--json]

Options:
  --tokens=N   Tokens of each answer [default: 2000].
  --streams=N  Answers one after another, for each round [default: 3].
  --rounds=N   Rounds, both relays in turn; the median counts [default: 5].

One process serves a fixed stream as fast as it can; the plain relay and the daemon
each forward it. The cost is the processor time of the relaying process per token or
request; the requirement of at most 1.5 times applies to the ratio.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import asdict, dataclass  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Final  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
from docopt import docopt  # noqa: E402

from driftstall.util.http import Exchange  # noqa: E402
from measures.bench import Bench, Process, free_port, workspace_key  # noqa: E402

KEY: Final = workspace_key("north")
PACED_STREAMS: Final = 20
PACED_TOKENS: Final = 400
PACE_MS: Final = 5


@dataclass(frozen=True, slots=True)
class RelayCosts:
    """The measured costs of both relays."""

    plain_us_per_token: float
    relay_us_per_token: float
    token_ratio: float
    plain_us_per_paced_token: float
    relay_us_per_paced_token: float
    paced_token_ratio: float
    """Ratio for tokens that arrive one by one, so that writes can't be batched."""
    plain_ms_per_request: float
    relay_ms_per_request: float
    plain_first_token_ms: float
    relay_first_token_ms: float
    added_first_token_ms: float
    idle_memory_mb: float
    idle_cpu_percent: float


def processor_s(process: Process) -> float:
    """Return the processor time that a process has used, in seconds (at 100 clock ticks a s)."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def memory_mb(process: Process) -> float:
    """Return a process's resident memory, in MB."""
    for line in Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def ask(address: str, tokens: int, pace_ms: int = 0) -> tuple[float, int]:
    """Read one stream; return the seconds to the first token and the number of tokens."""
    body = orjson.dumps(
        {
            "model": "base",
            "stream": True,
            "max_tokens": 60_000,
            "messages": [{"role": "user", "content": f"[length={tokens}] [pace={pace_ms}]"}],
        }
    )
    headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": f"m{time.time_ns()}-1"}
    begin = time.perf_counter()
    exchange = Exchange.open(address, "POST", "/v1/chat/completions", headers, body, 60.0)
    first, count = 0.0, 0
    while True:
        event = exchange.read_event()
        if not event:
            break
        if event.startswith(b"id: "):
            count += 1
            first = first or time.perf_counter() - begin
    exchange.close()
    return first, count


def per_token(process: Process, tokens: int, streams: int) -> float:
    """Return the processor time of a relay per token, in microseconds."""
    before, total = processor_s(process), 0
    for _ in range(streams):
        total += ask(process.address, tokens)[1]
    return (processor_s(process) - before) / total * 1e6


def per_paced_token(process: Process) -> float:
    """Return the processor time per token in microseconds, for parallel paced streams."""
    before = processor_s(process)
    jobs = [gevent.spawn(ask, process.address, PACED_TOKENS, PACE_MS) for _ in range(PACED_STREAMS)]
    gevent.joinall(jobs, raise_error=True)
    return (processor_s(process) - before) / (PACED_TOKENS * PACED_STREAMS) * 1e6


def per_request(process: Process, count: int) -> float:
    """Return the processor time per one-token request, in milliseconds."""
    before = processor_s(process)
    for _ in range(count):
        ask(process.address, 1)
    return (processor_s(process) - before) / count * 1e3


def first_token_ms(process: Process, count: int) -> float:
    """Return the median time to the first token, in milliseconds."""
    return statistics.median(ask(process.address, 1)[0] for _ in range(count)) * 1e3


def start_process(bench: Bench, name: str, module: str, *flags: str) -> Process:
    """Start a process of this package and wait until it listens."""
    port = free_port()
    log = bench.folder / f"{name}.log"
    command = [sys.executable, "-m", module, f"--port={port}", *flags]
    with log.open("ab") as output:
        popen = subprocess.Popen(command, stdout=output, stderr=output)
    process = Process(name, f"127.0.0.1:{port}", popen, log)
    bench.engines.append(process)
    bench.wait_listening(process)
    return process


def measure(tokens: int, streams: int, rounds: int) -> RelayCosts:
    """Measure both relays in alternation and return the medians."""
    with Bench() as bench:
        bench.start_platform()
        source = start_process(bench, "source", "measures.fixed_source")
        plain = start_process(
            bench, "plain", "measures.plain_relay", f"--upstream={source.address}"
        )
        bench.runners.append(
            {
                "runner_id": "source",
                "address": source.address,
                "zone": "zone-a",
                "model": "base",
                "memory_tokens": 10_000_000,
            }
        )
        daemon = bench.start_instance()
        bench.wait_listening(daemon)
        bench.submit(Path("examples/both.policy").read_text(), ("north",))
        bench.wait_ready(1)
        memory = memory_mb(daemon)
        before = processor_s(daemon)
        time.sleep(3.0)
        idle = (processor_s(daemon) - before) / 3.0 * 100
        for process in (plain, daemon):
            ask(process.address, 200)
        plain_paced, relay_paced = [], []
        plain_tokens, relay_tokens, plain_requests, relay_requests = [], [], [], []
        plain_first, relay_first = [], []
        for _ in range(rounds):
            plain_tokens.append(per_token(plain, tokens, streams))
            relay_tokens.append(per_token(daemon, tokens, streams))
            plain_paced.append(per_paced_token(plain))
            relay_paced.append(per_paced_token(daemon))
            plain_requests.append(per_request(plain, 60))
            relay_requests.append(per_request(daemon, 60))
            plain_first.append(first_token_ms(plain, 40))
            relay_first.append(first_token_ms(daemon, 40))
    median = statistics.median
    return RelayCosts(
        round(median(plain_tokens), 1),
        round(median(relay_tokens), 1),
        round(median(relay_tokens) / median(plain_tokens), 2),
        round(median(plain_paced), 1),
        round(median(relay_paced), 1),
        round(median(relay_paced) / median(plain_paced), 2),
        round(median(plain_requests), 2),
        round(median(relay_requests), 2),
        round(median(plain_first), 2),
        round(median(relay_first), 2),
        round(median(relay_first) - median(plain_first), 2),
        round(memory, 1),
        round(idle, 2),
    )


def main() -> int:
    """Measure and print the costs."""
    options = docopt(__doc__ or "")
    costs = measure(int(options["--tokens"]), int(options["--streams"]), int(options["--rounds"]))
    if options["--json"]:
        print(orjson.dumps(asdict(costs)).decode())
        return 0
    for name, value in asdict(costs).items():
        print(f"{name:<24}{value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
