"""Check that the pure core imports no I/O and no wall clock."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

CORE = ("decisions", "policy", "filters", "controllers")
GATEWAY_CORE = (
    "admission",
    "cold_gate",
    "collectors",
    "cordons",
    "dialect",
    "events",
    "fleet",
    "upstream_registry",
    "fleet_events",
    "loads",
    "model",
    "outcomes",
    "store_reachability",
    "watch_delegation",
    "routes",
    "selection",
    "shared_budget",
)
"""Modules of the gateway that decide; the others carry."""
FORBIDDEN = {"gevent", "geventhttpclient", "socket", "time", "capnp", "threading", "asyncio"}


def imported(path: Path) -> set[str]:
    """Return the top-level modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {one.name.split(".")[0] for one in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
            if node.module.startswith("driftstall."):
                names.add(".".join(node.module.split(".")[:2]))
    return names


def main() -> int:
    """Print each forbidden import; zero if there is none."""
    shells = {"driftstall.daemon", "driftstall.peers", "driftstall.platform", "driftstall.runners"}
    paths = [path for folder in CORE for path in sorted(Path("driftstall", folder).rglob("*.py"))]
    paths += [Path("driftstall/gateway", f"{name}.py") for name in GATEWAY_CORE]
    bad = [
        f"{path}: the core imports {name}"
        for path in paths
        for name in sorted(imported(path) & (FORBIDDEN | shells))
    ]
    print("\n".join(bad) or "The core is pure.")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
