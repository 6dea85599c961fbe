"""Test the configuration after the store was restored from an older backup, on real processes."""

from __future__ import annotations

import hashlib
from typing import Any, Final

from behave import then, when

from driftstall.platform.store import Store
from features.steps.process_crash_steps import WORKSPACES
from measures.bench import Bench, wait_until, workspace_key

KIND: Final = "driftstall-config"
NAME: Final = "main"


def policy(name: str) -> str:
    """Return a policy's text."""
    return f'policy "{name}" {{ rule all {{ rank 1; wait at most 9s; may refuse; }} }}'


def control(context: Any, script: dict[str, Any]) -> None:
    """Send a script to the store's stand-in."""
    context.own.platform.control(script)


def change_workspaces(bench: Bench, names: tuple[str, ...]) -> None:
    """Submit a change of the workspaces alone."""
    rows = [
        {"name": name, "key_sha256": hashlib.sha256(workspace_key(name).encode()).hexdigest()}
        for name in names
    ]
    answer = bench.operator(0, "PUT", "/operator/config", {"workspaces": rows})
    assert answer.status == 200, answer


@when('the store takes a copy, and policy "{name}" is accepted after it')
def accepted_after(context: Any, name: str) -> None:
    """Back the store up, submit the policy, and wait for it."""
    control(context, {"copy": True})
    assert context.own.submit(policy(name), WORKSPACES).status == 200
    wait_until("it is in force", lambda: in_force(context, name))


def in_force(context: Any, name: str) -> bool:
    """Return True if a policy is in force at all instances."""
    configs = [context.own.operator(at, "GET", "/operator/config").value for at in (0, 1, 2)]
    return all(f'policy "{name}"' in config["policy"] for config in configs)


@when("the store comes back from the copy")
def come_back(context: Any) -> None:
    """Restore the store without an outage."""
    context.writes = context.own.platform.stats()["writes"]
    control(context, {"come_back": True})


@when("the store comes back from the copy, and the workspaces are changed at once")
def come_back_and_change(context: Any) -> None:
    """Restore the store, and submit a change before instances can notice."""
    control(context, {"come_back": True})
    change_workspaces(context.own, WORKSPACES[:1])


@then('within {seconds:g} s the store holds policy "{name}" again, once')
def holds_again(context: Any, seconds: float, name: str) -> None:
    """Wait for the policy; two instances may both try to write it, and one succeeds."""
    store = Store(context.own.platform.address)

    def holds() -> bool:
        stored = store.get(KIND, NAME)
        return stored is not None and f'policy "{name}"' in stored.spec["policy"]

    wait_until("the store holds it", holds, seconds)
    assert context.own.platform.stats()["writes"] - context.writes <= 4


@then('a change of the workspaces alone keeps policy "{name}" in force everywhere')
def change_keeps(context: Any, name: str) -> None:
    """Submit a change of the workspaces, and check the policy."""
    change_workspaces(context.own, WORKSPACES)
    wait_until("it is in force", lambda: in_force(context, name))
    stored = Store(context.own.platform.address).get(KIND, NAME)
    assert stored is not None and f'policy "{name}"' in stored.spec["policy"], stored
