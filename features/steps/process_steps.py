"""Drive real processes; every wait is for a condition."""

from __future__ import annotations

import functools
import itertools
import re
import signal
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.cli.client import Caller, ChatEnd, ChatPart, call_json
from driftstall.const import KEY_CLAIMS
from driftstall.controllers.claims import SHARDS
from driftstall.exceptions import UpstreamError
from driftstall.helpers.trace import replay
from driftstall.platform.client import PlatformClient
from driftstall.util.http import Exchange
from measures.bench import Bench, wait_until, workspace_key

TOKEN = re.compile(r"(\S+)#(\d+) ")
KEY = workspace_key("north")
NUMBERS = itertools.count()


def live(bench: Bench) -> list[Any]:
    """Return the instances that run."""
    return [one for one in bench.instances if one.running]


class Answer:
    """Read one streamed answer in a greenlet."""

    def __init__(self, bench: Bench, length: int, kind: str = "chat") -> None:
        """Start to ask."""
        seeds = tuple(one.address for one in live(bench))
        self.caller = Caller(seeds, KEY)
        self.text = ""
        self.end: ChatEnd | None = None
        self.length = length
        content = f"please number {next(NUMBERS)} [length={length}]"
        body = {
            "model": "base",
            "max_tokens": 4_000,
            "messages": [{"role": "user", "content": content}],
        }
        self.job = gevent.spawn(self._read, body, kind)

    def _read(self, body: dict[str, Any], kind: str) -> None:
        for part in self.caller.chat(body, kind):
            if isinstance(part, ChatPart):
                self.text += part.text
            else:
                self.end = part

    def wait_begun(self) -> None:
        """Wait for the first tokens."""
        wait_until("the answer has begun", lambda: self.text.count("#") >= 5)

    def check(self) -> None:
        """Wait for the end and check that the answer is whole, once, of one generation."""
        self.job.join(timeout=60)
        assert self.end is not None, "there is no end"
        assert self.end.problem is None, self.end.problem
        tokens = TOKEN.findall(self.text)
        assert len({name for name, _ in tokens}) == 1, "generations are mixed"
        assert [int(index) for _, index in tokens] == list(range(self.length)), "not whole"


def service_call(context: Any, method: str, key: str, **more: str) -> tuple[int, bytes]:
    """Call a plain service through the first live instance."""
    headers = {"Authorization": f"Bearer {KEY}", "X-Call-Id": more.pop("call", key)}
    if key:
        headers["Idempotency-Key"] = key
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    address = live(context.bench)[0].address
    exchange = Exchange.open(address, method, "/services/portal/x", headers, b"{}", 30.0)
    return exchange.status, exchange.read()


def runs(bench: Bench, call: str) -> int:
    """Return how often a call ran, as the upstreams count it."""
    return sum(one.stats()["runs"].get(call, 0) for one in bench.services)


def owner(bench: Bench) -> Any:
    """Return the instance that owns the engines' group."""
    name = bench.status(bench.instances.index(live(bench)[0]))["groups"]["base/0"]["owner"]
    return next(one for one in bench.instances if one.name == name)


def received(bench: Bench, name: str) -> int:
    """Return how many generations an engine was given."""
    engine = next(one for one in bench.engines if one.name == name)
    return int(engine.stats().get("received", 0))


@given("{count:d} long answers are being streamed")
@when("{count:d} long answers are being streamed")
def stream_answers(context: Any, count: int) -> None:
    """Start answers and wait until all have begun."""
    context.answers = [Answer(context.bench, 400) for _ in range(count)]
    for one in context.answers:
        one.wait_begun()


@when("the instance that streams is killed")
def kill_entry(context: Any) -> None:
    """Kill the instance that the callers were located to."""
    address = context.answers[0].caller.locate()[0]
    entry = next(one for one in context.bench.instances if one.address == address)
    entry.popen.kill()
    entry.popen.wait()


@when("the owner of the engines is {what} for a while")
def freeze_owner(context: Any, what: str) -> None:
    """Stop the owner's process, and let it go on later."""
    process = owner(context.bench)
    process.signal(signal.SIGSTOP)
    gevent.spawn_later(4.0, process.signal, signal.SIGCONT)


@when("every instance in turn is stopped as planned and replaced")
def rolling_stop(context: Any) -> None:
    """Stop and replace each instance while answers are streamed."""
    bench = context.bench
    for process in live(bench):
        context.answers.append(Answer(bench, 400))
        context.answers[-1].wait_begun()
        fresh = bench.start_instance()
        bench.wait_listening(fresh)
        at = len(bench.instances) - 1
        wait_until("the new one is ready", functools.partial(_is_ready, bench, at))
        process.signal(signal.SIGTERM)
        wait_until(f"{process.name} has ended", functools.partial(_has_ended, process), 60)
        assert process.popen.returncode == 0, process.popen.returncode


def _is_ready(bench: Bench, at: int) -> bool:
    """Tell whether an instance is ready."""
    return bool(bench.status(at)["ready"])


def _has_ended(process: Any) -> bool:
    """Tell whether a process has ended."""
    return not process.running


@then("all answers arrive whole, once, in order, each from one generation")
def answers_whole(context: Any) -> None:
    """Check every answer."""
    for one in context.answers:
        one.check()


@when('an engine is told to "{fault}"')
def script_engine(context: Any, fault: str) -> None:
    """Script a fault at both engines."""
    scripts: dict[str, dict[str, Any]] = {
        "cut streams": {"cut_after": 20},
        "send twice": {"duplicate": True},
        "lose tokens": {"skip": 3},
        "hang": {"hang_s": 4.0},
        "refuse": {"refuse": 1},
        "behave": {"duplicate": False, "skip": 0, "cut_after": 0},
    }
    for engine in context.bench.engines:
        engine.control(scripts[fault])


@when("the first engine freezes but still answers, and {count:d} callers ask")
def freeze_engine(context: Any, count: int) -> None:
    """Freeze one engine for long, then ask; some are sent there."""
    context.bench.engines[0].control({"freeze_s": 45.0})
    context.answers = [Answer(context.bench, 20) for _ in range(count)]


@then("the frozen engine was asked, and is let go on")
def thaw(context: Any) -> None:
    """Check that the fault struck, and end it."""
    engine = context.bench.engines[0]
    assert engine.stats()["running"] + engine.stats().get("cancelled", 0) > 0
    engine.control({"freeze_s": 0.0})


@then("every recorded trace replays without a difference")
def traces_replay(context: Any) -> None:
    """Replay what real instances recorded through a fresh core."""
    paths = sorted(context.bench.folder.glob("*.trace"))
    lines = {path.name: path.read_text().splitlines() for path in paths}
    assert sum('"Granted"' in line for one in lines.values() for line in one) >= 10
    for name, one in lines.items():
        assert replay(one) == [], name


@when("a caller asks and vanishes")
def vanish(context: Any) -> None:
    """Open a stream by hand and close the connection."""
    address = live(context.bench)[0].address
    body = (
        b'{"model":"base","stream":true,"max_tokens":4000,'
        b'"messages":[{"role":"user","content":"[length=3000]"}]}'
    )
    exchange = Exchange.open(
        address, "POST", "/v1/chat/completions", {"Authorization": f"Bearer {KEY}"}, body, 30.0
    )
    exchange.read_event()
    exchange.close()


@then("the engines are soon free again")
def engines_free(context: Any) -> None:
    """Wait until no generation is left."""
    engines = context.bench.engines
    wait_until("free", lambda: sum(one.stats()["running"] for one in engines) == 0)


@when('runner "{name}" says that it is leaving')
def runner_leaves(context: Any, name: str) -> None:
    """Let a runner leave, by its own word."""
    engine = next(one for one in context.bench.engines if one.name == name)
    engine.control({"leaving": True})


@when('the platform lists runner "{name}" as {state}')
def list_runner(context: Any, name: str, state: str) -> None:
    """Change the platform's list."""
    context.bench.list_member(name, {"role": "runner", "address": "", "state": state})


@then('within 3 s all instances give "{name}" no new work')
def no_new_work(context: Any, name: str) -> None:
    """Check the instances' view, then that the engine's count stands still under load."""
    bench = context.bench

    def known() -> bool:
        states = []
        for one in live(bench):
            rows = bench.status(bench.instances.index(one))["runners"]
            states.append(next(row["state"] for row in rows if row["runner"] == name))
        return set(states) == {"leaving"}

    took = wait_until("all know", known)
    assert took <= 3.0, f"it took {took:.1f} s"
    before = received(bench, name)
    answers = [Answer(bench, 5) for _ in range(20)]
    for one in answers:
        one.check()
    assert received(bench, name) == before


@then('runner "{name}" gets work again once it is back')
def back(context: Any, name: str) -> None:
    """Let a runner come back and wait until it is given work."""
    bench = context.bench
    bench.list_member(name, {"role": "runner", "address": "", "state": "live"})
    next(one for one in bench.engines if one.name == name).control({"leaving": False})
    before = received(bench, name)

    def works() -> bool:
        for one in [Answer(bench, 5) for _ in range(6)]:
            one.check()
        return received(bench, name) > before

    wait_until("work again", works)


@when('the platform is told "{fault}"')
def script_platform(context: Any, fault: str) -> None:
    """Script the platform's faults."""
    scripts: dict[str, dict[str, Any]] = {
        "down": {"down_s": 6.0},
        "up": {"down_s": 0.0, "slow_s": 0.0, "lose_answers": 0},
        "lose one answer": {"lose_answers": 1},
        "slow": {"slow_s": 0.7},
    }
    context.bench.platform.control(scripts[fault])


@when('a call with key "{key}" is made while the answer is lost')
def call_lost(context: Any, key: str) -> None:
    """Let the service run the call and lose its answer."""
    for one in context.bench.services:
        one.control({"drop_answers": 1})
    context.reply = service_call(context, "POST", key)
    for one in context.bench.services:
        one.control({"drop_answers": 0})


@when('a call with key "{key}" is made')
def call_with_key(context: Any, key: str) -> None:
    """Make one claimed call."""
    context.reply = service_call(context, "POST", key)


@when('a {method} marked as not repeatable is made as "{call}" while the answer is lost')
def call_unkeyed(context: Any, method: str, call: str) -> None:
    """Make a call without a key, whose answer is lost."""
    for one in context.bench.services:
        one.control({"drop_answers": 1})
    context.reply = service_call(context, method, "", call=call, Driftstall_Repeatable="false")
    for one in context.bench.services:
        one.control({"drop_answers": 0})


@then('the answer is {status:d} and says "{text}"')
def answer_is(context: Any, status: int, text: str) -> None:
    """Compare the answer."""
    assert context.reply[0] == status, context.reply
    assert text.encode() in context.reply[1], context.reply


@then('call "{call}" has run {count:d} times')
def has_run(context: Any, call: str, count: int) -> None:
    """Ask the upstreams."""
    assert runs(context.bench, call) == count, runs(context.bench, call)


@when('the outcome of "{key}" is stored')
def outcome_stored(context: Any, key: str) -> None:
    """Wait until the platform holds the outcome."""
    client = PlatformClient(context.bench.platform.address)

    def stored() -> bool:
        for shard in range(SHARDS):
            value = client.get(f"{KEY_CLAIMS}/{shard}").value
            for claim in value["claims"] if value else ():
                if claim[4] is not None and key in claim[4][2]:
                    return True
        return False

    wait_until("stored", stored)


@when("all instances are killed and replaced")
def replace_all(context: Any) -> None:
    """Kill every instance at once and start new ones."""
    bench = context.bench
    killed = live(bench)
    for one in killed:
        one.popen.kill()
    for one in killed:
        one.popen.wait()
        bench.list_member(one.name, {"role": "entry", "address": one.address, "state": "gone"})
    for _ in range(3):
        bench.wait_listening(bench.start_instance())
    bench.wait_ready(3)


@when('policy "{text}" is submitted and the platform fails right after')
def submit_and_fail(context: Any, text: str) -> None:
    """Submit a change, then take the platform away."""
    bench = context.bench
    policy = Path("examples/both.policy").read_text().replace('"both"', f'"{text}"')
    at = bench.instances.index(live(bench)[0])
    answer = bench.operator(at, "PUT", "/operator/config", {"policy": policy})
    bench.platform.control({"down_s": 30.0})
    assert answer.status == 200, answer
    context.generation = answer.value["generation"]


@when("an instance joins during the outage")
def join(context: Any) -> None:
    """Start an instance that can only ask its peers; they know it by a seed message."""
    context.bench.platform.control({"down_s": 0.0})
    row = context.bench.start_instance()
    context.bench.wait_listening(row)
    context.bench.platform.control({"down_s": 30.0})


@then('policy "{text}" is in force everywhere within 5 s')
def in_force(context: Any, text: str) -> None:
    """Wait until every instance shows it."""
    bench = context.bench

    def everywhere() -> bool:
        names = {bench.status(bench.instances.index(one))["policy"] for one in live(bench)}
        return names == {text}

    took = wait_until("in force", everywhere)
    assert took <= 5.0, f"it took {took:.1f} s"


@when("two operators submit at once on the same base")
def race(context: Any) -> None:
    """Let two operators race."""
    bench = context.bench
    ats = [bench.instances.index(one) for one in live(bench)[:2]]
    base = bench.status(ats[0])["generation"]
    policy = Path("examples/both.policy").read_text()
    changes = [
        {"policy": policy.replace('"both"', f'"race-{at}"'), "base_generation": base} for at in ats
    ]
    jobs = [
        gevent.spawn(bench.operator, at, "PUT", "/operator/config", change)
        for at, change in zip(ats, changes, strict=True)
    ]
    context.race = [one.get() for one in jobs]


@then("one is accepted and the other gets a conflict that shows the current one")
def raced(context: Any) -> None:
    """Compare the two answers."""
    statuses = sorted(one.status for one in context.race)
    assert statuses == [200, 409], statuses
    loser = next(one for one in context.race if one.status == 409)
    winner = next(one for one in context.race if one.status == 200)
    assert loser.value["current"]["generation"] == winner.value["generation"]


@then("the submission is accepted all the same")
def settled(context: Any) -> None:
    """Submit while one answer is lost: reading back settles it."""
    bench = context.bench
    at = bench.instances.index(live(bench)[0])
    policy = Path("examples/both.policy").read_text().replace('"both"', '"settled"')
    change = {"policy": policy, "submission": "settled-1"}
    answer = bench.operator(at, "PUT", "/operator/config", change)
    assert answer.status == 200, answer


@then('asking for its id says "{known}", and for another "{other}"')
def ask_for_ids(context: Any, known: str, other: str) -> None:
    """Ask how submissions ended; one that is not stored may still arrive."""
    bench = context.bench
    at = bench.instances.index(live(bench)[0])
    for name, state in (("settled-1", known), ("never-sent", other)):
        answer = bench.operator(at, "GET", f"/operator/submissions/{name}")
        assert answer.value["state"] == state, (name, answer)


GARBAGE = (
    b"\x00\xff" * 400,
    b"GET / HTTP/9.9\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\nshort",
    b"GET / HTTP/1.1\r\n" + b"A: " + b"a" * 70_000 + b"\r\n\r\n",
    b"\x00\x00\x00\x20" + b"z" * 32,
    b"\xff\xff\xff\xff" + b"z" * 100,
)


@when("malformed input is sent to every listener")
def malformed(context: Any) -> None:
    """Send garbage to callers', operators' and peers' listeners, and hang up."""
    process = live(context.bench)[0]
    config = process.popen.args
    peer = next(one.split("=")[1] for one in config if one.startswith("--peer-listen"))
    for address in (process.address, process.operator, peer):
        host, port = address.split(":")
        for data in GARBAGE:
            with socket.create_connection((host, int(port)), 2.0) as connection:
                try:
                    connection.sendall(data)
                    connection.shutdown(socket.SHUT_WR)
                    connection.settimeout(2.0)
                    while connection.recv(4096):
                        pass
                except OSError:
                    continue


@then("bad requests get a clear 4xx")
def bad_requests(context: Any) -> None:
    """Send well-formed HTTP with wrong content."""
    address = live(context.bench)[0].address
    cases: list[tuple[Any, int]] = [
        ({}, 400),
        ({"model": 5, "messages": []}, 400),
        ({"model": "base", "messages": [{"role": "user"}]}, 400),
        ({"model": "base", "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}, 400),
        ({"model": "nobody", "messages": [{"role": "user", "content": "x"}]}, 404),
        ([1, 2], 400),
    ]
    for body, status in cases:
        answer = call_json(address, "POST", "/v1/chat/completions", KEY, body)
        assert answer.status == status, (body, answer)
        assert answer.value["ran"] == "not run", answer
    assert call_json(address, "POST", "/v1/chat/completions", "wrong", {}).status == 401
    assert call_json(address, "GET", "/nowhere", KEY).status == 404
    big = b'{"model":"' + b"x" * 3_000_000 + b'"}'
    headers = {"Authorization": f"Bearer {KEY}"}
    try:
        exchange = Exchange.open(address, "POST", "/v1/chat/completions", headers, big, 10.0)
        assert exchange.status == 413, exchange.status
    except UpstreamError:
        # The server answered and hung up while the body was still on its way.
        return


@then("all instances still run and serve")
def still_serve(context: Any) -> None:
    """Check that nothing was lost for others."""
    assert len(live(context.bench)) >= 3
    Answer(context.bench, 10).check()


@then("a resume token of one workspace opens nothing for another")
def foreign_token(context: Any) -> None:
    """Try another workspace's token."""
    answer = Answer(context.bench, 5)
    address = live(context.bench)[0].address
    body = b'{"model":"base","stream":true,"messages":[{"role":"user","content":"[length=3]"}]}'
    headers = {"Authorization": f"Bearer {KEY}"}
    exchange = Exchange.open(address, "POST", "/v1/chat/completions", headers, body, 30.0)
    token = exchange.read_event().split(b"\n")[0][4:].decode()
    exchange.close()
    other = {
        "Authorization": f"Bearer {workspace_key('plains')}",
        "Last-Event-ID": token,
    }
    foreign = Exchange.open(address, "POST", "/v1/chat/completions", other, b"", 30.0)
    assert foreign.status == 400, foreign.status
    answer.check()
