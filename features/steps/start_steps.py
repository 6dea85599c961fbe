"""Test what the gateway's program imports at its start, and that it waits by gevent only."""

from __future__ import annotations

import ast
import json
import subprocess
import sys
from pathlib import Path
from typing import Any, Final

from behave import then, when

WAITING_MODULES: Final = frozenset(
    {"asyncio", "http.client", "queue", "selectors", "socket", "ssl", "subprocess", "threading"}
)
"""Modules of the standard library whose waits would block all greenlets."""
PROBE: Final = """
import importlib.metadata, json, socket, sys, time
looks = [0]
entry_points = importlib.metadata.entry_points
def counted(**params):
    looks[0] += 1
    return entry_points(**params)
importlib.metadata.entry_points = counted
own = socket.socket, time.sleep
import driftstall.platform.__main__
loaded = [one.__file__ for name, one in sys.modules.items()
          if name.startswith("driftstall") and one.__file__]
print(json.dumps({
    "looks": looks[0],
    "is_own": (socket.socket, time.sleep) == own,
    "loaded": loaded,
}))
"""


@when("the platform's program is loaded in a fresh process")
def load(context: Any) -> None:
    """Import the program in a new process, and read what that process reports."""
    done = subprocess.run([sys.executable, "-c", PROBE], capture_output=True, check=True)
    context.report = json.loads(done.stdout)


@then("it has not once looked through the installed packages")
def no_looks(context: Any) -> None:
    """Check the count of entry point look-ups."""
    assert context.report["looks"] == 0, context.report["looks"]


@then("the standard library's sockets and pauses are its own")
def unpatched(context: Any) -> None:
    """Check that they were not monkey-patched."""
    assert context.report["is_own"]


def waits_in(path: Path) -> list[str]:
    """Return the blocking modules and functions of the standard library that a module uses."""
    found: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [alias.name for alias in node.names if alias.name in WAITING_MODULES]
        elif isinstance(node, ast.ImportFrom) and node.module in WAITING_MODULES:
            found.append(str(node.module))
        elif isinstance(node, ast.Attribute) and ast.unparse(node) == "time.sleep":
            found.append("time.sleep")
    return found


@then("no module of ours that it has loaded waits by them")
def no_waits(context: Any) -> None:
    """Search the sources of the loaded modules."""
    loaded = [Path(name) for name in context.report["loaded"]]
    assert len(loaded) > 100, len(loaded)
    found = {str(path): waits for path in loaded if (waits := waits_in(path))}
    assert not found, found
