"""Test on real processes that prompt parts which crash upstreams are quarantined."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import UpstreamError
from driftstall.platform.store import Store
from features.steps.crashing_request_steps import (
    HEAD_START_S,
    TimedFleet,
    ordinary_stream,
    refuses,
    start_store,
)
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import Received
from stand_ins.crashing import CrashingUpstream
from stand_ins.prompts import part_ids
from stand_ins.routed import ReceivedRequest, Script

OWN: Final = "own"
"""Stands for a part that each request has to itself."""
PROMPT_HEADER: Final = "x-driftstall-prompt-prefix"
NUMBERS: Final = itertools.count(1)
SOUND_CALLERS: Final = 10
FATAL_CALLERS: Final = 3
FATAL_PAUSE_S: Final = (0.2, 1.0)
SETTLED_S: Final = 3.0
"""Time from the first fatal request until sound ones must be served as before."""
MIN_SOUND: Final = 20
"""Sound requests in each period, so that shares can be compared."""
FATAL_CRASHES: Final = 5


@dataclass(frozen=True, slots=True)
class SoundAttempt:
    """An attempt of a sound request, with its result."""

    sent_at: float
    answer: Received | None

    @property
    def is_whole(self) -> bool:
        """Return True if it was served at this attempt."""
        return self.answer is not None and self.answer.status == 200 and self.answer.whole


@dataclass(frozen=True, slots=True)
class FatalArrival:
    """The arrival of a request with a fatal part at an engine."""

    at: float
    part: str


class PartFleet(TimedFleet):
    """A fleet whose engines crash under prompt parts, wherever these stand before the last one."""

    def __init__(
        self, count: int, store: Store, fatal_parts: Iterable[str], script: Callable[[], Script]
    ) -> None:
        """Start the engines and list them in the store."""
        self.fatal_parts = set(fatal_parts)
        self.ends_inside_event = False
        self.fatal_arrivals: list[FatalArrival] = []
        self.part_crashes: dict[str, list[float]] = {part: [] for part in self.fatal_parts}
        self._last_fatal: dict[str, str] = {}
        super().__init__(count, store, script)

    def _list(self, upstream: CrashingUpstream) -> None:
        """Set how an engine ends, and create its entry in the store."""
        upstream.ends_inside_event = self.ends_inside_event
        super()._list(upstream)

    def end_inside_event(self) -> None:
        """Let all engines end in the middle of an event."""
        self.ends_inside_event = True
        for upstream in self.all:
            upstream.ends_inside_event = True

    def _is_fatal(self, seen: ReceivedRequest) -> bool:
        """Record the arrival of a fatal part, and return True if there is one."""
        fatal = self.fatal_parts.intersection(part_ids(seen.headers.get(PROMPT_HEADER, ""))[:-1])
        now = time.monotonic()
        self.fatal_arrivals += [FatalArrival(now, part) for part in sorted(fatal)]
        for part in fatal:
            self._last_fatal[seen.headers["x-driftstall-expect-instance"]] = part
        return bool(fatal)

    def _replace(self, crashed: CrashingUpstream) -> None:
        """Record the part that has crashed an engine, and replace the engine."""
        self.part_crashes[self._last_fatal[crashed.upstream_id]].append(time.monotonic())
        super()._replace(crashed)


def build_prompt(parts: str) -> str:
    """Return the header value of a prompt, with a part of its own for each OWN."""
    ids = [f"{next(NUMBERS):08x}" if part == OWN else part for part in parts.split(",")]
    return ",".join(f"{part}:200" for part in ids)


@given("the store's stand-in with a routing configuration")
def store_with_configuration(context: Any) -> None:
    """Start the store."""
    start_store(context)


@given(
    '{count:d} engines that end by {end} under the prompt part "{part}", with {responses} responses'
)
def start_engines(context: Any, count: int, end: str, part: str, responses: str) -> None:
    """Start the engines."""
    start_part_fleet(context, count, end, [part], responses)


@given(
    '{count:d} engines that end by {end} under the prompt parts "{part}" and "{other}", with'
    " {responses} responses"
)
def start_engines_of_two(
    context: Any, count: int, end: str, part: str, other: str, responses: str
) -> None:
    """Start engines with two fatal parts."""
    start_part_fleet(context, count, end, [part, other], responses)


def start_part_fleet(
    context: Any, count: int, end: str, parts: Iterable[str], responses: str
) -> None:
    """Start engines with some fatal parts, and a kind of end and of response."""
    script = partial(_stream_script, is_unframed=responses == "unframed")
    context.engines = PartFleet(count, context.store, parts, script)
    context.add_cleanup(context.engines.stop)
    if end == "half an event":
        context.engines.end_inside_event()


def _stream_script(*, is_unframed: bool) -> Script:
    """Return the script of a sound stream of one second."""
    script = ordinary_stream()
    script.unframed = is_unframed
    return script


def ask(context: Any, parts: str) -> Received | None:
    """Send one request with a path and a prompt of its own to a random instance."""
    number = next(NUMBERS)
    try:
        return random.choice(context.nodes).ask(
            f"/stream/p-{number}", f"p-{number}", X_Driftstall_Prompt_Prefix=build_prompt(parts)
        )
    except (OSError, UpstreamError):
        return None


@when(
    'callers send sound prompts "{sound}" while others send fatal ones "{fatal}" for {seconds:g} s'
)
def send_beside(context: Any, sound: str, fatal: str, seconds: float) -> None:
    """Send sound prompts for a while alone, then fatal ones beside them."""
    context.attempts = []
    until = time.monotonic() + HEAD_START_S + seconds

    def send_sound(prompts: Iterable[str]) -> None:
        for parts in itertools.cycle(prompts):
            if time.monotonic() >= until:
                return
            sent_at = time.monotonic()
            context.attempts.append(SoundAttempt(sent_at, ask(context, parts)))
            gevent.sleep(random.uniform(0.0, 0.2))

    def send_fatal(prompts: Iterable[str]) -> None:
        for parts in itertools.cycle(prompts):
            if time.monotonic() >= until:
                return
            ask(context, parts)
            gevent.sleep(random.uniform(*FATAL_PAUSE_S))

    jobs = [gevent.spawn(send_sound, sound.split()) for _ in range(SOUND_CALLERS)]
    gevent.sleep(HEAD_START_S)
    context.fatal_from = time.monotonic()
    jobs += [gevent.spawn(send_fatal, fatal.split()) for _ in range(FATAL_CALLERS)]
    gevent.joinall(jobs, raise_error=True)


@then(
    "at most {most:d} sends of fatal prompts reach engines later than {seconds:g} s after the fifth"
    " crash"
)
@then(
    "at most {most:d} sends of fatal prompts reach engines later than {seconds:g} s after the fifth"
    " crash of each part"
)
def few_late_sends(context: Any, most: int, seconds: float) -> None:
    """Count the late sends of each part."""
    for part, crashes in context.engines.part_crashes.items():
        if len(crashes) < FATAL_CRASHES:
            continue
        bound = sorted(crashes)[FATAL_CRASHES - 1] + seconds
        late = [
            arrival
            for arrival in context.engines.fatal_arrivals
            if arrival.part == part and arrival.at > bound
        ]
        assert len(late) <= most, f"{part}: {len(late)} sends, {len(crashes)} crashes"


@then(
    "sound prompts are served {share:g} as often from {seconds:g} s after the first fatal one as"
    " before"
)
def sound_served(context: Any, share: float, seconds: float) -> None:
    """Compare the shares of sound requests that were served at their first attempt."""
    before = [one for one in context.attempts if one.sent_at < context.fatal_from - 1.0]
    after = [one for one in context.attempts if one.sent_at > context.fatal_from + seconds]
    assert min(len(before), len(after)) >= MIN_SOUND, (len(before), len(after))
    served_before = sum(one.is_whole for one in before) / len(before)
    served_after = sum(one.is_whole for one in after) / len(after)
    failed = [one.answer for one in after if not one.is_whole]
    assert served_after >= share * served_before, (served_before, served_after, failed[:2])


@then('prompts "{first}" and "{second}" are served at the first attempt')
def each_served(context: Any, first: str, second: str) -> None:
    """Send one request with each prompt to each instance."""
    for node in context.nodes:
        for parts in (first, second):
            answer = _ask_node(node, parts)
            assert answer.status == 200 and answer.whole, (node.name, parts, answer)


def _ask_node(node: Any, parts: str) -> Received:
    """Send one request with a prompt of its own to an instance."""
    number = next(NUMBERS)
    answer: Received = node.ask(
        f"/stream/p-{number}", f"p-{number}", X_Driftstall_Prompt_Prefix=build_prompt(parts)
    )
    return answer


@given('prompts "{parts}" are sent until all instances refuse them')
def sent_until_refused(context: Any, parts: str) -> None:
    """Send prompts to each instance until that instance refuses them."""
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} refuses", lambda node=node: refuses(_ask_node(node, parts))
        )
    assert len(context.engines.crashes) <= FATAL_CRASHES, len(context.engines.crashes)


@then(
    'within {seconds:g} s of being ready it refuses prompts "{parts}", and sends them to no engine'
)
def refuses_parts(context: Any, seconds: float, parts: str) -> None:
    """Send a prompt to each restarted instance after that time."""
    gevent.sleep(seconds)
    before = len(context.engines.fatal_arrivals)
    for node in context.restarted:
        answer = _ask_node(node, parts)
        assert refuses(answer), (node.name, answer)
    assert len(context.engines.fatal_arrivals) == before


@then(
    'within {seconds:g} s of being ready they refuse prompts "{parts}", and send them to no engine'
)
def refuse_parts(context: Any, seconds: float, parts: str) -> None:
    """Check each restarted instance."""
    refuses_parts(context, seconds, parts)
