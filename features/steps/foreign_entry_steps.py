"""Test how malformed objects of other writers in the platform are decoded."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

import orjson
from behave import given, then, when
from gevent.server import StreamServer
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from driftstall.decisions.store_versions import StoreVersion
from driftstall.platform import feeds
from driftstall.platform.documents import DocumentFault, read_routing, read_upstream
from driftstall.platform.feeds import routing_feed, upstream_feed
from driftstall.platform.names import KIND_CONFIG, NAME_CONFIG
from driftstall.platform.store import Listing, Store, StoredObject
from features.worlds.gateway_world import document
from features.worlds.upstream_samples import entry_spec

CHANGES = 600
WHOLE = entry_spec("10.0.0.1:80") | {"born": 1_784_909_545_123}

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "6", "10.0.0.1:80", "\ud800"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
"""Any JSON value."""


def same_kind(value: Any, other: Any) -> bool:
    """Return True if a value has the type that an upstream itself writes for that field."""
    if isinstance(other, str):
        return isinstance(value, str)
    return isinstance(value, (int, float)) and not isinstance(value, bool)


@then("no drawn change of a whole entry is taken for an upstream, from seed {number:d}")
def changed_entries(context: Any, number: int) -> None:
    """Remove a field of a valid entry, or replace it by a value of another type."""
    assert read_upstream("i-1", StoreVersion(1), WHOLE).born == WHOLE["born"]
    fields = st.sampled_from(sorted(WHOLE))

    @seed(number)
    @settings(max_examples=CHANGES, deadline=None, database=None)
    @for_all(fields, values, st.booleans())
    def check(name: str, value: Any, leave_out: bool) -> None:
        changed = dict(WHOLE)
        del changed[name]
        if leave_out and name == "born":
            return
        if not leave_out:
            if same_kind(value, WHOLE[name]):
                return
            changed[name] = value
        try:
            found = read_upstream("i-1", StoreVersion(1), changed)
        except DocumentFault:
            return
        raise AssertionError(f"decoded as {found}: {changed}")

    check()


def read_document(kind: str, spec: Any) -> None:
    """Decode a document with the decoder of its feed."""
    stored = StoredObject("current", StoreVersion(1), spec)
    decoders: dict[str, Any] = {
        "an upstream": lambda: read_upstream("i-1", StoreVersion(1), spec),
        "routes": lambda: read_routing(spec),
        "a policy": lambda: feeds.decode_policy_text(stored),
        "an instance": lambda: feeds._decode_instance(stored),
        "a cordon": lambda: feeds._decode_cordon(stored),
    }
    decoders[kind]()


SAMPLES: dict[str, Any] = {
    "an upstream": WHOLE,
    "routes": document(3),
    "a policy": {"text": "policy"},
    "an instance": {"address": "1.2.3.4:1", "peer_address": "1.2.3.4:2", "zone": "a"},
    "a cordon": {},
}


@then("a drawn document of {kind} is decoded or reported, and nothing else, from seed {number:d}")
def generated_documents(context: Any, kind: str, number: int) -> None:
    """Decode generated documents, and samples with one value replaced anywhere."""

    @seed(number)
    @settings(max_examples=CHANGES, deadline=None, database=None)
    @for_all(values, st.randoms(use_true_random=False), st.booleans())
    def check(value: Any, source: Any, replaced: bool) -> None:
        spec = replace_random_part(SAMPLES[kind], value, source) if replaced else value
        try:
            read_document(kind, spec)
        except DocumentFault:
            return

    check()


def replace_random_part(sample: Any, value: Any, source: Any) -> Any:
    """Return a copy of a sample with one random part replaced by a value."""
    if isinstance(sample, dict) and sample:
        name = source.choice(sorted(sample))
        return sample | {name: replace_random_part(sample[name], value, source)}
    if isinstance(sample, list) and sample:
        index = source.randrange(len(sample))
        changed = replace_random_part(sample[index], value, source)
        return [*sample[:index], changed, *sample[index + 1 :]]
    return value


@then("an entry with {field} {value} is not used")
def field_not_used(context: Any, field: str, value: str) -> None:
    """Decode a valid entry with that field changed."""
    assert_unused("i-1", WHOLE | {field: orjson.loads(value)})


@then('an entry under the name "{name}" is not used')
def name_not_used(context: Any, name: str) -> None:
    """Decode a valid entry under that name."""
    assert_unused(name.replace("\\r\\n", "\r\n"), WHOLE)


def assert_unused(name: str, spec: Any) -> None:
    """Check that decoding an entry raises DocumentFault."""
    try:
        found = read_upstream(name, StoreVersion(1), spec)
    except DocumentFault:
        return
    raise AssertionError(f"decoded as {found}")


# Rows of the platform's answers.


def row(name: Any, revision: Any, spec: Any = WHOLE) -> dict[str, Any]:
    """Return an object in the platform's JSON form."""
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


@given(
    "a store whose list holds a whole entry, rows that cannot be read, and bytes that are no text"
)
def torn_list(context: Any) -> None:
    """Serve a list in two pages; the last row of the first has only a name."""
    rows = [row("i-1", 3), 5, {"metadata": 1}, row("i-2", "4"), row("i-3", True), row("i-4", None)]
    first = orjson.dumps({"items": rows, "more": True, "at": 9})
    first = first.replace(b'"v1"', b'"v\xff1"')
    second = orjson.dumps({"items": [row("i-5", 6, WHOLE | {"slots": "6"})], "at": 9})
    context.asked = []
    pages = [first, second]

    def serve(connection: Any, _: Any) -> None:
        context.asked.append(connection.recv(65_536).split(b" ")[1].decode())
        body = pages[len(context.asked) - 1]
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        connection.sendall(head.encode() + body)
        connection.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.add_cleanup(server.stop)
    context.feed = upstream_feed(Store(f"127.0.0.1:{server.server_port}"))


@then("the list gives the whole entry alone, and goes on after its last name")
def one_alone(context: Any) -> None:
    """Read the list; the bytes that are not UTF-8 stand in a text field of the valid entry."""
    found = context.feed.list()
    assert [upstream.name for upstream in found.items] == ["i-1"], found
    assert context.asked[1].endswith("after=i-4"), context.asked


@when("the platform tells of a change that cannot be read")
def torn_change(context: Any) -> None:
    """Let a watch return a malformed change, and count the following lists."""
    context.lists = 0
    original = context.store.list

    def count(kind: str, *, stale: bool = False) -> Listing:
        context.lists += 1
        listing: Listing = original(kind, stale=stale)
        return listing

    raw = {"events": [{"object": row("u1", None), "gone": True}], "at": 11}
    context.store.list = count
    context.store.watch = lambda kind, at, wait_s: Store.watch(context.store, kind, at, wait_s)
    with patch.object(Store, "_read", lambda self, path, timeout_s=0.0: raw):
        context.follower.step()
    context.follower.step()


@then("the list was read again")
def read_again(context: Any) -> None:
    """Check the number of lists."""
    assert context.lists == 1


class SameStore(Store):
    """A store whose list always has the same malformed entry."""

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return the list."""
        return Listing(
            (StoredObject("i-1", StoreVersion(1), WHOLE | {"slots": "6"}),), StoreVersion(2)
        )


@given("a store that lists the same unreadable entry again and again")
def same_entry(context: Any) -> None:
    """Create the store's upstream feed."""
    context.feed = upstream_feed(SameStore("127.0.0.1:1"))


@when("it was listed {times:d} times")
def listed_often(context: Any, times: int) -> None:
    """Read the list repeatedly and record the log lines."""
    context.lines = []
    with patch.object(feeds, "log_event", lambda *values, **fields: context.lines.append(values)):
        for _ in range(times):
            assert context.feed.list().items == ()


@then("its reason was logged once")
def logged_once(context: Any) -> None:
    """Check that one line names the malformed field."""
    ((_, line),) = context.lines
    assert "slots" in line, line


class TwoConfigs(Store):
    """A store with two routing documents."""

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return the list."""
        assert kind == KIND_CONFIG
        own = StoredObject(NAME_CONFIG, StoreVersion(1), document(3))
        return Listing((own, StoredObject("other", StoreVersion(2), document(9))), StoreVersion(2))


@given("a store with routes of version 3, and another object with routes of version 9")
def two_configs(context: Any) -> None:
    """Create the store's routing feed."""
    context.feed = routing_feed(TwoConfigs("127.0.0.1:1"))


@then("only version 3 is read")
def only_own(context: Any) -> None:
    """Check that only the document under the configured name is read."""
    assert [item.document.version for item in context.feed.list().items] == [3]
