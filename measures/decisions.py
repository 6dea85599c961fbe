"""Compare scheduling methods on one seeded workload: baselines, the product and an oracle.

Usage:
  decisions --deployment=NAME --seed=N [options]

Options:
  --deployment=NAME  enrolment or parcel.
  --seed=N           Seed of the workload.
  --rate=R           Generations a second [default: 8].
  --seconds=N        Seconds of arrivals [default: 120].
  --engines=N        Model runners [default: 5].
  --drift=X          Factor on output lengths by the end [default: 1].
  --flood=R          Extra long prompts a second from one workspace [default: 0].
  --lag=S            Lag of the runners' reports in seconds [default: 0.5].
  --cache-gap=X      Share of cache events that are lost [default: 0.1].
  --progress=S       Seconds between an entry's reports of progress [default: 0.25].
  --methods=LIST     Methods to run [default: first_come,worst_case,forecast,oracle].
  --json             Print one JSON object.

Stalls run from a request's first ask to its first token, waits between retries
included. Preemptions are those of the engines and all yields.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import numpy as np
import orjson
from docopt import docopt

from driftstall.core import Verdict
from driftstall.policy.evaluate import evaluate
from driftstall.policy.model import Facts, Policy
from driftstall.policy.parse import parse_policy
from measures.driver import PROGRESS_S, Driver, ReportFaults, Served
from measures.methods import build_method
from measures.workload import DEPLOYMENTS, Arrival, Deployment, WorkloadChange, WorkloadMaker
from stand_ins.engine_model import Engine

DRAIN_S: Final = 240.0
"""Time after the last arrival within which requests can still finish."""
FLOOD: Final = "workspace-flood"


@dataclass(frozen=True, slots=True)
class Row:
    """The results of one method."""

    method: str
    stall_p50_ms: float
    stall_p99_ms: float
    token_gap_p95_ms: float
    token_gap_p99_ms: float
    preemptions_per_1000: float
    refused_share: float
    """Share of requests that gave up after their retries."""
    completed: int
    tokens_per_second: float
    first_stall_p50_ms: float
    first_stall_p99_ms: float
    first_gap_p95_ms: float
    first_gap_p99_ms: float
    first_refused_share: float
    long_stall_p50_ms: float
    long_stall_p99_ms: float
    long_refused_share: float
    yields_per_1000: float
    returns: int
    returns_refused: int
    late_refusals: int
    others_stall_p99_ms: float
    """Stall of all workspaces except the flooding one."""
    prefilled_tokens: int
    decision_us: float
    """Time of one event in the controller, without the simulated engines."""


class _Timed:
    """Wrapper that measures a method's time for handling events."""

    def __init__(self, inner: Any) -> None:
        """Wrap a method."""
        self._inner = inner
        self.seconds = 0.0
        self.events = 0

    def handle(self, event: Any, now: float) -> Any:
        """Pass an event to the method and measure the time."""
        begin = time.perf_counter()
        actions = self._inner.handle(event, now)
        self.seconds += time.perf_counter() - begin
        self.events += 1
        return actions


def verdicts(policy: Policy) -> Callable[[Arrival], Verdict]:
    """Return a function that evaluates the policy for an arrival."""

    def verdict_of(arrival: Arrival) -> Verdict:
        facts = Facts(
            arrival.kind, arrival.workspace, "base", arrival.input_tokens, arrival.max_tokens, 0, 12
        )
        return evaluate(policy, facts)

    return verdict_of


def run_method(
    method: str,
    arrivals: list[Arrival],
    deployment: Deployment,
    *,
    engines: int = 5,
    seconds: float = 120.0,
    seed: int = 0,
    report_faults: ReportFaults | None = None,
    progress_s: float = PROGRESS_S,
) -> Row:
    """Run one method over a workload and return its results."""
    policy = parse_policy(Path(f"examples/{deployment.name}.policy").read_text())
    fleet = {f"engine-{index}": Engine() for index in range(engines)}
    timed = _Timed(build_method(method, arrivals, policy.weights, policy.overflow, seed))
    driver = Driver(fleet, timed, verdicts(policy), report_faults=report_faults, seed=seed)
    driver.progress_s = progress_s
    served = driver.run(arrivals, seconds + DRAIN_S)
    preempted = sum(engine.preemptions for engine in fleet.values())
    prefilled = sum(engine.prefilled_tokens for engine in fleet.values())
    cost = timed.seconds / max(1, timed.events) * 1e6
    return _compute_row(method, served, deployment, preempted, prefilled, cost, seconds)


def _percentile(values: list[float], share: float) -> float:
    """Return a percentile of seconds in milliseconds; zero if there are no values."""
    return round(float(np.percentile(np.array(values), share)) * 1000, 1) if values else 0.0


def _stalls(served: list[Served]) -> list[float]:
    """Return the stalls; DRAIN_S for a request that never got a token."""
    return [
        request.first_token - request.first_asked if request.first_token >= 0 else DRAIN_S
        for request in served
        if not request.has_given_up
    ]


def _gaps(served: list[Served]) -> list[float]:
    """Return all token gaps."""
    return [gap for request in served for gap in request.gaps]


def _refused_share(served: list[Served]) -> float:
    """Return the share of requests that gave up."""
    return round(sum(request.has_given_up for request in served) / max(1, len(served)), 4)


def _compute_row(
    method: str,
    served: dict[str, Served],
    deployment: Deployment,
    preempted: int,
    prefilled: int,
    cost: float,
    seconds: float,
) -> Row:
    """Compute the results from the course of all requests."""
    requests = list(served.values())
    first = [request for request in requests if request.arrival.kind == deployment.first_kind]
    long = [
        request
        for request in requests
        if request.arrival.kind == deployment.long_kind and request.arrival.workspace != FLOOD
    ]
    others = [request for request in requests if request.arrival.workspace != FLOOD]
    yields = sum(request.yields for request in requests)
    stalls, gaps = _stalls(requests), _gaps(requests)
    first_gaps = _gaps(first)
    per_1000 = 1000.0 / max(1, len(requests))
    tokens = sum(len(request.gaps) + 1 for request in requests if request.first_token >= 0)
    bound_s = 0.05
    late = sum(
        request.granted >= 0 and request.granted - request.asked > 60.0 + bound_s
        for request in requests
    )
    return Row(
        method,
        _percentile(stalls, 50),
        _percentile(stalls, 99),
        _percentile(gaps, 95),
        _percentile(gaps, 99),
        round((preempted + yields) * per_1000, 2),
        _refused_share(requests),
        sum(request.is_finished for request in requests),
        round(tokens / seconds, 1),
        _percentile(_stalls(first), 50),
        _percentile(_stalls(first), 99),
        _percentile(first_gaps, 95),
        _percentile(first_gaps, 99),
        _refused_share(first),
        _percentile(_stalls(long), 50),
        _percentile(_stalls(long), 99),
        _refused_share(long),
        round(yields * per_1000, 2),
        sum(request.retries for request in requests),
        sum(request.refused_retries for request in requests),
        late,
        _percentile(_stalls(others), 99),
        prefilled,
        round(cost, 1),
    )


def main() -> int:
    """Run the methods and print their results."""
    options = docopt(__doc__ or "")
    deployment = DEPLOYMENTS[options["--deployment"]]
    seed, rate = int(options["--seed"]), float(options["--rate"])
    seconds = float(options["--seconds"])
    change = WorkloadChange(float(options["--drift"]), float(options["--flood"]))
    report_faults = ReportFaults(float(options["--lag"]), float(options["--cache-gap"]))
    arrivals = WorkloadMaker(deployment, seed, change).make(rate, seconds)
    rows = [
        run_method(
            method,
            arrivals,
            deployment,
            engines=int(options["--engines"]),
            seconds=seconds,
            seed=seed,
            report_faults=report_faults,
            progress_s=float(options["--progress"]),
        )
        for method in options["--methods"].split(",")
    ]
    if options["--json"]:
        table = {
            "deployment": deployment.name,
            "seed": seed,
            "rate": rate,
            "rows": [asdict(row) for row in rows],
        }
        print(orjson.dumps(table).decode())
        return 0
    for name in asdict(rows[0]):
        cells = "".join(f"{getattr(row, name)!s:>13}" for row in rows)
        print(f"{name:<22}{cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
