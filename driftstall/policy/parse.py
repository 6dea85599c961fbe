"""Parse and check the text of a policy; errors name line, column, cause and fix."""

from __future__ import annotations

import operator
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any, Final

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from driftstall.core import Weights
from driftstall.exceptions import PolicyError
from driftstall.policy.model import (
    DEFAULT_OVERFLOW,
    DEFAULT_VERDICT,
    Condition,
    Facts,
    Policy,
    Rule,
)

MAX_TEXT_CHARS: Final = 64_000
MAX_STEPS: Final = 2_000
MAX_DEPTH: Final = 40
MAX_RANK: Final = 9
TEXT_FACTS: Final = frozenset({"kind", "workspace", "model"})
UNIT_SECONDS: Final = {"second": 1.0, "minute": 60.0, "hour": 3600.0}
DURATION_SECONDS: Final = {"ms": 0.001, "min": 60.0, "s": 1.0}
COMPARISONS: Final[dict[str, Callable[[Any, Any], bool]]] = {
    "==": operator.eq,
    "!=": operator.ne,
    "<=": operator.le,
    ">=": operator.ge,
    "<": operator.lt,
    ">": operator.gt,
}


@cache
def _parser() -> Lark:
    """Build and cache the parser."""
    grammar = Path(__file__).with_name("policy.lark").read_text()
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def default_policy_text() -> str:
    """Return the text of the default policy."""
    return Path(__file__).with_name("default.policy").read_text()


def parse_policy(text: str) -> Policy:
    """Return the checked policy; raise PolicyError for a faulty text."""
    if len(text) > MAX_TEXT_CHARS:
        raise PolicyError(
            1, 1, "the text is too long", f"keep it under {MAX_TEXT_CHARS} characters"
        )
    _check_nesting(text)
    tree = _parse_tree(text)
    return _build(tree, text)


def _check_nesting(text: str) -> None:
    """Reject nesting that would exhaust the stack, before parsing."""
    depth = 0
    for number, line in enumerate(text.splitlines(), start=1):
        for char in line:
            depth += (char == "(") - (char == ")")
            if depth > MAX_DEPTH or line.count("not ") > MAX_DEPTH:
                cause = "the condition is nested too deeply"
                raise PolicyError(number, 1, cause, "split it into rules")


def _parse_tree(text: str) -> Tree[Token]:
    """Parse the text into a tree, converting parser errors to PolicyError."""
    try:
        return _parser().parse(text)
    except UnexpectedEOF as fault:
        line = text.count("\n") + 1
        raise PolicyError(line, 1, "the text ends too early", "close each { with a }") from fault
    except UnexpectedToken as fault:
        expected = ", ".join(sorted(_describe_terminal(name) for name in fault.expected)[:8])
        cause = f"{str(fault.token)!r} is not expected here"
        if fault.token.type == "$END":
            cause = "the text ends too early"
        line, column = max(1, fault.line), max(1, fault.column)
        raise PolicyError(line, column, cause, f"write one of: {expected}") from fault
    except UnexpectedCharacters as fault:
        expected = ", ".join(sorted(_describe_terminal(name) for name in fault.allowed or ())[:8])
        char = fault.char
        cause = f"{char!r} is not expected here"
        raise PolicyError(fault.line, fault.column, cause, f"write one of: {expected}") from fault


def _describe_terminal(name: str) -> str:
    """Return what an operator would write for a terminal."""
    known = {"LBRACE": "{", "RBRACE": "}", "SEMICOLON": ";", "COMMA": ",", "$END": "end of text"}
    known |= {"LSQB": "[", "RSQB": "]", "LPAR": "(", "RPAR": ")"}
    return known.get(name, name.lower())


def _build(tree: Tree[Token], text: str) -> Policy:
    """Check the tree and build the policy from it."""
    name_token, *items = tree.children
    weights = Weights()
    overflow = DEFAULT_OVERFLOW
    rules: list[Rule] = []
    steps = 0
    for item in items:
        assert isinstance(item, Tree)
        if item.data == "weigh":
            weights = _parse_weights(item, weights)
        elif item.data == "overflow":
            overflow = float(_token(item)[:-1]) / 100
            if not 0 < overflow < 0.5:
                _fail(item, "the bound is out of range", "choose above 0% and below 50%")
        else:
            if rules and rules[-1].condition is None:
                _fail(item, "this rule can never be reached", "put the rule without 'when' last")
            rules.append(_parse_rule(item, text, {rule.name for rule in rules}))
            steps += sum(1 for _ in item.iter_subtrees())
    if not rules or rules[-1].condition is not None:
        line = text.count("\n") + 1
        raise PolicyError(line, 1, "some requests match no rule", "end with a rule without 'when'")
    if steps > MAX_STEPS:
        raise PolicyError(1, 1, "the policy takes too many steps", f"stay under {MAX_STEPS}")
    return Policy(str(name_token)[1:-1], weights, overflow, tuple(rules), steps)


def _fail(tree: Tree[Token], cause: str, fix: str) -> None:
    """Raise a PolicyError at the position of the tree."""
    raise PolicyError(tree.meta.line, tree.meta.column, cause, fix)


def _token(tree: Tree[Token]) -> str:
    """Return the text of the first token of a tree."""
    return str(tree.children[0])


def _parse_weights(tree: Tree[Token], weights: Weights) -> Weights:
    """Parse the weights of the measures."""
    for weight in tree.children:
        assert isinstance(weight, Tree)
        measure, number = weight.children
        weights = replace(weights, **{str(measure): float(str(number))})
    return weights


def _parse_rule(tree: Tree[Token], text: str, known_names: set[str]) -> Rule:
    """Parse one rule."""
    name, condition, *clauses = tree.children
    if str(name) in known_names:
        _fail(tree, f"rule {name} stands twice", "give each rule a name of its own")
    line = tree.meta.line
    verdict = replace(DEFAULT_VERDICT, rule=str(name), line=line)
    clause_kinds: set[str] = set()
    for clause in clauses:
        assert isinstance(clause, Tree)
        if clause.data in clause_kinds:
            _fail(clause, f"{clause.data} stands twice in rule {name}", "keep one of them")
        clause_kinds.add(str(clause.data))
        verdict = replace(verdict, **_parse_clause(clause))
    if condition is None:
        return Rule(str(name), line, None, "always", verdict)
    compiled, kind = _compile_expression(condition)
    if kind != "truth":
        _fail(tree, "the condition is not true or false", "compare it with a value")
    meta = condition.meta if isinstance(condition, Tree) else tree.meta
    return Rule(str(name), line, compiled, text[meta.start_pos : meta.end_pos], verdict)


def _parse_clause(clause: Tree[Token]) -> dict[str, Any]:
    """Return the fields of the verdict that one clause sets."""
    value = _token(clause)
    match str(clause.data):
        case "rank":
            if "." in value or int(value) > MAX_RANK:
                _fail(clause, "the rank is out of range", f"choose a whole number, 0 to {MAX_RANK}")
            return {"rank": int(value)}
        case "queue":
            if "." in value or int(value) > MAX_RANK:
                _fail(clause, "the rank is out of range", f"choose a whole number, 0 to {MAX_RANK}")
            return {"queue_rank": int(value)}
        case "wait":
            return {"wait_s": _parse_duration(value)}
        case "yielding":
            return {"may_yield": value == "may"}
        case "refusing":
            return {"may_refuse": value == "may"}
        case "share":
            if float(value) <= 0:
                _fail(clause, "the share is zero", "choose a number above 0")
            return {"share": float(value)}
        case _:
            unit = str(clause.children[1])
            return {"limit_tokens_per_s": float(value) / UNIT_SECONDS[unit]}


def _parse_duration(value: str) -> float:
    """Convert a duration such as 8s, 250ms or 2min to seconds."""
    for suffix in ("ms", "min", "s"):
        if value.endswith(suffix):
            return float(value.removesuffix(suffix)) * DURATION_SECONDS[suffix]
    raise AssertionError(value)


def _compile_expression(node: Any) -> tuple[Callable[[Facts], Any], str]:
    """Compile an expression; return it with its type: truth, text or number."""
    match str(node.data):
        case "fact":
            name = _token(node)
            return operator.attrgetter(name), "text" if name in TEXT_FACTS else "number"
        case "string":
            text = _token(node)[1:-1]
            return lambda _: text, "text"
        case "number":
            number = float(_token(node))
            return lambda _: number, "number"
        case "compare":
            return _compile_comparison(node), "truth"
        case "member":
            return _compile_membership(node), "truth"
        case "negate":
            inner = _compile_condition(node.children[0])
            return lambda facts: not inner(facts), "truth"
        case "and_expr":
            parts = [_compile_condition(child) for child in node.children]
            return lambda facts: all(part(facts) for part in parts), "truth"
        case _:
            parts = [_compile_condition(child) for child in node.children]
            return lambda facts: any(part(facts) for part in parts), "truth"


def _compile_condition(node: Any) -> Condition:
    """Compile an expression that must be true or false."""
    compiled, kind = _compile_expression(node)
    if kind != "truth":
        _fail(node, "a value stands where a condition is needed", "compare it with a value")
    return compiled


def _compile_comparison(node: Any) -> Condition:
    """Compile a comparison of two values of one type."""
    left, left_kind = _compile_expression(node.children[0])
    right, right_kind = _compile_expression(node.children[2])
    sign = str(node.children[1])
    if left_kind != right_kind:
        _fail(node, f"a {left_kind} is compared with a {right_kind}", "compare values of one kind")
    if left_kind != "number" and sign not in ("==", "!="):
        _fail(node, f"{sign} does not work on {left_kind}", "use == or !=")
    compare = COMPARISONS[sign]
    return lambda facts: compare(left(facts), right(facts))


def _compile_membership(node: Any) -> Condition:
    """Compile a test whether a text is in a list."""
    left, kind = _compile_expression(node.children[0])
    if kind != "text":
        _fail(node, f"a {kind} is looked up in a list of texts", "use == or <")
    members = frozenset(str(token)[1:-1] for token in node.children[1:])
    return lambda facts: left(facts) in members
