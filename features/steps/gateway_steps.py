"""Check the gateway before stand-ins of its upstreams."""

from __future__ import annotations

import time
from typing import Any

import gevent
from behave import given, then, when

from driftstall.gateway.loads import Use
from driftstall.gateway.model import Route, SplitPart
from driftstall.gateway.protection import Protection
from driftstall.gateway.routes import pick_service
from driftstall.platform.documents import read_routing
from features.worlds.gateway_world import (
    HOST,
    KEY,
    GatewayWorld,
    document,
    parse_answer,
    read_answer,
    request_bytes,
    wait_for,
)
from stand_ins.routed import RoutedUpstream, Script, event_bytes

FORGED = {
    "Hold": "h1",
    "Pin_Ms": "9000",
    "Kv_Backup": "127.0.0.1:1",
    "Kv_From": "127.0.0.1:1/x",
    "Kv_Fetch": "127.0.0.1:1",
    "Priority": "0",
    "Expect_Version": "7",
    "Last_Event_Id": "3",
    "X_Driftstall_Tenant": "plains",
    "X_Driftstall_Expect_Instance": "another",
}


def world_of(context: Any) -> GatewayWorld:
    """Return the scenario's world."""
    found: GatewayWorld = context.world
    return found


def script_all(world: GatewayWorld, request_id: str, scripts: list[Script]) -> list[Script]:
    """Give the scripts to whichever upstreams get the request, in turn."""
    for one in (*world.plain, *world.engines):
        one.scripts[request_id] = scripts
    return scripts


def runs(world: GatewayWorld, request_id: str) -> list[RoutedUpstream]:
    """Return the upstreams that have run a request, once for each run."""
    return [one for one in (*world.plain, *world.engines) for _ in range(one.runs(request_id))]


@given("a gateway before two plain upstreams and three engines")
def start_world(context: Any) -> None:
    """Start the world; it ends with the scenario."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)


@when('"{path}" is asked as "{request_id}"')
def ask(context: Any, path: str, request_id: str) -> None:
    """Ask and keep the answer."""
    began = time.monotonic()
    context.answer = world_of(context).ask(path, request_id)
    context.took = time.monotonic() - began


@when('a request for "{path}" with forged headers is asked as "{request_id}"')
def ask_forged(context: Any, path: str, request_id: str) -> None:
    """Ask with headers that only the system may set."""
    context.answer = world_of(context).ask(path, request_id, **FORGED)


@when('a request for "{path}" with key "{which}" is asked as "{request_id}"')
def ask_with_key(context: Any, path: str, request_id: str, which: str) -> None:
    """Ask with a right, a wrong or no key."""
    key = {"right": f"Bearer {KEY}", "wrong": "Bearer wrong", "none": ""}[which]
    context.answer = world_of(context).ask(path, request_id, Authorization=key)


@then('the answer is {status:d} "{body}" with the upstream\'s seal')
def whole_answer(context: Any, status: int, body: str) -> None:
    """Compare with what the upstream sent."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (status, body.encode(), True), answer
    assert answer.headers["x-driftstall-response-seal"] == "seal", answer


@then("the answer is {status:d} and promises nothing")
def no_promise(context: Any, status: int) -> None:
    """Check an answer after which the request may have run."""
    answer = context.answer
    assert answer.status == status, answer
    assert "retry-after" not in answer.headers, answer
    assert "x-driftstall-response-seal" not in answer.headers, answer


@then("the answer is {status:d} and tells that nothing ran")
def not_run(context: Any, status: int) -> None:
    """Check a refusal."""
    assert context.answer.status == status, context.answer
    assert b'"not run"' in context.answer.body, context.answer


@then("the answer is 503 and tells when to come back")
def come_back(context: Any) -> None:
    """Check a refusal that names a time."""
    assert context.answer.status == 503, context.answer
    assert 0 < float(context.answer.headers["retry-after"]) < 2, context.answer


@then("it came within {seconds:g} s")
def came_within(context: Any, seconds: float) -> None:
    """Compare the time that the answer took."""
    assert context.took <= seconds, context.took


@then('one upstream has run "{request_id}" with method {method}, target "{target}" and its body')
def passed_on(context: Any, request_id: str, method: str, target: str) -> None:
    """Look at what the upstream has received."""
    (upstream,) = runs(world_of(context), request_id)
    (seen,) = [one for one in upstream.seen if one.request_id == request_id]
    assert (seen.method, seen.target, seen.body) == (method, target, b"body"), seen


@then('"{request_id}" has run on {count:d} upstreams')
def has_run_on(context: Any, request_id: str, count: int) -> None:
    """Count runs."""
    assert len(runs(world_of(context), request_id)) == count


@then('no forged header has reached the upstream of "{request_id}"')
def no_forged(context: Any, request_id: str) -> None:
    """Look for what the caller must not set."""
    (upstream,) = runs(world_of(context), request_id)
    headers = upstream.seen[-1].headers
    for name, value in FORGED.items():
        assert headers.get(name.replace("_", "-").lower()) != value, (name, headers)


@then('the upstream of "{request_id}" was told workspace "{name}" and its own id, and no key')
def was_told(context: Any, request_id: str, name: str) -> None:
    """Look at what the gateway sets."""
    (upstream,) = runs(world_of(context), request_id)
    headers = upstream.seen[-1].headers
    assert headers["x-driftstall-tenant"] == name
    assert headers["x-driftstall-expect-instance"] == upstream.upstream_id
    assert 0 < int(headers["x-driftstall-deadline-ms"]) <= 3000
    assert "authorization" not in headers


@given('the first upstream of "{request_id}" will answer 500')
def one_failure(context: Any, request_id: str) -> None:
    """Let one upstream fail."""
    script_all(world_of(context), request_id, [Script(status=500, body=b"failed")])


@given('the first 2 upstreams of "{request_id}" will answer 500')
def two_failures(context: Any, request_id: str) -> None:
    """Let two upstreams fail."""
    failures = [Script(status=500, body=b"failed"), Script(status=500, body=b"failed")]
    script_all(world_of(context), request_id, failures)


FAULTS = {
    "reset": Script(reset=True),
    "cut its answer short": Script(cut_after=2),
    "break off inside chunks": Script(unframed=True, cut_after=2),
    "answer another request first": Script(surplus_before=True),
    "send more after its answer": Script(surplus_after=True),
    "answer without a length": Script(unframed=True),
    "answer without a length and be reset": Script(unframed=True, cut_after=2),
    "hang": Script(hang=True),
}


@given('the upstream of "{request_id}" will {fault}')
def will(context: Any, request_id: str, fault: str) -> None:
    """Script one fault; the script is copied, as it holds the state of one request."""
    known = FAULTS[fault]
    script = Script(
        reset=known.reset,
        cut_after=known.cut_after,
        unframed=known.unframed,
        surplus_before=known.surplus_before,
        surplus_after=known.surplus_after,
        hang=known.hang,
    )
    context.script = script
    script_all(world_of(context), request_id, [script])


@given('the first upstream of "{request_id}" will turn it away')
@given('the first engine of "{request_id}" will turn it away')
def turned_away_once(context: Any, request_id: str) -> None:
    """Let one upstream turn the request away."""
    script_all(world_of(context), request_id, [Script(not_run=True)])


@given('all upstreams of "{request_id}" will turn it away')
def turned_away(context: Any, request_id: str) -> None:
    """Let all upstreams turn the request away."""
    script_all(world_of(context), request_id, [Script(not_run=True) for _ in range(8)])


@when('a caller asks "{path}" as "{request_id}" and leaves once it runs')
def ask_and_leave(context: Any, path: str, request_id: str) -> None:
    """Close the caller's connection while the upstream works."""
    world = world_of(context)
    connection = world.connect()
    connection.sendall(request_bytes(path, request_id))
    wait_for("the request runs", lambda: len(runs(world, request_id)) == 1)
    connection.close()


@then('the upstream\'s connection of "{request_id}" ends within {seconds:g} s')
def given_up(context: Any, request_id: str, seconds: float) -> None:
    """Wait for the upstream to see the end."""
    assert context.script.ended.wait(seconds)


@given("the first plain upstream is leaving")
def plain_leaves(context: Any) -> None:
    """Give notice of one plain upstream."""
    world = world_of(context)
    world.give_notice(world.plain[0])


@when("{count:d} calls are asked")
def ask_many(context: Any, count: int) -> None:
    """Ask one after another."""
    world = world_of(context)
    context.answers = [world.ask("/once/a", f"many-{index}") for index in range(count)]
    assert all(one.status == 200 for one in context.answers), context.answers


@then("the first plain upstream has run none of them")
def none_run(context: Any) -> None:
    """Look at the upstream that is leaving."""
    assert not world_of(context).plain[0].seen


@given("the first plain upstream was replaced at its address")
def replaced(context: Any) -> None:
    """Let another upstream answer at the address."""
    world_of(context).plain[0].upstream_id = "another"


@then("all are answered 200 and the new one has run none for the old")
def not_for_the_old(context: Any) -> None:
    """Look at the upstream that took the address over."""
    assert not world_of(context).plain[0].seen


@given("the configuration may be old")
def may_be_old(context: Any) -> None:
    """Let the instance be unsure of its configuration."""
    world_of(context).current = False


@given("no configuration has been read")
def no_configuration(context: Any) -> None:
    """Take the configuration away."""
    world = world_of(context)
    world.state.table = None
    world.state.configured.clear()


@given("a first configuration that comes while the request waits")
def configuration_comes(context: Any) -> None:
    """Take the configuration away and bring it back soon."""
    world = world_of(context)
    no_configuration(context)

    def bring() -> None:
        wait_for("the request waits", lambda: world.state.open_requests > 0)
        world.use(document())
        world.state.check_configured()

    gevent.spawn(bring)


@then('"{first}" leads to route "{first_name}" and "{second}" to "{second_name}"')
def leads_to(context: Any, first: str, first_name: str, second: str, second_name: str) -> None:
    """Look two paths up."""
    table = world_of(context).state.table
    assert table is not None
    for path, name in ((first, first_name), (second, second_name)):
        route = table.route(f"{HOST.upper()}:80", path)
        assert route is not None and route.name == name, (path, route)


@then("of 1000 requests on a route split 90 to 10 about 900 go to the first service")
def split(context: Any) -> None:
    """Count over evenly spread chances."""
    parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    raw = document()
    raw["routes"][0] |= {"trafficSplit": parts, "service": None}
    route: Route = read_routing(raw).routes[0]
    assert route.split == (SplitPart("a", 90.0), SplitPart("b", 10.0))
    chosen = [pick_service(route, index / 1000) for index in range(1000)]
    assert chosen.count("a") == 900


HEAD = f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nX-Driftstall-Request-Id: bad\r\n".encode()
INPUTS = {
    "two lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
    "a length beside chunks": HEAD
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a folded header": HEAD + b"A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
    "bare line ends": HEAD.replace(b"\r\n", b"\n") + b"\n",
    "a bad chunk size": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
    "an unknown transfer coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
    "a name with a blank before colon": HEAD + b"Content-Length : 4\r\n\r\nbody",
    "no host": b"GET /once/a HTTP/1.1\r\n\r\n",
    "two hosts": HEAD + b"Host: other.example\r\nContent-Length: 0\r\n\r\n",
    "two request ids": HEAD + b"X-Driftstall-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
    "a header of 10000 bytes": HEAD + b"A: " + b"a" * 10_000 + b"\r\n\r\n",
    "a length of 70000 bytes": HEAD + b"Content-Length: 70000\r\n\r\n",
    "a chunked body of 70000 bytes": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n11170\r\n"
    + b"a" * 70_000
    + b"\r\n0\r\n\r\n",
    "half a header and then nothing": HEAD[:-10],
}


@when("a caller sends {what}")
def send_input(context: Any, what: str) -> None:
    """Send malformed input and wait for the connection's end."""
    world = world_of(context)
    connection = world.connect()
    connection.sendall(INPUTS[what])
    context.other = world.ask("/once/a", "other")
    context.answer = read_answer(connection)
    connection.close()


@then("it is answered {status:d} and closed")
def answered_closed(context: Any, status: int) -> None:
    """Compare the answer."""
    assert context.answer.status == status, context.answer
    assert context.answer.headers["connection"] == "close"


@then("another caller is served meanwhile")
def others_served(context: Any) -> None:
    """Look at the other caller, and that nothing of the input has run."""
    assert context.other.status == 200
    assert not runs(world_of(context), "bad")


@when("two requests come in one packet")
def two_in_one(context: Any) -> None:
    """Send two requests at once."""
    connection = world_of(context).connect()
    keep = request_bytes("/once/a", "p1", Connection="keep-alive")
    connection.sendall(keep + request_bytes("/once/b", "p2"))
    context.both = b""
    connection.settimeout(5.0)
    while piece := connection.recv(65_536):
        context.both += piece
    connection.close()


@then("both are answered in order on the same connection")
def both_answered(context: Any) -> None:
    """Take both answers apart."""
    first, second = context.both.split(b"HTTP/1.1 ")[1:]
    for part, request_id in ((first, "p1"), (second, "p2")):
        answer = parse_answer(b"HTTP/1.1 " + part)
        assert answer.status == 200 and answer.whole, answer
        assert answer.headers["x-driftstall-request-id"] == request_id, answer


def stream_script(context: Any, request_id: str, script: Script) -> None:
    """Script the engine that gets a stream first."""
    context.script = script
    script_all(world_of(context), request_id, [script])


@given('the engine of "{request_id}" will break off after {count:d} events')
def breaks_after(context: Any, request_id: str, count: int) -> None:
    """Break a stream off between events."""
    stream_script(context, request_id, Script(break_after=count))


@given('the engine of "{request_id}" will break off inside event {number:d}')
def breaks_inside(context: Any, request_id: str, number: int) -> None:
    """Break a stream off inside an event."""
    stream_script(context, request_id, Script(break_after=number - 1, half_event=True))


@given('the engine of "{request_id}" will break off before its answer')
def breaks_before(context: Any, request_id: str) -> None:
    """Break the connection before the answer's head."""
    stream_script(context, request_id, Script(reset=True))


@given('the engine of "{request_id}" will repeat event {number:d}')
def repeats(context: Any, request_id: str, number: int) -> None:
    """Send one event twice."""
    stream_script(context, request_id, Script(repeat_event=number))


@given('the engine of "{request_id}" will skip event {number:d}')
def skips(context: Any, request_id: str, number: int) -> None:
    """Leave one event out."""
    stream_script(context, request_id, Script(skip_event=number))


@given('no engine keeps a copy of "{request_id}"')
def no_copies(context: Any, request_id: str) -> None:
    """Let engines keep no copies."""
    for one in world_of(context).engines:
        one.peers = {}


@when('stream "{request_id}" is asked')
def ask_stream(context: Any, request_id: str) -> None:
    """Ask for a stream and keep the answer."""
    context.answer = world_of(context).ask("/stream/a", request_id)


@then('all {count:d} events of "{request_id}" came once, in order, and the end')
def all_events(context: Any, count: int, request_id: str) -> None:
    """Compare the whole stream."""
    if hasattr(context, "asked"):
        context.answer = context.asked.get(timeout=5.0)
    wanted = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, wanted, True), answer


@then('{count:d} events of "{request_id}" came, in order, and no end')
def some_events(context: Any, count: int, request_id: str) -> None:
    """Compare a stream that was broken off."""
    wanted = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, wanted, False), answer


@then('"{request_id}" went on from its backup after event {number:d}')
def from_backup(context: Any, request_id: str, number: int) -> None:
    """Look at the second send."""
    upstreams = runs(world_of(context), request_id)
    resumed = [one for one in upstreams if "kv-from" in one.seen[-1].headers]
    assert len(upstreams) == 2 and len(resumed) == 1, upstreams
    headers = resumed[0].seen[-1].headers
    assert headers["kv-from"] == f"{resumed[0].address}/{request_id}", headers
    assert headers["last-event-id"] == str(number), headers


@given('stream "{request_id}" waits after event {number:d} and has no backup')
def waiting_stream(context: Any, request_id: str, number: int) -> None:
    """Start a stream that stands still until its gate opens."""
    world = world_of(context)
    world.state.loads.told("peer", full_engines(world), world.state.now())
    stream_script(context, request_id, Script(pause_after=number, events=max(5, number + 1)))
    context.asked_connection = world.connect()
    context.asked_connection.sendall(request_bytes("/stream/a", request_id))
    context.asked = gevent.spawn(read_answer, context.asked_connection)
    wait_for(
        "events have arrived",
        lambda: any(run.events >= number for run in world.state.runs.all),
    )
    (run,) = world.state.runs.all
    assert run.backup is None
    world.state.loads.forget("peer")
    context.engine = next(
        one for one in world.engines if one.upstream_id == run.upstream.upstream_id
    )


def full_engines(world: GatewayWorld) -> list[Any]:
    """Return sums that leave no room for copies."""
    return [Use(one.upstream_id, copies=30_000) for one in world.engines]


@when("its engine gives notice")
def gives_notice(context: Any) -> None:
    """Give notice, and let the engine break off once the stream was stopped."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("its engine gives notice and ends once a copy was made")
def notice_and_end(context: Any) -> None:
    """Give notice; the engine breaks off instead of taking the next step."""
    world, engine = world_of(context), context.engine

    def copy_and_end(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        context.script.gate.set()
        return 409, {}

    engine.move_answers = [engine.copy_run, *[copy_and_end for _ in range(20)]]
    world.give_notice(engine)


@given("moves will be answered {status:d}")
def moves_fail(context: Any, status: int) -> None:
    """Let every move fail."""
    for one in world_of(context).engines:
        one.move_answers = [lambda _: (status, {}) for _ in range(20)]


@when("its engine gives notice and goes on")
def notice_and_goes_on(context: Any) -> None:
    """Give notice; the engine lives long enough for the stream to end."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("a move was tried", lambda: len(context.engine.move_answers) < 20)
    context.script.gate.set()


@then('"{request_id}" went on from its moved memory after event {number:d}')
def from_move(context: Any, request_id: str, number: int) -> None:
    """Look at the second send."""
    upstreams = runs(world_of(context), request_id)
    (resumed,) = [one for one in upstreams if "kv-from" in one.seen[-1].headers]
    headers = resumed.seen[-1].headers
    assert headers["kv-from"] == f"{context.engine.address}/copy-{request_id}", headers
    assert headers["last-event-id"] == str(number), headers


@when("its caller leaves")
def caller_leaves(context: Any) -> None:
    """Close the caller's connection."""
    context.asked.kill()
    context.asked_connection.close()
    wait_for("it is noticed", lambda: not world_of(context).state.runs.all)
    context.script.gate.set()


@given("all engines are leaving")
def engines_leave(context: Any) -> None:
    """Give notice of all engines."""
    world = world_of(context)
    for one in world.engines:
        world.give_notice(one)


@given("an open stream and a stop that was asked for")
def stream_and_stop(context: Any) -> None:
    """Start a stream, then ask the instance to stop."""
    waiting_stream(context, "s1", 2)
    world_of(context).drain.begin()


@then("a new long stream is told to come back elsewhere")
def new_stream_refused(context: Any) -> None:
    """Ask for a stream that would outlast the grace time."""
    context.answer = world_of(context).ask("/stream/a", "s2")
    come_back(context)


@then("a new short stream is still served")
def short_stream_served(context: Any) -> None:
    """Ask for a stream that ends well before."""
    answer = world_of(context).ask("/stream/a", "s3", X_Driftstall_Token_Count="1000,40")
    assert answer.status == 200 and answer.whole, answer


@then("a new call is still served")
def new_call_served(context: Any) -> None:
    """Ask for a call."""
    answer = world_of(context).ask("/once/a", "r2")
    assert answer.status == 200, answer


@then("the open stream ends whole")
def open_stream_ends(context: Any) -> None:
    """Let the stream go on."""
    context.script.gate.set()
    all_events(context, 5, "s1")


@given("all engines' memory is full for now")
def memory_full(context: Any) -> None:
    """Let a peer tell of full engines."""
    world = world_of(context)
    uses = [Use(one.upstream_id, running=5, tokens=34_000) for one in world.engines]
    world.state.loads.told("peer", uses, world.state.now())


@when('stream "{request_id}" is asked, and room is made once it waits')
def room_is_made(context: Any, request_id: str) -> None:
    """Ask, and free the engines while the request is open."""
    world = world_of(context)
    context.asked = world.ask_later("/stream/a", request_id)
    wait_for("the request is open", lambda: world.state.open_requests == 1)
    context.ran_before = len(runs(world, request_id))
    world.state.loads.forget("peer")


@then("it was placed only after there was room")
def placed_after(context: Any) -> None:
    """Nothing had run before room was made."""
    assert context.ran_before == 0


@when("copies are kept")
def copies_kept(context: Any) -> None:
    """Let copies be made."""
    world = world_of(context)
    Protection(world.state, world.mover).start()


@then('an engine that "{request_id}" does not run on holds its copy')
def copy_held(context: Any, request_id: str) -> None:
    """Wait for the copy."""
    world = world_of(context)
    (run,) = world.state.runs.all
    wait_for("a copy is kept", lambda: run.kept is not None)
    others = [one for one in world.engines if one is not context.engine]
    assert any(f"copy-{request_id}" in one.copies for one in others)
    assert run.kept is not None
    assert world.state.loads.use(run.kept.copy.upstream.upstream_id, world.state.now()).copies


@then("the copy is dropped when its engine fills")
def copy_dropped(context: Any) -> None:
    """Fill the engines and wait."""
    world = world_of(context)
    (run,) = world.state.runs.all
    memory_full(context)
    wait_for("the copy is dropped", lambda: run.kept is None)
    wait_for("its memory is free", lambda: not any(one.copies for one in world.engines))
    context.script.gate.set()


@when("a notice was given and copies are kept")
def notice_and_copies(context: Any) -> None:
    """Make what is needed for copies, right after a notice."""
    world = world_of(context)
    world.state.notice_at = world.state.now()
    context.protection = Protection(world.state, world.mover)


@then('"{request_id}" has no copy')
def no_copy_made(context: Any, request_id: str) -> None:
    """Ask which runs want a copy: none does so soon after a notice, all do later."""
    world = world_of(context)
    assert not context.protection.wanting()
    world.state.notice_at = float("-inf")
    assert [run.request_id for run in context.protection.wanting()] == [request_id]
    context.script.gate.set()
