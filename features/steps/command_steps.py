"""Test the settings of the daemon and the command line."""

from __future__ import annotations

import shlex
import subprocess
import sys
from typing import Any

from behave import then, when


@when('the daemon is started with "{flags}"')
def start_daemon(context: Any, flags: str) -> None:
    """Start the daemon with invalid settings."""
    context.done = run_module("driftstall", flags)


@when('the command runs "{arguments}"')
def run_command(context: Any, arguments: str) -> None:
    """Run the command."""
    context.done = run_module("driftstall.cli.main", arguments)


def run_module(module: str, arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a module and collect its output."""
    command = [sys.executable, "-m", module, *shlex.split(arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


@then('it ends with {code:d} and names "{words}"')
def ended(context: Any, code: int, words: str) -> None:
    """Check the exit code and the output, which never contains a traceback."""
    text = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, (context.done.returncode, text)
    assert "Traceback" not in text, text
    for word in words.split(", "):
        assert word in text, (word, text)
