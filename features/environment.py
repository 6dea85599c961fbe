"""Start and stop the real processes that some features need."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

sys.path.insert(0, str(Path(__file__).parent.parent))

from measures.bench import Bench  # noqa: E402

INSTANCES = 3
ENGINES = 2
WORKSPACES = ("north", "plains")


def before_feature(context: Any, feature: Any) -> None:
    """Start a small system for features that run on processes."""
    if "processes" not in feature.tags:
        return
    bench = feature.bench = Bench(traces=True)
    bench.start_platform()
    bench.start_engines(ENGINES, flags=("--speed=3",))
    bench.start_services("portal", 2)
    bench.start(INSTANCES)
    policy = Path("examples/both.policy").read_text()
    assert bench.submit(policy, WORKSPACES).status == 200
    bench.wait_ready(INSTANCES)


def before_scenario(context: Any, scenario: Any) -> None:
    """Give a scenario its feature's system."""
    context.bench = getattr(context.feature, "bench", None)


def after_feature(context: Any, feature: Any) -> None:
    """Stop the system."""
    bench = getattr(feature, "bench", None)
    if bench is not None:
        bench.close()
