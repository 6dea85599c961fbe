"""Measure the costs per request, member and object from which docs/CAPACITY.md is computed.

Usage:
  capacity [--json] [--write]

Options:
  --json   Print one JSON object.
  --write  Write docs/results/capacity.json, from which the page is made.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import orjson
from docopt import docopt

from driftstall.controllers.claims import ClaimRecord, Outcome, ShardObject
from driftstall.controllers.configuration import ConfigDocument, RunnerConfig, WorkspaceConfig
from driftstall.controllers.grant_messages import Ask, Close, Granted, Progress, RunnersChanged
from driftstall.controllers.grants import GrantsController
from driftstall.controllers.membership import MembershipController, Period, Seeds, SendTo
from driftstall.core import Instance, PrefixMark, Request, Verdict
from driftstall.daemon.wire import config_to_json, shard_to_json
from driftstall.decisions.lengths import LearnedLengths
from driftstall.decisions.locate import group_runners, owner_of
from driftstall.peers.codec import decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.messages import DaemonMessage, ProgressBatch
from driftstall.policy.evaluate import evaluate
from driftstall.policy.model import Facts
from driftstall.policy.parse import parse_policy

KINDS: Final = message_types_of(DaemonMessage)
KEY: Final = b"a key for measuring"
RESULTS: Final = Path("docs/results/capacity.json")
VERDICT: Final = Verdict("waiting_people", 6, 0, 10.0, False, True, 1.0, 0.0)


@dataclass(frozen=True, slots=True)
class Slopes:
    """The measured costs; each dict maps a size, or a message type, to a figure."""

    decision_us_by_runners: dict[str, float]
    decision_us_by_workspaces: dict[str, float]
    close_us: float
    owner_us_by_members: dict[str, float]
    membership_us_per_s: dict[str, float]
    membership_bytes_per_s: dict[str, float]
    membership_kb: dict[str, float]
    class_kb: float
    grant_kb: float
    encode_us: dict[str, float]
    decode_us: dict[str, float]
    message_bytes: dict[str, int]
    policy_us: float
    config_bytes: dict[str, int]
    config_parse_ms: dict[str, float]
    config_kb: dict[str, float]
    claim_bytes: float


def time_us(work: Callable[[], Any], count: int) -> float:
    """Return the mean time of a call, in microseconds."""
    begin = time.perf_counter()
    for _ in range(count):
        work()
    return round((time.perf_counter() - begin) / count * 1e6, 2)


def request_of(number: int, workspaces: int) -> Request:
    """Return a request with a prompt of 1,000 tokens and five prefix marks."""
    workspace = f"workspace-{number % workspaces}"
    marks = tuple(PrefixMark(number * 8 + index, 200 * (index + 1)) for index in range(5))
    return Request(f"{number:016x}-1", workspace, "chat", "base", 1_000, 1_024, marks, 1e9, 2e9)


def busy_controller(runners: int, workspaces: int, grants: int) -> GrantsController:
    """Return a controller with open grants."""
    controller = GrantsController("g", LearnedLengths(), random.Random(1))
    rows = tuple((f"engine-{index}", 480_000, "z") for index in range(runners))
    controller.handle(RunnersChanged("g", rows), 0.0)
    for number in range(grants):
        controller.handle(Ask("g", "entry", request_of(number, workspaces), VERDICT), 0.0)
        controller.handle(Progress("g", f"{number:016x}-1", 50 + number % 300), 0.0)
    return controller


def decision_us(runners: int, workspaces: int) -> tuple[float, float]:
    """Return the mean times of an Ask and of a Close, with 40 open grants per runner."""
    controller = busy_controller(runners, workspaces, runners * 40)
    asks = closes = 0.0
    count = 1_500
    now = 1.0
    for number in range(100_000, 100_000 + count):
        now += 0.01
        event = Ask("g", "entry", request_of(number, workspaces), VERDICT)
        begin = time.perf_counter()
        controller.handle(event, now)
        middle = time.perf_counter()
        controller.handle(Close("g", event.request.request_id, 80, True), now)
        asks += middle - begin
        closes += time.perf_counter() - middle
    return round(asks / count * 1e6, 1), round(closes / count * 1e6, 1)


def memory_kb(build: Callable[[], Any]) -> float:
    """Return the memory that an object uses, in KB."""
    tracemalloc.start()
    built = build()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return round(used / 1024, 2)


def instances(count: int) -> list[Instance]:
    """Return a list of count instances."""
    return [
        Instance(f"instance-{index}", f"10.0.0.{index}:8000", f"10.0.0.{index}:8100", "zone-a")
        for index in range(count)
    ]


def membership_costs(count: int, seconds: float = 10.0) -> tuple[float, float]:
    """Return the processor time in microseconds a second and the bytes a second of one member.

    The bytes are those sent and received.
    """
    members = instances(count)
    nodes = {
        member.instance_id: MembershipController(member, 1, random.Random(member.instance_id))
        for member in members
    }
    for node in nodes.values():
        node.handle(Seeds(tuple(members)), 0.0)
    sent, spent, now = 0, 0.0, 0.0
    queue: list[tuple[str, Any]] = []
    while now < seconds:
        now += 0.1
        begin = time.perf_counter()
        for node in nodes.values():
            for action in node.handle(Period(), now):
                if isinstance(action, SendTo):
                    queue.append((action.recipient, action.message))
        while queue:
            recipient, message = queue.pop()
            frame = encode(Envelope("instance-1", recipient, 1, message), KEY)
            sent += len(frame)
            decode(frame[4:], KEY, KINDS)
            for action in nodes[recipient].handle(message, now):
                if isinstance(action, SendTo):
                    queue.append((action.recipient, action.message))
        spent += time.perf_counter() - begin
    return round(spent / count / seconds * 1e6, 1), round(2 * sent / count / seconds, 1)


def config_of(workspaces: int, runners: int) -> ConfigDocument:
    """Return a configuration with so many workspaces and runners."""
    policy = Path("examples/both.policy").read_text()
    return ConfigDocument(
        1,
        policy,
        tuple(WorkspaceConfig(f"workspace-{index}", "a" * 64) for index in range(workspaces)),
        tuple(
            RunnerConfig(
                f"runner-{index}", f"10.1.0.{index}:9000", "zone-a", "model-1", "", 1, True
            )
            for index in range(runners)
        ),
        tuple(f"{index:032x}" for index in range(64)),
    )


def claim_bytes() -> float:
    """Return the mean stored size of a claim with its outcome, in bytes."""
    records = tuple(
        ClaimRecord(
            f"{index:032x}",
            "f" * 24,
            f"{index:016x}",
            1.8e9,
            Outcome(200, "application/json", "x" * 110),
        )
        for index in range(100)
    )
    return len(orjson.dumps(shard_to_json(ShardObject(1, "i", "w", records)))) / 100


def messages() -> dict[str, Any]:
    """Return the messages that are sent for one request."""
    request = request_of(7, 100)
    return {
        "Ask": Ask("base/0", "instance-12", request, VERDICT),
        "Granted": Granted("instance-12", request.request_id, "engine-12", 0, ""),
        "Close": Close("base/0", request.request_id, 120, True, PrefixMark(9, 1_200)),
        "ProgressBatch": ProgressBatch(
            tuple(Progress("base/0", f"{index:016x}-1", 100) for index in range(2))
        ),
    }


def measure() -> Slopes:
    """Measure all costs."""
    sizes = (8, 64, 410)
    by_runners = {str(runners): decision_us(runners, 100) for runners in (5, 8, 16)}
    by_workspaces = {
        str(workspaces): decision_us(16, workspaces)[0] for workspaces in (10, 500, 3_500)
    }
    member = {size: membership_costs(size, 10.0 if size < 100 else 3.0) for size in sizes}
    sample = messages()
    frames = {
        name: encode(Envelope("instance-1", "instance-2", time.time_ns(), message), KEY)
        for name, message in sample.items()
    }
    configs = {size: config_of(*size) for size in ((10, 8), (500, 100), (3_500, 790))}
    raws = {f"{a}+{b}": orjson.dumps(config_to_json(config)) for (a, b), config in configs.items()}
    policy = parse_policy(Path("examples/both.policy").read_text())
    facts = Facts("summary", "w", "m", 5, 5, 0.0, 1)
    count = 500
    return Slopes(
        {name: pair[0] for name, pair in by_runners.items()},
        by_workspaces,
        by_runners["16"][1],
        {
            str(size): time_us(lambda size=size: owner_of("g/1", instances(size)), 200)  # type: ignore[misc]
            for size in sizes
        },
        {str(size): member[size][0] for size in sizes},
        {str(size): member[size][1] for size in sizes},
        {str(size): memory_kb(lambda size=size: _seeded_member(size)) for size in sizes},  # type: ignore[misc]
        round(memory_kb(lambda: _length_classes(count)) / count, 2),
        round(memory_kb(lambda: busy_controller(16, 50, count)) / count, 2),
        {
            name: time_us(lambda message=message: _encode(message), 2_000)  # type: ignore[misc]
            for name, message in sample.items()
        },
        {
            name: time_us(lambda frame=frame: decode(frame[4:], KEY, KINDS), 2_000)  # type: ignore[misc]
            for name, frame in frames.items()
        },
        {name: len(frame) for name, frame in frames.items()},
        time_us(lambda: evaluate(policy, facts), 20_000),
        {name: len(raw) for name, raw in raws.items()},
        {name: time_us(lambda raw=raw: orjson.loads(raw), 20) / 1e3 for name, raw in raws.items()},  # type: ignore[misc]
        {f"{a}+{b}": memory_kb(lambda a=a, b=b: config_of(a, b)) for a, b in configs},  # type: ignore[misc]
        round(claim_bytes(), 1),
    )


def _seeded_member(count: int) -> MembershipController:
    """Return a member that knows count instances."""
    members = instances(count)
    node = MembershipController(members[0], 1, random.Random(1))
    node.handle(Seeds(tuple(members)), 0.0)
    return node


def _length_classes(count: int) -> LearnedLengths:
    """Return a length model with count classes."""
    lengths = LearnedLengths()
    for index in range(count):
        lengths.record_progress(request_of(index, count), 0, 10)
        lengths.expected_tokens(request_of(index, count))
    return lengths


def _encode(message: Any) -> bytes:
    """Encode one message."""
    return encode(Envelope("instance-1", "instance-2", 1, message), KEY)


def groups_at_full_size(runners: int, models: int) -> int:
    """Return the number of groups that the runners are divided into."""
    from driftstall.core import Runner

    rows = [
        Runner(f"runner-{index}", "", "z", f"model-{index % models}") for index in range(runners)
    ]
    return len(group_runners(rows))


def main() -> int:
    """Measure, and print the results or write them for the page."""
    options = docopt(__doc__ or "")
    slopes = asdict(measure())
    slopes["groups_at_full_size"] = groups_at_full_size(790, 8)
    text = orjson.dumps(slopes, option=orjson.OPT_INDENT_2).decode()
    if options["--write"]:
        RESULTS.write_text(text + "\n")
    print(text if options["--json"] or options["--write"] else _table(slopes))
    return 0


def _table(slopes: dict[str, Any]) -> str:
    """Return the figures as lines."""
    lines = []
    for name, value in slopes.items():
        if isinstance(value, dict):
            value = "  ".join(f"{size}: {figure}" for size, figure in value.items())
        lines.append(f"{name:<28}{value}")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
