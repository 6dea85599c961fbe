"""Check how a budget of buffers is shared."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from driftstall.decisions.buffer_budget import BufferBudget


@given("a buffer budget of {capacity:d} bytes, and holders of {first:d}, {second:d} and {third:d}")
def start_budget(context: Any, capacity: int, first: int, second: int, third: int) -> None:
    """Open three accounts."""
    context.budget, context.accounts, context.evicted = BufferBudget(capacity), [], []
    for number, size in enumerate((first, second, third), start=1):
        account = context.budget.open(lambda number=number: context.evicted.append(number))
        assert account.grow(size)
        context.accounts.append(account)


@given("holder {number:d} is protected")
def protect(context: Any, number: int) -> None:
    """Protect one account."""
    context.accounts[number - 1].protect()


@when("another holder takes {size:d} bytes")
def take(context: Any, size: int) -> None:
    """Grow a new account."""
    assert context.budget.open(lambda: context.evicted.append(0)).grow(size)


@when("another holder takes {size:d} bytes in vain")
def take_in_vain(context: Any, size: int) -> None:
    """Grow a new account that gets no room."""
    assert not context.budget.open(lambda: context.evicted.append(0)).grow(size)


@when("all holders are closed twice")
def close_all(context: Any) -> None:
    """Close all accounts."""
    for account in (*context.accounts, *context.accounts):
        account.close()
        assert not account.grow(1)


@then("holder {number:d} alone is evicted and {used:d} bytes are used")
def one_evicted(context: Any, number: int, used: int) -> None:
    """Check the evictions and the sum."""
    assert (context.evicted, context.budget.used_bytes) == ([number], used)


@then("no holder is evicted and {used:d} bytes are used")
def none_evicted(context: Any, used: int) -> None:
    """Check that nothing was evicted, and the sum."""
    assert (context.evicted, context.budget.used_bytes) == ([], used)
