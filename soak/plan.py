"""Kinds of faults and fleet changes, the plans of a run, and their steps."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """Kinds of steps: faults to inject and changes of the fleet or the configuration."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store link"
    UPSTREAM_LINK = "upstream link"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store forgets"
    STORE_LOSES = "store loses answers"
    LEAVE = "upstream leaves"
    REMOVE = "upstream removed"
    CRASH = "upstream crashes"
    CONFIGURE = "configuration changes"
    BREAK_OFF = "upstreams break requests off"
    """All upstreams of a service interrupt some of their requests, at any stage."""
    SILENCE = "open connections to the store fall silent"
    """Open connections are silent for good, without a reset; new ones work."""
    SILENCE_ONE = "those of one instance fall silent"
    CORDON = "a zone is cordoned"
    START_AGAIN = "upstream starts again under its name"
    """The restarted upstream is cold and has no state."""
    STORE_RETURNS = "store comes back from an older copy"
    """Operators and upstreams write their entries again soon afterwards."""
    LEAVE_UNSEEN = "engines leave one after another while the store is silent"
    """The engines report it when probed; the store takes their notices once it answers again."""
    LEAVE_SIGNALLED = "upstream signals with its responses that it leaves"
    """The upstream's entry in the store stays ready until the upstream ends."""
    REJECT = "upstream rejects requests with a back-off"
    REJECT_ALL = "all upstreams of a service do"
    TURN_AWAY = "upstreams of a service turn requests away"
    """All of them, for a moment, and they request no back-off."""
    REJECT_FOLLOWERS = "the store rejects its followers while the configuration changes"
    LIMIT = "upstream names a limit"
    """Its responses announce a rate limit in requests a second, later a lower one."""
    TRUNCATE = "upstreams of a service end responses early"
    """Some responses, in each way: within the connection's order or by a reset, a silence, the end
    or a restart of the process."""
    BURST = "callers send many streams at once"
    PARTITION = "instances are partitioned from all upstreams"
    """Callers, the store and their peers still reach them."""
    SIGNAL_START = "signals reach an instance that starts"
    """Reloads and stops, in series; several steps may overlap."""
    HOLD_ADDRESS = "an instance starts while an address of it is in use"
    RESTART_BESIDE = "an instance is stopped and its successor starts beside it"
    SPOIL_START = "an instance starts while its settings file is missing, empty or cut"
    SPOIL_SETTINGS = "the settings file of a running instance is missing, empty or cut"
    LATE_STORE = "an instance starts while the store is down"
    ODD_ENTRY = "another writer stores an entry that decoders reject"
    """An upstream leaves meanwhile, and its successor joins."""


class Plan(StrEnum):
    """Plans of a run, by the faults that they focus on."""

    MIXED = "mixed"
    """All kinds of faults, overlapping."""
    LEAVING = "leaving"
    """Upstreams that are leaving and continue to serve for long, with few other faults: the bounds
    on an instance's knowledge apply only after some seconds without a disturbance."""
    ZONES = "zones"
    """Cordons of zones and restarts of upstreams, with few other faults."""
    CRASHING = "crashing"
    """Requests that crash each engine that runs them and are retried, beside identical ordinary
    streams, with few other faults."""
    RETURNING = "returning"
    """Restores of the store from an older snapshot, with few other faults."""
    UNSEEN = "unseen"
    """Engines that leave in series while the store is silent, with few other faults."""
    SIGNALLING = "signalling"
    """Upstreams that signal that they are leaving or reject requests with a back-off, overlapping,
    with kills, pauses and a silent store."""
    LIMITED = "limited"
    """Upstreams that announce a rate limit for a while, with few other faults."""
    CONTENDED = "contended"
    """Bursts of short and long streams that queue for engine memory, while instances are killed and
    engines leave, beside plain upstreams that report few slots and a changing pace."""
    FOLLOWING = "following"
    """Rejections of all instances that follow the store, with few other faults; a large fleet."""
    PARTITIONED = "partitioned"
    """Instances, often most of them, that are partitioned from all upstreams, while instances are
    killed and stopped and upstreams leave."""
    REJECTING = "rejecting"
    """Bursts of streams while all upstreams of a service turn requests away, and instances are
    killed: many requests need a retry at once."""
    DISTURBED = "disturbed"
    """Starts with signals inside them, addresses in use, spoiled settings or a late store, and odd
    entries of other writers, while upstreams leave and join."""
    TRUNCATED = "truncated"
    """Upstreams that frame responses by a length, by chunks or by neither, and end some of them
    early: they close or reset the connection or fall silent, or their process ends, at once or
    later, or restarts at its address. Some heads have a status that HTTP does not know."""


class PartitionFault(StrEnum):
    """Faults of the links between an instance and all upstreams."""

    HANG = "hang"
    """Open connections fall silent, and new ones are not established."""
    RESET = "reset"
    """Open connections are reset, and new ones are refused."""
    REFUSE_NEW = "refuse new"
    """Open connections go on; new ones are refused."""


class Fault(StrEnum):
    """Faults of a network link."""

    DELAY = "delay"
    RESET = "reset"
    CUT_OUT = "cut out"
    """Requests are lost; responses pass."""
    CUT_BACK = "cut back"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Step:
    """A step of the plan."""

    at_s: float
    """Seconds from the start of traffic."""
    kind: Kind
    target: int
    """Index of the instance or upstream, for kinds that have one."""
    for_s: float
    fault: Fault = Fault.DELAY
    targets: tuple[int, ...] = ()
    """Indices of the partitioned instances."""
    partition_fault: PartitionFault = PartitionFault.HANG
