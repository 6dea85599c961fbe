"""Track the configured runners and whether they can get new work, and poll their reports."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.controllers.configuration import ConfigDocument
from driftstall.controllers.grant_messages import CacheEvents, RunnerReport
from driftstall.core import Runner
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.locate import group_runners
from driftstall.exceptions import UpstreamError
from driftstall.helpers.log import log_event
from driftstall.peers.messages import RunnerLeaving
from driftstall.runners.engine import fetch_cache_events, fetch_report

POLL_PERIOD_S: Final = 0.5
MAX_POLL_FAILURES: Final = 2
"""Consecutive failed polls after which a runner gets no new work."""


class FleetService:
    """Registry of the configured runners, with leaving and failing ones excluded from new work."""

    def __init__(self, hub: Hub, members: MembershipService) -> None:
        """Initialize without runners and register the handlers."""
        self._hub = hub
        self._members = members
        self._runners: dict[str, Runner] = {}
        self._groups: dict[str, tuple[Runner, ...]] = {}
        self._leaving: set[str] = set()
        self._signalled_leaving: set[str] = set()
        """Runners that signalled leaving in a response, which takes precedence over reports."""
        self._failures: dict[str, int] = {}
        self._loaded_models: dict[str, str] = {}
        self._cache_positions: dict[str, int] = {}
        hub.on_config(self._handle_config)
        hub.on_message(RunnerLeaving, self._handle_peer_report)

    @property
    def runners(self) -> dict[str, Runner]:
        """Return the configured runners by id."""
        return self._runners

    @property
    def groups(self) -> dict[str, tuple[Runner, ...]]:
        """Return the groups of model runners, including leaving ones."""
        return self._groups

    @property
    def loaded_models(self) -> dict[str, str]:
        """Return the model that each polled runner last reported, by runner id."""
        return self._loaded_models

    def can_get_work(self, runner_id: str) -> bool:
        """Return whether a runner can get new work."""
        return (
            runner_id in self._runners
            and runner_id not in self._leaving
            and not self._members.is_listed_leaving(runner_id)
            and self._failures.get(runner_id, 0) < MAX_POLL_FAILURES
        )

    def groups_for(self, model: str) -> tuple[str, ...]:
        """Return the groups that serve a model."""
        return tuple(name for name in self._groups if name.rpartition("/")[0] == model)

    def live_services(self, name: str) -> tuple[Runner, ...]:
        """Return the runners of a plain service that can get new work."""
        return tuple(
            runner
            for runner in self._runners.values()
            if runner.service == name and self.can_get_work(runner.runner_id)
        )

    def poll(self, group: str, deliver: Callable[[RunnerReport | CacheEvents], None]) -> None:
        """Fetch the reports and cache events of a group's runners, and pass them to deliver."""
        jobs = [
            gevent.spawn(self._poll_runner, group, runner, deliver)
            for runner in self._groups.get(group, ())
        ]
        gevent.joinall(jobs)

    def poll_services(self) -> None:
        """Poll the runners of all plain services."""
        services = [runner for runner in self._runners.values() if runner.service]
        gevent.joinall([gevent.spawn(self._poll_service, runner) for runner in services])

    def record_failure(self, runner_id: str) -> None:
        """Count a failed connection to a runner as a failed poll."""
        self._count_failure(runner_id)

    def _poll_runner(
        self, group: str, runner: Runner, deliver: Callable[[RunnerReport | CacheEvents], None]
    ) -> None:
        """Fetch one runner's report and cache events."""
        runner_id = runner.runner_id
        try:
            report = fetch_report(runner)
            after = self._cache_positions.get(runner_id, 0)
            position, stored, evicted = fetch_cache_events(runner, after)
        except UpstreamError:
            self._count_failure(runner_id)
            return
        if self._failures.pop(runner_id, 0) >= MAX_POLL_FAILURES:
            self._notify_changed()
        self._loaded_models[runner_id] = report.model
        self._record_leaving_report(runner_id, leaving=report.leaving)
        deliver(
            RunnerReport(
                group,
                runner_id,
                report.used_tokens,
                report.memory_tokens,
                report.waiting,
                self._hub.now(),
            )
        )
        self._cache_positions[runner_id] = position
        if stored or evicted:
            deliver(CacheEvents(group, runner_id, stored, evicted))

    def _poll_service(self, runner: Runner) -> None:
        """Poll the runner of a plain service."""
        try:
            leaving = fetch_report(runner).leaving
        except UpstreamError:
            self._count_failure(runner.runner_id)
            return
        self._failures.pop(runner.runner_id, None)
        self._record_leaving_report(runner.runner_id, leaving=leaving)

    def handle_leaving_signal(self, runner_id: str) -> None:
        """Mark a runner as leaving because of a signal in one of its responses."""
        if runner_id in self._signalled_leaving:
            return
        self._signalled_leaving.add(runner_id)
        self._publish_leaving(runner_id, True)

    def _record_leaving_report(self, runner_id: str, *, leaving: bool) -> None:
        """Apply the leaving state from a report, unless a signal, which may be newer, is known."""
        if runner_id in self._signalled_leaving:
            return
        if leaving != (runner_id in self._leaving):
            self._publish_leaving(runner_id, leaving)

    def _count_failure(self, runner_id: str) -> None:
        """Count a failed poll; exclude the runner from new work at the limit."""
        self._failures[runner_id] = self._failures.get(runner_id, 0) + 1
        # The runner may come back as a new start, which has not signalled that it is leaving.
        self._signalled_leaving.discard(runner_id)
        if self._failures[runner_id] == MAX_POLL_FAILURES:
            log_event(PREFIX_ROUTING, f"Runner {runner_id} does not respond, sending no new work")
            self._notify_changed()

    def _publish_leaving(self, runner_id: str, leaving: bool) -> None:
        """Record a runner's leaving state and publish it to all peers."""
        self._set_leaving(runner_id, leaving)
        for instance in self._members.live:
            if instance.instance_id != self._hub.own.instance_id:
                signalled = runner_id in self._signalled_leaving
                self._hub.send(instance.instance_id, RunnerLeaving(runner_id, leaving, signalled))

    def _handle_peer_report(self, _: str, message: RunnerLeaving) -> None:
        """Apply a peer's report that a runner is leaving or back."""
        if message.signalled:
            self._signalled_leaving.add(message.runner_id)
        elif not message.leaving:
            self._signalled_leaving.discard(message.runner_id)
        self._set_leaving(message.runner_id, message.leaving)

    def _set_leaving(self, runner_id: str, leaving: bool) -> None:
        """Set whether a runner is leaving, and notify listeners of a change."""
        if leaving == (runner_id in self._leaving):
            return
        if leaving:
            self._leaving.add(runner_id)
        else:
            self._leaving.discard(runner_id)
        state = "is leaving, sending no new work" if leaving else "is back"
        log_event(PREFIX_ROUTING, f"Runner {runner_id} {state}")
        self._notify_changed()

    def _notify_changed(self) -> None:
        """Notify listeners that the usable runners have changed."""
        self._hub.notify_members()

    def _handle_config(self, document: ConfigDocument) -> None:
        """Replace the runners by those of a new configuration."""
        self._runners = {
            config.runner_id: Runner(
                config.runner_id,
                config.address,
                config.zone,
                config.model,
                config.service,
                config.memory_tokens,
                config.checks_fences,
            )
            for config in document.runners
        }
        self._groups = group_runners(self._runners.values())
        self._notify_changed()
