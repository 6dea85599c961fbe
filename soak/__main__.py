"""Run the fault soak: inject random faults into real processes and check their guarantees.

Usage:
  soak [--seed=N] [--runs=N] [--instances=N] [--callers=N] [--seconds=S] [--plan=NAME]

Options:
  --seed=N       First seed; without it a fresh one is drawn.
  --runs=N       Seeds to play, one after another [default: 1].
  --instances=N  Gateway processes [default: 4].
  --callers=N    Callers [default: 12].
  --seconds=S    Seconds of traffic, 10 or more [default: 20].
  --plan=NAME    mixed (all kinds of faults), leaving (upstreams that leave) or zones (zones that
                 are cordoned, upstreams that start again) or crashing (requests that end each
                 engine that runs them, and come again) or limited (upstreams that name how many
                 requests they take) or returning (the store comes back from an older copy) or
                 signalling (upstreams that signal that they leave, or request a back-off) or
                 unseen (engines that leave in series while the store is silent) or
                 contended (bursts of streams that queue for engine memory, and plain upstreams
                 that report few slots and a changing pace) or following (the
                 store rejects all instances that follow it; needs 17 instances or more) or
                 partitioned (instances that are cut from all upstreams) or
                 rejecting (bursts of streams while upstreams turn requests away) or
                 truncated (responses framed in each way, of which some end early) or
                 disturbed (starts with signals, addresses in use, spoiled settings or a late
                 store, and odd entries of other writers)
                 [default: mixed].

Each seed that breaks a promise is printed with its lines and the folder of its logs.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import sys  # noqa: E402

from docopt import docopt  # noqa: E402

from soak.plan import Plan  # noqa: E402
from soak.run import Size, Soak  # noqa: E402
from soak.truncation_checks import describe_closes  # noqa: E402


def play(seed: int, size: Size) -> bool:
    """Run one seed and print its violations; return whether all promises held."""
    run = Soak(seed, size)
    try:
        violations = run.play()
    finally:
        run.close()
    sent = len(run.ledger.requests)
    served = sum(map(run.ledger.is_served, run.ledger.requests.values()))
    if run.ledger.truncations:
        print(f"  ended early: {dict(run.ledger.truncations)}")
        print(f"  {describe_closes(run.ledger)}")
    print(f"seed {seed}: {len(violations)} broken, {served} of {sent} requests served", flush=True)
    for line in violations:
        print(f"  {line}")
    if violations:
        print(f"  logs in {run.folder}", flush=True)
    return not violations


def main() -> int:
    """Run all seeds; return zero only if none of them has a violation."""
    options = docopt(__doc__)
    size = Size(
        int(options["--instances"]),
        int(options["--callers"]),
        float(options["--seconds"]),
        Plan(options["--plan"]),
    )
    first = int(options["--seed"] or random.SystemRandom().randrange(1_000_000))
    held = [play(first + number, size) for number in range(int(options["--runs"]))]
    print(f"{sum(held)} seeds held, {len(held) - sum(held)} broke a promise")
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
