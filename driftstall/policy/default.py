"""Define the default policy as objects, so that a start need not load the parser.

It is equal to default.policy, the text for operators; a test compares the two. The parser and its
grammar take about a quarter of the processor time of a start.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from driftstall.core import Verdict, Weights
from driftstall.policy.model import DEFAULT_OVERFLOW, DEFAULT_VERDICT, Condition, Policy, Rule

LONG_OUTPUT_TOKENS: Final = 200
"""Outputs that may become longer than this never yield."""
STEPS: Final = 49
"""Steps of the checked text, the maximum for one evaluation."""


def default_policy() -> Policy:
    """Return the policy that is in force until an operator submits one."""
    rules = (
        _rule(
            "first_long",
            10,
            "route_rank == 0 and max_tokens > 200",
            lambda facts: facts.route_rank == 0 and facts.max_tokens > LONG_OUTPUT_TOKENS,
            replace(DEFAULT_VERDICT, rank=0, queue_rank=0, wait_s=10.0, may_yield=False),
        ),
        _rule(
            "first",
            18,
            "route_rank == 0",
            lambda facts: facts.route_rank == 0,
            replace(DEFAULT_VERDICT, rank=2, queue_rank=0, wait_s=5.0),
        ),
        _rule(
            "soon_long",
            26,
            "route_rank == 1 and max_tokens > 200",
            lambda facts: facts.route_rank == 1 and facts.max_tokens > LONG_OUTPUT_TOKENS,
            replace(DEFAULT_VERDICT, rank=1, queue_rank=1, wait_s=10.0, may_yield=False),
        ),
        _rule(
            "soon",
            34,
            "route_rank == 1",
            lambda facts: facts.route_rank == 1,
            replace(DEFAULT_VERDICT, rank=3, queue_rank=1, wait_s=5.0),
        ),
        _rule("others", 42, "always", None, replace(DEFAULT_VERDICT, rank=6, wait_s=5.0)),
    )
    weights = Weights(token_gap=4.0, stall=4.0, preemptions=2.0)
    return Policy("default", weights, DEFAULT_OVERFLOW, rules, STEPS)


def _rule(name: str, line: int, text: str, condition: Condition | None, verdict: Verdict) -> Rule:
    """Return one rule, with its line in the text."""
    return Rule(name, line, condition, text, replace(verdict, rule=name, line=line))
