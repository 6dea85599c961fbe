"""Test the limit on the bytes of all unfinished responses."""

from __future__ import annotations

from typing import Any, Final

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.gateway.response_buffers import ResponseBuffers

LIMIT: Final = 100
STEPS: Final = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 60)), max_size=60)
"""Responses by number, and the bytes by which they grow; they end with zero bytes."""


@when("responses of drawn sizes grow and end in a drawn order")
def draw(context: Any) -> None:
    """Record the bytes held after each step, and each ended response with the others' sizes."""
    context.held, context.ended = [], []

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @drawn(STEPS)
    def play(steps: list[tuple[int, int]]) -> None:
        buffers: ResponseBuffers[int] = ResponseBuffers(LIMIT)
        sizes: dict[int, int] = {}
        for number, growth in steps:
            if not growth:
                buffers.release(number)
                sizes.pop(number, None)
                continue
            sizes[number] = sizes.get(number, 0) + growth
            largest = buffers.resize(number, sizes[number])
            if largest is not None:
                context.ended.append((sizes.pop(largest), dict(sizes)))
                buffers.release(largest)
            context.held.append((buffers.total, sum(sizes.values())))

    play()


@then("they never hold more than the limit, and only the largest ones were ended")
def check(context: Any) -> None:
    """Check the totals, and the sizes of ended responses."""
    assert context.ended
    assert all(total == held <= LIMIT for total, held in context.held)
    for size, others in context.ended:
        assert size >= max(others.values(), default=0)
        assert size + sum(others.values()) > LIMIT
