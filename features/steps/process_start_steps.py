"""Disturb the start of an instance of the own interface with signals and addresses in use."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, Final

from behave import given, then, when
from gevent import socket

from driftstall.util.http import Exchange
from measures.bench import Bench, Process, wait_until

END_WAIT_S = 15.0


def start_instance(context: Any) -> Process:
    """Start an instance with a store of its own."""
    bench = context.starting_bench = Bench()
    context.add_cleanup(bench.close)
    bench.start_platform()
    context.instance = bench.start_instance()
    process: Process = context.instance
    return process


@given('an instance of the own interface that is loading "{module}"')
def loading_instance(context: Any, module: str) -> None:
    """Start an instance, and wait until it has mapped a native library of a package."""
    process = start_instance(context)
    mapped = Path(f"/proc/{process.popen.pid}/maps")
    while f"/{module}/" not in mapped.read_text():
        assert process.is_running


@given("an instance of the own interface whose addresses are in use")
def addresses_in_use(context: Any) -> None:
    """Restart an instance after other sockets have bound its addresses."""
    process = start_instance(context)
    context.starting_bench.wait_listening(process)
    process.popen.kill()
    process.popen.wait()
    command: list[str] = list(context.starting_bench.command_of(process))
    addresses = [flag.partition("=")[2] for flag in command if "listen=" in flag]
    context.holders = [hold(address) for address in addresses]
    for holder in context.holders:
        context.add_cleanup(holder.close)
    process.log.write_bytes(b"")
    context.starting_bench.restart(process)


def hold(address: str) -> socket.socket:
    """Bind an address."""
    host, port = address.split(":")
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, int(port)))
    holder.listen(1)
    return holder


@when("the addresses become free")
def become_free(context: Any) -> None:
    """Release the addresses once the instance waits for one."""
    log = context.instance.log
    wait_until("it waits", lambda: "Waiting for an address to become free" in log.read_text())
    for holder in context.holders:
        holder.close()


@when("the instance gets SIGHUP, and again once it listens")
def gets_reloads(context: Any) -> None:
    """Send a reload in the start, and one later."""
    context.instance.popen.send_signal(signal.SIGHUP)
    context.starting_bench.wait_listening(context.instance)
    context.instance.popen.send_signal(signal.SIGHUP)
    log = context.instance.log
    wait_until("it is logged", lambda: "There are no settings to reload" in log.read_text())


@when("the instance gets SIGTERM")
def gets_stop(context: Any) -> None:
    """Send a stop."""
    context.instance.popen.send_signal(signal.SIGTERM)


@then("the instance is alive")
def is_alive(context: Any) -> None:
    """Ask the instance for its state."""
    context.starting_bench.wait_listening(context.instance)
    exchange = Exchange.open(context.instance.address, "GET", "/live", {}, b"", 5.0)
    assert exchange.status == 200, exchange.status


@then("the instance ends with 0")
def ends_with_zero(context: Any) -> None:
    """Wait for the process and check its exit code."""
    assert context.instance.popen.wait(timeout=END_WAIT_S) == 0


ENTRY_PROBE: Final = """
import signal, sys
from driftstall.__main__ import main
is_loaded_early = "gevent" in sys.modules
try:
    main()
except SystemExit:
    pass
print(is_loaded_early, "gevent" in sys.modules, signal.getsignal(signal.SIGHUP))
"""


@when("the entry point of the package is imported and called with no flags")
def call_entry_point(context: Any) -> None:
    """Call the function that the installed command calls; it ends with an error of usage."""
    command = [sys.executable, "-c", ENTRY_PROBE]
    context.probe = subprocess.run(command, capture_output=True, text=True, check=True)


@then("the signals were recorded before any other module was loaded")
def recorded_first(context: Any) -> None:
    """Check that nothing was loaded with the entry point, and that SIGHUP has a handler."""
    words = context.probe.stdout.split(maxsplit=2)
    assert words[:2] == ["False", "True"], context.probe.stdout
    assert "SIG_DFL" not in words[2], context.probe.stdout
