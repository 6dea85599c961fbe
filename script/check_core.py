"""Check that the core, which must stay free of I/O, imports no I/O modules and no clock."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

CORE = ("decisions", "policy", "filters", "controllers")
GATEWAY_CORE = (
    "admission",
    "scheduling/cold_gate",
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
    "scheduling/selection",
    "retry_budget/lending",
    "retry_budget/messages",
    "retry_budget/shared_budget",
)
"""Modules of the gateway that make decisions; the other ones do I/O."""
FORBIDDEN = {"gevent", "geventhttpclient", "socket", "time", "capnp", "threading", "asyncio"}


def imported_modules(path: Path) -> set[str]:
    """Return the top-level modules, and the packages of driftstall, that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
            if node.module.startswith("driftstall."):
                names.add(".".join(node.module.split(".")[:2]))
    return names


def main() -> int:
    """Print each forbidden import; return zero if there is none."""
    io_packages = {
        "driftstall.daemon",
        "driftstall.peers",
        "driftstall.platform",
        "driftstall.runners",
    }
    paths = [path for folder in CORE for path in sorted(Path("driftstall", folder).rglob("*.py"))]
    paths += [Path("driftstall/gateway", f"{name}.py") for name in GATEWAY_CORE]
    violations = [
        f"{path}: the core imports {name}"
        for path in paths
        for name in sorted(imported_modules(path) & (FORBIDDEN | io_packages))
    ]
    print("\n".join(violations) or "The core imports no I/O modules and no clock.")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
