"""Compute the figures of docs/CAPACITY.md from the measured costs, for a fleet at full size."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import orjson

from driftstall.controllers.claims import MAX_CLAIMS, SHARDS

RESULTS: Final = Path("docs/results/capacity.json")
RELAY: Final = Path("docs/results/relay.json")

DAEMONS: Final = 410
REQUESTS_PER_S: Final = 5_900.0
TOKENS_PER_S: Final = 1_500_000.0
WORKSPACES: Final = 3_500
KINDS: Final = 3
CHANGES_PER_DAY: Final = 530
OPEN_S: Final = 12.0
"""Time that a generation is open: 1,500,000 tokens a second for 5,900 requests a second are 254
tokens for each, at up to 58 ms a token."""
PROGRESS_PERIOD_S: Final = 0.25 * (DAEMONS / 16 - 1)
READERS: Final = 3
WATCH_S: Final = 20.0
CLAIM_WRITES_PER_S: Final = 70.0
LEASE_WRITES_PER_S: Final = 0.5
BUDGET_CPU_PERCENT: Final = 3.3
BUDGET_MB: Final = 64.0
BUDGET_BYTES: Final = 9_000.0
PLATFORM_READS: Final = 2_000.0
PLATFORM_WRITES: Final = 100.0


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a budget."""

    what: str
    mean: float
    owner: float
    """The value for a daemon that owns one group; mean is that of an average daemon."""
    how: str


def cpu_lines(slopes: dict[str, Any], relay: dict[str, Any]) -> list[Line]:
    """Return the processor time of the control plane, in percent of a core."""
    each = REQUESTS_PER_S / DAEMONS
    group = REQUESTS_PER_S / slopes["groups_at_full_size"]
    encode, decode = slopes["encode_us"], slopes["decode_us"]
    entry_us = slopes["policy_us"] + encode["Ask"] + decode["Granted"] + encode["Close"]
    decide_us = slopes["decision_us_by_runners"]["8"] + slopes["close_us"]
    owner_us = decode["Ask"] + decide_us + encode["Granted"] + decode["Close"]
    progress = slopes["groups_at_full_size"] / PROGRESS_PERIOD_S
    progress_us = encode["ProgressBatch"] + decode["ProgressBatch"]
    owner_progress = DAEMONS / PROGRESS_PERIOD_S * decode["ProgressBatch"]
    member = slopes["membership_us_per_s"]["410"] / 1e4
    return [
        Line(
            "idle loops, polls, watch",
            relay["idle_cpu_percent"],
            relay["idle_cpu_percent"],
            "measured with one runner",
        ),
        Line(
            "asking for grants",
            each * entry_us / 1e4,
            each * entry_us / 1e4,
            "requests x (policy, Ask, Granted, Close)",
        ),
        Line(
            "giving grants",
            each * owner_us / 1e4,
            group * owner_us / 1e4,
            "requests x (decode, decide, close, encode)",
        ),
        Line(
            "progress",
            progress * progress_us / 1e4,
            owner_progress / 1e4,
            "one batch to each owner each 6.2 s",
        ),
        Line("membership", member, member, "one probe a second, measured at 410"),
    ]


def byte_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return the bytes a second that a daemon sends for the control plane."""
    each = REQUESTS_PER_S / DAEMONS
    group = REQUESTS_PER_S / slopes["groups_at_full_size"]
    size = slopes["message_bytes"]
    entry = each * (size["Ask"] + size["Close"])
    progress = slopes["groups_at_full_size"] / PROGRESS_PERIOD_S * size["ProgressBatch"]
    member = slopes["membership_bytes_per_s"]["410"] / 2
    return [
        Line("asks and closes", entry, entry, "requests x message bytes"),
        Line(
            "grants", each * size["Granted"], group * size["Granted"], "the owner answers its group"
        ),
        Line("progress", progress, progress, "one batch to each owner each 6.2 s"),
        Line("membership", member, member, "pings, acks and changes they carry"),
    ]


def memory_lines(slopes: dict[str, Any], relay: dict[str, Any]) -> list[Line]:
    """Return the resident memory, in MB."""
    groups = slopes["groups_at_full_size"]
    classes = WORKSPACES * 8 / groups * KINDS * slopes["class_kb"] / 1024
    grants = REQUESTS_PER_S / groups * OPEN_S * slopes["grant_kb"] / 1024
    own = REQUESTS_PER_S / DAEMONS * OPEN_S * slopes["grant_kb"] / 1024
    config = 4 * slopes["config_kb"]["3500+790"] / 1024
    member = slopes["membership_kb"]["410"] / 1024
    return [
        Line("idle daemon", relay["idle_memory_mb"], relay["idle_memory_mb"], "measured"),
        Line("configuration", config, config, "document, tables made from it, JSON while read"),
        Line("members", member, member, "measured at 410"),
        Line("own requests", own, own, "open requests x state of a grant"),
        Line("a group's grants", 0.0, grants, "open generations of the group"),
        Line("length classes", 0.0, classes, "workspaces of the group x kinds"),
    ]


def platform_lines(slopes: dict[str, Any]) -> list[tuple[str, float, float, str]]:
    """Return part, reads a second, writes a second and mechanism of the load on the platform."""
    takers = CHANGES_PER_DAY / 86_400 * DAEMONS
    return [
        (
            "list of instances",
            float(READERS),
            0.0,
            "three readers once a second, they tell the rest",
        ),
        (
            "waiting watches",
            DAEMONS / WATCH_S,
            0.0,
            f"{DAEMONS} waiting at once, renewed each 20 s",
        ),
        ("changes taken", takers, CHANGES_PER_DAY / 86_400, "each watch answered once a change"),
        ("claims", 2.0, CLAIM_WRITES_PER_S, "paced: 70 a second for all shards, grouped"),
        ("lease", LEASE_WRITES_PER_S, LEASE_WRITES_PER_S, "renewed each 2 s by one holder"),
    ]


def _budget(title: str, unit: str, lines: list[Line], limit: float, digits: int) -> str:
    """Return one budget as a table."""
    rows = [
        f"**{title}** ({unit}; budget {limit:g})",
        "",
        "| part | mean daemon | owner of a group | from |",
        "|---|---|---|---|",
    ]
    rows += [
        f"| {line.what} | {line.mean:.{digits}f} | {line.owner:.{digits}f} | {line.how} |"
        for line in lines
    ]
    mean, owner = sum(line.mean for line in lines), sum(line.owner for line in lines)
    rows.append(
        f"| **sum** | **{mean:.{digits}f}** {_verdict(mean, limit)} "
        f"| **{owner:.{digits}f}** {_verdict(owner, limit)} | |"
    )
    return "\n".join(rows)


def _verdict(value: float, limit: float) -> str:
    """Return a text that says whether a sum is within its budget."""
    return "within" if value <= limit else f"over by {value / limit - 1:.0%}"


def capacity_figures() -> str:
    """Return the tables and the closing paragraph of the page."""
    slopes = orjson.loads(RESULTS.read_bytes())
    relay = orjson.loads(RELAY.read_bytes())
    parts = [
        _budget(
            "Processor for control",
            "percent of a core",
            cpu_lines(slopes, relay),
            BUDGET_CPU_PERCENT,
            2,
        ),
        _budget("Sent for control", "bytes a second", byte_lines(slopes), BUDGET_BYTES, 0),
        _budget("Memory", "MB", memory_lines(slopes, relay), BUDGET_MB, 1),
    ]
    rows = [
        "**Platform** (calls a second; budget 2,000 reads and 100 writes)",
        "",
        "| part | reads | writes | mechanism |",
        "|---|---|---|---|",
    ]
    lines = platform_lines(slopes)
    rows += [
        f"| {what} | {reads:.2f} | {writes:.3f} | {how} |" for what, reads, writes, how in lines
    ]
    reads, writes = sum(line[1] for line in lines), sum(line[2] for line in lines)
    rows.append(
        f"| **sum** | **{reads:.1f}** {_verdict(reads, PLATFORM_READS)} "
        f"| **{writes:.1f}** {_verdict(writes, PLATFORM_WRITES)} | |"
    )
    parts.append("\n".join(rows))
    config = CHANGES_PER_DAY / 86_400 * slopes["config_bytes"]["3500+790"]
    claims = 1_000_000 / slopes["claim_bytes"]
    streaming = TOKENS_PER_S / DAEMONS * relay["relay_us_per_paced_token"] / 1e4
    parts.append(
        f"Streaming itself (not control): {TOKENS_PER_S / DAEMONS:,.0f} tokens a second and "
        f"daemon at {relay['relay_us_per_paced_token']} us each take {streaming:.0f}% of a core. "
        f"A shard's object holds at most {MAX_CLAIMS:,} claims of {slopes['claim_bytes']:.0f} "
        f"bytes with outcome (a megabyte would hold {claims:,.0f}); {SHARDS} shards keep at most "
        f"{MAX_CLAIMS * SHARDS:,} claims in 24 hours. Each daemon receives {config:,.0f} bytes a "
        "second of configuration in the mean, as whole documents."
    )
    return "\n\n".join(parts)
