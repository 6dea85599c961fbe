"""Test the bounded log writer and the `explain` command."""

from __future__ import annotations

import contextlib
import fcntl
import io
import os
import resource
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import gevent
import orjson
from behave import given, then, when
from gevent.monkey import get_original

from driftstall.cli.explain import explain_request
from driftstall.helpers.log import BoundedWriter
from driftstall.util import nonblocking

PAGE_BYTES: Final = 4_096
"""A pipe takes a line if it has this much room."""
BLOCKED_S: Final = 2.0
"""Time after which a blocked process is released."""


start_thread = get_original("_thread", "start_new_thread")
native_sleep = get_original("time", "sleep")


@given("a log whose reader takes nothing")
def full_pipe(context: Any) -> None:
    """Create a log writer on a pipe that is full."""
    context.reader, writer = os.pipe()
    _fill(writer)
    context.log = BoundedWriter(writer, clock=lambda: 1.0, max_lines_per_s=1000)


@given("a log whose reader takes nothing, on a socket")
def full_socket(context: Any) -> None:
    """Create a log writer on a socket whose buffers are full."""
    ends = get_original("socket", "socketpair")()
    context.add_cleanup(lambda: [end.close() for end in ends])
    context.reader, writer = (end.fileno() for end in ends)
    _fill(writer)
    context.log = BoundedWriter(writer, clock=lambda: 1.0, max_lines_per_s=1000)


@given("a log whose reader takes nothing, on a pipe that can't be opened anew")
def full_closed_pipe(context: Any) -> None:
    """Create a log writer on a full pipe without the file system that names descriptors."""
    original = nonblocking.DESCRIPTOR_PATH
    nonblocking.DESCRIPTOR_PATH = "/nothing/{}"  # type: ignore[misc]
    context.add_cleanup(setattr, nonblocking, "DESCRIPTOR_PATH", original)
    full_pipe(context)


def _fill(writer: int) -> None:
    """Write to a descriptor until it takes nothing more, and let it block again."""
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)


@when("50 lines are written")
def write_lines(context: Any) -> None:
    """Write lines while the pipe is full."""
    for number in range(50):
        context.log({"message": "m", "number": number})


@then("none has waited and the loss is counted")
def loss_counted(context: Any) -> None:
    """Check the count of dropped lines; a blocking write would never have returned."""
    assert context.log.dropped == 50, context.log.dropped


@then("once the reader takes lines again the next one tells of the loss")
def loss_reported(context: Any) -> None:
    """Empty the pipe, write a line, and check the dropped count in it."""
    os.set_blocking(context.reader, False)
    with contextlib.suppress(BlockingIOError):
        while os.read(context.reader, 65_536):
            pass
    context.log({"message": "again"})
    assert orjson.loads(os.read(context.reader, 65_536))["dropped_before"] == 50
    assert context.log.dropped == 0


@given("a log whose reader takes lines")
def open_pipe(context: Any) -> None:
    """Create a log writer on an empty pipe."""
    open_log(context, *os.pipe())


@given("a log whose reader takes lines, with a descriptor above {least:d}")
def high_descriptor(context: Any, least: int) -> None:
    """Create a log writer on a pipe with a high descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2 * least), hard))
    context.add_cleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
    reader, low = os.pipe()
    high = fcntl.fcntl(low, fcntl.F_DUPFD, least + 1)
    os.close(low)
    open_log(context, reader, high)


@given("a log whose reader has room for one line")
def nearly_full_pipe(context: Any) -> None:
    """Create a log writer on a pipe in which one page is free."""
    reader, writer = os.pipe()
    size = fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ)
    os.write(writer, b"x" * (size - PAGE_BYTES))
    open_log(context, reader, writer)


def open_log(context: Any, reader: int, writer: int) -> None:
    """Create a log writer on a pipe whose descriptor other processes may share."""
    for descriptor in (reader, writer):
        context.add_cleanup(os.close, descriptor)
    context.reader, context.writer = reader, writer
    context.log = BoundedWriter(writer, clock=lambda: 1.0, max_lines_per_s=1000)


@when("50 lines are written while {count:d} greenlets are ready")
def write_beside(context: Any, count: int) -> None:
    """Write lines beside greenlets that would run at the next switch."""
    context.turns = []
    jobs = [gevent.spawn(context.turns.append, number) for number in range(count)]
    write_lines(context)
    context.turns_before = list(context.turns)
    gevent.joinall(jobs)


@then("none of them has run before the last line")
def none_has_run(context: Any) -> None:
    """Check that no other greenlet has run between the lines."""
    assert not context.turns_before, context.turns_before
    assert not context.log.dropped


def empty_later(reader: int) -> None:
    """Empty a pipe after a while, in a native thread that runs while the process is blocked."""
    native_sleep(BLOCKED_S)
    with contextlib.suppress(OSError):
        os.set_blocking(reader, False)
        os.read(reader, 1 << 20)


@when("{count:d} greenlets write a line each")
def greenlets_write(context: Any, count: int) -> None:
    """Write from several greenlets; a thread empties the pipe if the process is blocked."""
    lines = [{"message": "m" * (PAGE_BYTES // 2), "number": number} for number in range(count)]
    start_thread(empty_later, (context.reader,))
    began = time.monotonic()
    gevent.joinall([gevent.spawn(context.log, line) for line in lines], raise_error=True)
    context.took_s = time.monotonic() - began


@then("none has waited, and {count:d} lines are counted as dropped once")
def none_waited(context: Any, count: int) -> None:
    """Check the time, and the count of dropped lines."""
    assert context.took_s < BLOCKED_S / 2, context.took_s
    assert (context.log.dropped, context.log.total_dropped) == (count, count), context.log.dropped


@when("a line is written")
def write_line(context: Any) -> None:
    """Write one line."""
    context.log({"message": "one line"})


@then("the reader gets it")
def reader_gets(context: Any) -> None:
    """Read the line; an empty pipe would block the read."""
    os.set_blocking(context.reader, False)
    assert orjson.loads(os.read(context.reader, 65_536))["message"] == "one line"


@then("another process that shares its descriptor still waits for the reader")
def mode_unchanged(context: Any) -> None:
    """Check the flags of the file description, which other processes share."""
    write_line(context)
    assert not fcntl.fcntl(context.writer, fcntl.F_GETFL) & os.O_NONBLOCK


@given('logs of two instances that name request "r1"')
def two_logs(context: Any) -> None:
    """Write two logs, one as a log collector writes it with the instance before each line."""
    folder = Path(tempfile.mkdtemp())
    placed = {"timestamp": 2.0, "message": "placed on u1", "request": "r1", "upstream": "u1"}
    notice = {"timestamp": 2.5, "message": "Upstream u1 is leaving"}
    other = {"timestamp": 2.6, "message": "placed", "request": "r2"}
    (folder / "a.log").write_bytes(
        b"\n".join(orjson.dumps(line) for line in (notice, placed, other))
    )
    resumed = {"timestamp": 3.0, "message": "goes on", "request": "r1", "left": "u1"}
    (folder / "b.log").write_bytes(b" 3.0 instance-b " + orjson.dumps(resumed))
    context.files = [str(folder / "a.log"), str(folder / "b.log")]


@then('explaining "r1" shows its lines in order, and the notice of its upstream')
def explained(context: Any) -> None:
    """Run the command's function and check its lines."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert explain_request("r1", context.files) == 0
    lines = output.getvalue().splitlines()
    words = [("placed on u1", "a"), ("is leaving", "a"), ("goes on", "instance-b")]
    assert len(lines) == 3, lines
    for line, (word, origin) in zip(lines, words, strict=True):
        assert word in line and origin in line, line


@given(
    'logs that tell of crashes under "r1" and "r2", and of the refusal of "r3", which asks what'
    ' "r1" did'
)
def crash_logs(context: Any) -> None:
    """Write a log with crashes attributed to two requests and a refusal."""
    folder = Path(tempfile.mkdtemp())
    lines: tuple[dict[str, Any], ...] = (
        {"message": "Upstream u1 has crashed with 2 runs", "fingerprints": ["f1", "f2"]},
        {"message": "Upstream u2 has crashed with 1 runs", "fingerprints": ["f2"]},
        {"message": "Request f1 crashes upstreams", "fingerprint": "f1", "request": "r1"},
        {"message": "Request f2 crashes upstreams", "fingerprint": "f2", "request": "r2"},
        {"message": "placed", "fingerprint": "f1", "request": "r1"},
        {"message": "not sent on", "fingerprint": "f1", "request": "r3"},
    )
    stamped = (line | {"timestamp": 2.0 + at * 10} for at, line in enumerate(lines))
    (folder / "a.log").write_bytes(b"\n".join(orjson.dumps(line) for line in stamped))
    context.files = [str(folder / "a.log")]


@then('explaining "r3" shows the crashes under "r1" and its own refusal, and nothing of "r2"')
def crashes_explained(context: Any) -> None:
    """Run the command's function and check its lines."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert explain_request("r3", context.files) == 0
    lines = output.getvalue().splitlines()
    words = ("Upstream u1 has crashed", "Request f1 crashes", "not sent on")
    assert len(lines) == len(words), lines
    assert all(word in line for word, line in zip(words, lines, strict=True)), lines
