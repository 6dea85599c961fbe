"""Evaluate a policy for one request, and explain the result."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.core import Verdict
from driftstall.exceptions import InvariantBroken
from driftstall.policy.model import Facts, Policy


@dataclass(frozen=True, slots=True)
class RuleCheck:
    """Describe whether one rule matched."""

    rule: str
    line: int
    condition: str
    held: bool


@dataclass(frozen=True, slots=True)
class Explanation:
    """List the rules that were checked, and the verdict of the one that decided."""

    checks: tuple[RuleCheck, ...]
    verdict: Verdict


def evaluate(policy: Policy, facts: Facts) -> Verdict:
    """Return the verdict of the first matching rule."""
    for rule in policy.rules:
        if rule.condition is None or rule.condition(facts):
            return rule.verdict
    raise InvariantBroken("a checked policy has a last rule that always holds")


def explain(policy: Policy, facts: Facts) -> Explanation:
    """Return each checked rule, up to the one that decided."""
    checks: list[RuleCheck] = []
    for rule in policy.rules:
        held = rule.condition is None or rule.condition(facts)
        checks.append(RuleCheck(rule.name, rule.line, rule.text, held))
        if held:
            break
    return Explanation(tuple(checks), evaluate(policy, facts))
