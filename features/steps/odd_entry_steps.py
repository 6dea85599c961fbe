"""Store entries that common decoders reject, and check that all others stay in force."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final
from unittest.mock import patch

import gevent
import orjson
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from driftstall.decisions.upstream_probes import ReportedState
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.dialect import MoveFailed
from driftstall.platform import feeds, names
from driftstall.platform.client import PlatformClient
from driftstall.platform.crashes import PlatformCrashStore
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.engine_calls import move, probe_state
from driftstall.platform.json_rows import decode_answer
from driftstall.platform.store import Store, _build_path
from features.steps.command_steps import run_module
from features.steps.foreign_entry_steps import SAMPLES
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import document
from features.worlds.odd_contents import CONTENTS
from features.worlds.upstream_samples import entry_spec, upstream_of
from stand_ins.routed import RoutedUpstream

ENDLESS_WAIT_S: Final = 30.0
ROWS: Final = 400
"""Drawn rows for each feed."""
NUMBERS: Final = itertools.count(1)
KINDS: Final = {
    "an upstream": names.KIND_UPSTREAMS,
    "an instance": names.KIND_INSTANCES,
    "a cordon": names.KIND_CORDONS,
    "a policy": names.KIND_POLICY,
    "a routing version": names.KIND_CONFIG,
    "recorded crashes": names.KIND_CRASHES,
}


def store_entry(context: Any, kind: str, content: str) -> None:
    """Store an entry of which one field has the given content."""
    field, text = CONTENTS[content]
    marker = f"raw-{next(NUMBERS)}"
    context.store_bench.platform.control({"raw": {marker: text}})
    spec = entry_spec("127.0.0.1:9", "portal", slots=6) | {"peer_address": "127.0.0.1:9"}
    assert context.store.create(kind, f"a-{marker}", spec | {field: marker}) is not None


@given("the store holds an upstream's entry with {content}")
def holds_entry(context: Any, content: str) -> None:
    """Store the entry before any process starts."""
    store_entry(context, names.KIND_UPSTREAMS, content)


@when("an entry of {kind} with {content} is stored, and another upstream joins")
def store_and_join(context: Any, kind: str, content: str) -> None:
    """Store the entry, and one of an upstream that has just started."""
    store_entry(context, KINDS[kind], content)
    context.joined = RoutedUpstream("i-9")
    context.add_cleanup(context.joined.stop)
    spec = entry_spec(context.joined.address, "portal", slots=6)
    assert context.store.create(names.KIND_UPSTREAMS, "i-9", spec) is not None


@then("the instance uses the upstream that joined")
def uses_joined(context: Any) -> None:
    """Send calls until one has reached it."""
    node = context.nodes[0]

    def is_used() -> bool:
        node.ask("/safe/a", f"joined-{next(NUMBERS)}")
        return bool(context.joined.seen)

    wait_for_processes("a call at the upstream that joined", is_used)
    assert node.process.poll() is None, node.process.returncode


# Drawn rows.


@dataclass(frozen=True, slots=True)
class Reader:
    """How the rows of a kind are read, and a valid spec of that kind."""

    kind: str
    sample: Any
    read: Callable[[Store], list[str]]
    """Returns the names of the rows that were decoded."""


def feed_reader(kind: str, sample: str, feed: Callable[[Store], Any], name: str) -> Reader:
    """Return the reader of a feed; `name` is the attribute that holds a decoded row's name."""
    return Reader(
        kind, SAMPLES[sample], lambda store: [getattr(i, name) for i in feed(store).list().items]
    )


CRASHES: Final = {"crashes": [{"upstream": "u", "atMs": 2**53, "underWay": True}]}
READERS: Final = (
    feed_reader(names.KIND_UPSTREAMS, "an upstream", feeds.upstream_feed, "name"),
    feed_reader(names.KIND_INSTANCES, "an instance", feeds.instance_feed, "instance_id"),
    feed_reader(names.KIND_CORDONS, "a cordon", feeds.cordon_feed, "zone"),
    Reader(
        names.KIND_CRASHES,
        CRASHES,
        lambda store: [report.fingerprint for report in PlatformCrashStore(store).read()],
    ),
    Reader(
        names.KIND_UPSTREAMS,
        SAMPLES["an upstream"],
        lambda store: [member.member_id for member in client_of(store).members()],
    ),
)


def client_of(store: Store) -> PlatformClient:
    """Return the own interface's client of a store."""
    client = PlatformClient("127.0.0.1:1")
    client._store = store
    return client


texts = st.recursive(
    st.sampled_from(
        ["null", "true", "-0", "1e999", "-1e999", "NaN", '"\\ud800"', '"\xff"', '"\\u0000"']
        + ["9" * 400, "-" + "9" * 400, "9" * 5_000, "0." + "9" * 5_000, "{}", "[]", '"x"']
        + ["[" * depth + "]" * depth for depth in (500, 950, 990, 1_010, 1_020, 1_100, 100_000)]
        + ['{"a":' * 5_000 + "1" + "}" * 5_000]
    ),
    lambda inner: (
        st.lists(inner, max_size=3).map(lambda items: f"[{','.join(items)}]")
        | st.lists(inner, max_size=3).map(
            lambda items: "{" + ",".join(f'"k":{item}' for item in items) + "}"
        )
    ),
    max_leaves=4,
)
"""JSON texts, also such as common decoders reject."""


def draw_row(kind: Reader, text: str, source: Any) -> str:
    """Return a valid row with one part of it replaced by a text."""
    spec = dict(kind.sample) if isinstance(kind.sample, dict) else {}
    row = {"metadata": {"name": "odd", "revision": 5}, "spec": spec | {"more": 1}}
    place = source.choice([row, row["metadata"], row["spec"]])
    place[source.choice(sorted(place))] = "@"
    return orjson.dumps(row).decode().replace('"@"', text)


@then("drawn rows of each feed leave their neighbours in force, from seed {number:d}")
def rows_alone(context: Any, number: int) -> None:
    """Read a list in which a drawn row stands between two valid ones."""
    for reader in READERS:
        check_reader(reader, number)


def check_reader(reader: Reader, number: int) -> None:
    """Check one reader with drawn rows."""

    @seed(number)
    @settings(max_examples=ROWS, deadline=None, database=None)
    @for_all(texts, st.randoms(use_true_random=False))
    def check(text: str, source: Any) -> None:
        odd = draw_row(reader, text, source)
        spec = orjson.dumps(reader.sample).decode()
        valid = [
            f'{{"metadata":{{"name":"{name}","revision":{at}}},"spec":{spec}}}'
            for at, name in ((1, "first"), (9, "last"))
        ]
        body = f'{{"items":[{valid[0]},{odd},{valid[1]}],"more":false,"at":9}}'
        found = reader.read(StoreOf(body.encode("utf-8", "surrogatepass")))
        assert {"first", "last"} <= set(found), (found, odd[:300])

    check()


class StoreOf(Store):
    """A store whose lists have a given body."""

    def __init__(self, body: bytes) -> None:
        """Initialize with the body of all answers."""
        super().__init__("127.0.0.1:1")
        self._body = body

    def list(self, kind: str, *, stale: bool = False) -> Any:
        """Decode the body as if it had arrived."""
        with patch("driftstall.platform.store.Exchange.open", lambda *_: AnswerOf(self._body)):
            return super().list(kind, stale=stale)

    def delete(self, kind: str, name: str) -> None:
        """Delete nothing, but build the path as a call does."""
        _build_path(kind, name)


@dataclass(frozen=True, slots=True)
class AnswerOf:
    """An exchange that has a whole answer."""

    body: bytes
    status: int = 200

    @property
    def headers(self) -> dict[bytes, bytes]:
        """Return no headers."""
        return {}

    def header(self, _: str) -> str:
        """Return no header."""
        return ""

    def read_document(self) -> bytes:
        """Return the body."""
        return self.body


# Values that are passed on.


@then("a configuration with {content} in an unknown field is decoded, here and at a peer")
def unknown_field(context: Any, content: str) -> None:
    """Read the configuration from the store, and its text as a peer does."""
    spec = orjson.dumps(document(3) | {"more": "@"}).decode()
    odd = spec.replace('"@"', CONTENTS[content][1])
    row = f'{{"metadata":{{"name":"{names.NAME_CONFIG}","revision":1}},"spec":{odd}}}'
    feed = feeds.routing_feed(StoreOf(f'{{"items":[{row}],"more":false,"at":9}}'.encode()))
    (found,) = feed.list().items
    assert found.document.version == 3
    assert PlatformDialect().read_routing(found.text) == found.document


@then('an object named "\\ud800" in any list of instances, cordons or crashes is skipped')
def unprintable_name(context: Any) -> None:
    """Read a list that has a valid object under such a name between others."""
    for reader in READERS[1:4]:
        spec = orjson.dumps(reader.sample).decode()
        rows = ",".join(
            f'{{"metadata":{{"name":"{name}","revision":1}},"spec":{spec}}}'
            for name in ("first", "\\ud800", "last")
        )
        found = reader.read(StoreOf(f'{{"items":[{rows}],"more":false,"at":9}}'.encode()))
        assert found == ["first", "last"], found


@then("a copy whose engine answers with the handle {handle} has failed")
def odd_handle(context: Any, handle: str) -> None:
    """Order a copy from an engine that answers with the handle."""
    body = b'{"handle":%b}' % handle.replace("LONG", "h" * 5_000).encode()
    source, target = upstream_of("u1"), upstream_of("u2")
    with patch("driftstall.platform.engine_calls.Exchange.open_on", lambda *_: AnswerOf(body)):
        found = move(source, "r1", target, connect=lambda _: None, last=False)  # type: ignore[arg-type, return-value]
    assert isinstance(found, MoveFailed), found


@given("the store holds an odd {kind}")
def holds_odd_document(context: Any, kind: str) -> None:
    """Replace the policy or the configuration by an object of another writer."""
    at = (
        (names.KIND_POLICY, names.NAME_POLICY)
        if kind == "policy"
        else (names.KIND_CONFIG, names.NAME_CONFIG)
    )
    assert context.store.replace(*at, ["odd"]) or context.store.create(*at, ["odd"])


@when('the command "{arguments}" runs on the store')
def run_on_store(context: Any, arguments: str) -> None:
    """Run the operators' command."""
    context.done = run_module("driftstall.cli.main", f"{arguments} --store={context.store_address}")


@given("a store that pages its list after a name that is {name}")
def paged_store(context: Any, name: str) -> None:
    """Prepare the pages; a store that replaces invalid names answers with the same page again."""
    is_repeated = "again" in name
    odd = b"\xff" if is_repeated else b"\\ud800"
    spec = orjson.dumps(SAMPLES["an upstream"])
    rows = [
        b'{"metadata":{"name":"%b","revision":1},"spec":%b}' % (text, spec)
        for text in (b"first", odd, b"last")
    ]
    first = b'{"items":[%b,%b],"more":true,"at":9}' % (rows[0], rows[1])
    second = b'{"items":[%b],"more":false,"at":9}' % rows[2]
    context.pages = [first, first] if is_repeated else [first, second]


@then("the list ends with all valid rows, or with an error, after {pages:d} pages at most")
def list_ends(context: Any, pages: int) -> None:
    """Read the list; a further page than those prepared would raise IndexError."""
    answers = iter(context.pages)
    with patch("driftstall.platform.store.Exchange.open", lambda *_: AnswerOf(next(answers))):
        try:
            found = feeds.upstream_feed(Store("127.0.0.1:1")).list()
        except PlatformUnavailable:
            return
    assert [item.name for item in found.items] == ["first", "last"], found


@then("a list at revision {revision} is reported as unavailable")
def odd_revision(context: Any, revision: str) -> None:
    """Read a list with that revision."""
    text = revision.replace("LONG", "9" * 400)
    try:
        StoreOf(f'{{"items":[],"more":false,"at":{text}}}'.encode()).list("kind")
    except PlatformUnavailable:
        return
    raise AssertionError("the list was read")


@then("drawn reports of an engine give a state, from seed {number:d}")
def any_report(context: Any, number: int) -> None:
    """Probe an engine with drawn reports."""

    @seed(number)
    @settings(max_examples=ROWS, deadline=None, database=None)
    @for_all(texts, st.sampled_from(["state", "born", "leaves_ms", "more"]))
    def check(text: str, field: str) -> None:
        whole = {"state": "ready", "born": 5, "leaves_ms": 3}
        body = orjson.dumps(whole | {field: "@"}).decode().replace('"@"', text)
        answer = AnswerOf(body.encode("utf-8", "surrogatepass"))
        with patch("driftstall.platform.engine_calls.Exchange.open_on", lambda *_: answer):
            found = probe_state(upstream_of("u1"), connect=lambda _: None)  # type: ignore[arg-type, return-value]
        assert isinstance(found, ReportedState)

    check()


@then("an answer with {count} escaped quotes and no end is rejected")
def endless_string(context: Any, count: str) -> None:
    """Decode a text in which each quote could begin a string."""
    raw = b'{"a":"' + b'\\"' * int(count.replace(",", "")) + b"}"
    with gevent.Timeout(ENDLESS_WAIT_S, AssertionError("not decided")):
        try:
            decode_answer(raw, lambda: gevent.sleep(0))
        except ValueError:
            return
    raise AssertionError("decoded")
