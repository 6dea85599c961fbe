"""Operators' commands that work on the platform's store, without an instance."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

import orjson

from driftstall.cli.tables import print_table
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import PlatformUnavailable
from driftstall.platform.documents import DocumentFault
from driftstall.platform.policies import PolicyStore
from driftstall.policy.default import default_policy
from driftstall.policy.evaluate import explain
from driftstall.policy.model import Facts
from driftstall.policy.parse import default_policy_text, parse_policy

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_CONFLICT: Final = 3
EXIT_UNKNOWN: Final = 4
EXIT_UNREACHABLE: Final = 5


def run_on_store(options: Mapping[str, Any]) -> int:
    """Run a command on the store given by --store, and return its exit code."""
    store = PolicyStore(options["--store"])
    try:
        if options["policy"] and options["submit"]:
            return _submit(store, options)
        if options["policy"] and options["show"]:
            print(store.text() or default_policy_text(), end="")
            return EXIT_OK
        if options["policy"] and options["explain"]:
            return _explain(store, options)
        if options["config"] and options["show"]:
            print(orjson.dumps(store.routing(), option=orjson.OPT_INDENT_2).decode())
            return EXIT_OK
        if options["status"]:
            return _print_status(store)
    except PlatformUnavailable as fault:
        print(f"driftstall: the store: {fault}", file=sys.stderr)
        return EXIT_UNKNOWN if fault.sent else EXIT_UNREACHABLE
    except DocumentFault as fault:
        print(f"driftstall: the store: {fault}", file=sys.stderr)
        return EXIT_REFUSED
    print("driftstall: this command needs an instance, not --store", file=sys.stderr)
    return EXIT_REFUSED


def _submit(store: PolicyStore, options: Mapping[str, Any]) -> int:
    """Validate a policy and store it, from where all instances apply it."""
    text = Path(options["FILE"]).read_text()
    policy = parse_policy(text)
    base = StoreVersion.parse(options["--base"]) if options["--base"] else None
    revision = store.submit(text, base)
    if revision is None:
        print(f"driftstall: revision {store.revision()} is newer than your base", file=sys.stderr)
        return EXIT_CONFLICT
    print(f"policy {policy.name!r} is accepted as revision {revision}")
    return EXIT_OK


def _explain(store: PolicyStore, options: Mapping[str, Any]) -> int:
    """Print the rules of the current policy that were checked for a request, and its verdict."""
    text = store.text()
    policy = parse_policy(text) if text else default_policy()
    facts = Facts(
        kind=options["KIND"],
        workspace=options["WORKSPACE"],
        model=options["--model"],
        input_tokens=int(options["--input"]),
        max_tokens=int(options["--cap"]),
        load=float(options["--load"]),
        hour=datetime.now(UTC).hour,
        route_rank=int(options["--route-rank"]),
    )
    explanation = explain(policy, facts)
    for check in explanation.checks:
        result = "holds" if check.held else "does not hold"
        print(f"line {check.line}, rule {check.rule}: {check.condition} {result}")
    verdict = explanation.verdict
    print(f"  rank = {verdict.rank}\n  wait_s = {verdict.wait_s:g}")
    print(f"  queue_rank = {verdict.waits_at_rank}")
    print(f"  share = {verdict.share:g}")
    print(f"  may_yield = {verdict.may_yield}\n  may_refuse = {verdict.may_refuse}")
    return EXIT_OK


def _print_status(store: PolicyStore) -> int:
    """Print versions, instances and upstreams as stored."""
    print(
        f"routing version {store.routing().get('version', 0)}, policy revision {store.revision()}"
    )
    print()
    print_table(("INSTANCE", "ZONE", "ADDRESS"), store.instance_rows())
    print()
    print_table(("UPSTREAM", "SERVICE", "ZONE", "ADDRESS", "STATE"), store.upstream_rows())
    return EXIT_OK
