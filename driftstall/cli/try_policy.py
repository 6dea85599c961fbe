"""Replay a recorded trace against a policy, before it is submitted."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import orjson

from driftstall.policy.evaluate import evaluate
from driftstall.policy.model import Facts
from driftstall.policy.parse import parse_policy

EXIT_OK = 0
EXIT_REFUSED = 1


def try_policy(policy_file: str, trace_file: str, *, as_json: bool) -> int:
    """Print how many recorded requests each rule would decide, and where the rule would change."""
    policy = parse_policy(Path(policy_file).read_text())
    rules: Counter[str] = Counter()
    changed: Counter[str] = Counter()
    for line in Path(trace_file).read_text().splitlines():
        row = orjson.loads(line)
        if "facts" not in row:
            continue
        verdict = evaluate(policy, Facts(**row["facts"]))
        rules[verdict.rule] += 1
        if row.get("rule") and row["rule"] != verdict.rule:
            changed[f"{row['rule']} -> {verdict.rule}"] += 1
    if as_json:
        print(orjson.dumps({"rules": dict(rules), "changed": dict(changed)}).decode())
        return EXIT_OK
    if not rules:
        print("the trace holds no request")
        return EXIT_REFUSED
    for name, count in rules.most_common():
        print(f"rule {name}: {count} requests")
    for name, count in changed.most_common():
        print(f"changed {name}: {count} requests")
    return EXIT_OK
