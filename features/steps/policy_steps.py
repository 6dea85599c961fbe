"""Test the policy language."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from behave import given, then, when

from driftstall.exceptions import PolicyError
from driftstall.policy.default import default_policy
from driftstall.policy.evaluate import evaluate, explain
from driftstall.policy.model import Facts
from driftstall.policy.parse import default_policy_text, parse_policy


@given("the policy text {text}")
def policy_text(context: Any, text: str) -> None:
    """Set the text of the policy."""
    context.policy_text = text


@given("a policy with {count:d} nested parentheses")
def nested_policy(context: Any, count: int) -> None:
    """Build a deeply nested policy."""
    context.policy_text = (
        'policy "x" { rule a when ' + "(" * count + "load > 1" + ")" * count + " {} }"
    )


@then('it is refused at line {line:d}, column {column:d}, with "{fix}"')
def policy_refused(context: Any, line: int, column: int, fix: str) -> None:
    """Compare the position and the fix of the error."""
    try:
        parse_policy(context.policy_text)
    except PolicyError as fault:
        assert (fault.line, fault.column) == (line, column), str(fault)
        assert fix in fault.fix, str(fault)
        return
    raise AssertionError("the policy was accepted")


@then("each shipped policy is accepted and takes at most {steps:d} steps")
def shipped(context: Any, steps: int) -> None:
    """Parse the shipped policies."""
    paths = sorted(Path("examples").glob("*.policy"))
    assert len(paths) >= 3, paths
    for path in paths:
        assert parse_policy(path.read_text()).steps <= steps


@given('the shipped policy "{name}"')
def shipped_policy(context: Any, name: str) -> None:
    """Parse one shipped policy."""
    context.policy = parse_policy(Path(f"examples/{name}.policy").read_text())


@when('a "{kind}" of {tokens:d} tokens is explained')
def explained(context: Any, kind: str, tokens: int) -> None:
    """Explain the verdict of one request."""
    context.explanation = explain(
        context.policy, Facts(kind, "north", "base", tokens, 100, 0.0, 12)
    )


@then('rule "{name}" decides with rank {rank:d} after rule "{other}" did not hold')
def decided(context: Any, name: str, rank: int, other: str) -> None:
    """Compare the explanation."""
    checks = [(check.rule, check.held) for check in context.explanation.checks]
    assert checks == [(other, False), (name, True)], checks
    assert context.explanation.verdict.rank == rank


@then("the built default policy and its parsed text agree on every kind of request")
def built_default(context: Any) -> None:
    """Compare the rules, and the verdicts over ranks and lengths."""
    built, parsed = default_policy(), parse_policy(default_policy_text())
    assert (built.name, built.weights, built.overflow) == (
        parsed.name,
        parsed.weights,
        parsed.overflow,
    )
    rows = [
        [(rule.name, rule.line, rule.text, rule.verdict) for rule in policy.rules]
        for policy in (built, parsed)
    ]
    assert rows[0] == rows[1], rows
    assert built.steps == parsed.steps
    for rank in range(4):
        for tokens in (1, 200, 201, 5_000):
            facts = Facts("stream", "w", "m", 10, tokens, 0.5, 12, rank)
            assert evaluate(built, facts) == evaluate(parsed, facts)
