"""Steps for starts.feature: what the platform's program loads, and what it waits by."""

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
"""Modules of the standard library by which a wait would hold up all greenlets."""
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
    """Load it, and have the process tell what it has done."""
    done = subprocess.run([sys.executable, "-c", PROBE], capture_output=True, check=True)
    context.told = json.loads(done.stdout)


@then("it has not once looked through the installed packages")
def no_looks(context: Any) -> None:
    """Look at the count."""
    assert context.told["looks"] == 0, context.told["looks"]


@then("the standard library's sockets and pauses are its own")
def unpatched(context: Any) -> None:
    """Look whether they were replaced."""
    assert context.told["is_own"]


def waits_in(path: Path) -> list[str]:
    """Return by what a module would wait in the standard library."""
    found: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [one.name for one in node.names if one.name in WAITING_MODULES]
        elif isinstance(node, ast.ImportFrom) and node.module in WAITING_MODULES:
            found.append(str(node.module))
        elif isinstance(node, ast.Attribute) and ast.unparse(node) == "time.sleep":
            found.append("time.sleep")
    return found


@then("no module of ours that it has loaded waits by them")
def no_waits(context: Any) -> None:
    """Read the modules."""
    loaded = [Path(one) for one in context.told["loaded"]]
    assert len(loaded) > 100, len(loaded)
    found = {str(path): waits for path in loaded if (waits := waits_in(path))}
    assert not found, found
