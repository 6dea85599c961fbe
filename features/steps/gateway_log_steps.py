"""Test the bounded log writer and the `explain` command."""

from __future__ import annotations

import contextlib
import io
import os
import tempfile
from pathlib import Path
from typing import Any

import orjson
from behave import given, then, when

from driftstall.cli.explain import explain_request
from driftstall.helpers.log import BoundedWriter


@given("a log whose reader takes nothing")
def full_pipe(context: Any) -> None:
    """Create a log writer on a pipe that is full."""
    context.reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    context.log = BoundedWriter(writer, clock=lambda: 1.0, max_lines_per_s=1000)


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
