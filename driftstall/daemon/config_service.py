"""Run the configuration controller: watch the platform, peers and submissions."""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import KEY_CONFIG, PREFIX_CONFIGURATION
from driftstall.controllers.configuration import (
    EMPTY,
    ConfigChange,
    ConfigConflicted,
    ConfigDocument,
    ConfigOffer,
    ConfigRead,
    ConfigReadFailed,
    ConfigurationController,
    ConfigWriteUnknown,
    ConfigWritten,
    ReadConfig,
    Submission,
    SubmitAction,
    SubmitEvent,
    SubmitState,
)
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.wire import config_from_json, config_to_json
from driftstall.decisions.locate import weight
from driftstall.exceptions import PlatformUnavailable
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running
from driftstall.peers.messages import ConfigAsked
from driftstall.platform.client import VersionedValue, WriteState
from driftstall.policy.model import Policy
from driftstall.policy.parse import parse_policy

WATCH_RETRY_DELAY_S: Final = 0.5
GOSSIP_PERIOD_S: Final = 1.0
MAX_PUBLISH_PEERS: Final = 16
RESTORING_INSTANCES: Final = 3
"""Instances that write again what the store has lost; one is enough."""
MAX_RESTORE_DELAY_S: Final = 0.5
"""The longest pause before that: who comes later finds it written."""
MAX_SETTLE_ATTEMPTS: Final = 4
SETTLE_RETRY_DELAY_S: Final = 0.25


class ConfigService:
    """Keep the configuration in force on this instance."""

    def __init__(self, hub: Hub, members: MembershipService) -> None:
        """Start with no configuration."""
        self._hub = hub
        self._members = members
        self._controller = ConfigurationController()
        self._policy: Policy | None = None
        self._has_read_platform = False
        self._revision = 0
        hub.on_message(ConfigOffer, self._handle_offer)
        hub.on_message(ConfigAsked, self._handle_request)

    @property
    def document(self) -> ConfigDocument:
        """Return the configuration in force."""
        return self._controller.document

    @property
    def policy(self) -> Policy | None:
        """Return the policy in force, once there is one."""
        return self._policy

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is in force."""
        return self._policy is not None

    def start(self) -> None:
        """Start to watch the platform and to compare with peers."""
        keep_running(PREFIX_CONFIGURATION, self._watch)
        self._hub.run_periodically(GOSSIP_PERIOD_S, self._compare_with_peer, PREFIX_CONFIGURATION)

    def submit(self, change: ConfigChange) -> Submission:
        """Carry an operator's change to the platform, and tell all peers at once."""
        submission = Submission(change, self.document)
        actions = submission.start()
        tries = 0
        while actions:
            event = self._carry_out(actions[0])
            unsettled = isinstance(event, ConfigReadFailed) and (
                submission.state is SubmitState.SETTLING
            )
            if unsettled and tries < MAX_SETTLE_ATTEMPTS:
                tries += 1
                gevent.sleep(SETTLE_RETRY_DELAY_S)
                continue
            actions = submission.handle(event)
        log_event(
            PREFIX_CONFIGURATION,
            f"Submission {change.submission} is {submission.state.value}",
            generation=submission.current.generation,
        )
        if submission.accepted is not None:
            self._apply_if_newer(submission.accepted)
            self._publish(submission.accepted)
        return submission

    def find_submission(self, submission_id: str) -> SubmitState:
        """Tell whether an earlier submission was accepted, as far as it can be known.

        One that is not among the newest may be older, or may still arrive: unknown.
        """
        if submission_id in self.document.submissions:
            return SubmitState.ACCEPTED
        event = self._carry_out(ReadConfig())
        if not isinstance(event, ConfigRead):
            return SubmitState.UNKNOWN
        known = submission_id in event.document.submissions
        return SubmitState.ACCEPTED if known else SubmitState.UNKNOWN

    def _carry_out(self, action: SubmitAction) -> SubmitEvent:
        """Read or write the stored configuration."""
        try:
            if isinstance(action, ReadConfig):
                stored = self._hub.platform.get(KEY_CONFIG)
                return ConfigRead(stored.version, config_from_json(stored.value))
            value = config_to_json(action.document)
            result = self._hub.platform.put(KEY_CONFIG, value, action.expected)
        except PlatformUnavailable:
            return ConfigReadFailed()
        if result.state is WriteState.DONE:
            return ConfigWritten()
        if result.state is WriteState.CONFLICT:
            return ConfigConflicted()
        return ConfigWriteUnknown()

    def _watch(self) -> None:
        """Follow the platform's changes for ever."""
        while True:
            try:
                lists = not self._revision
                at, changes = self._hub.platform.watch(KEY_CONFIG, self._revision)
                # After an outage, or an error below, the platform may have lost its place, or a
                # change may be half taken in: begin anew.
                self._revision = 0
                for one in changes:
                    self._apply_if_newer(config_from_json(one.value))
                self._revision = at
                self._has_read_platform = True
                if lists:
                    self._restore_if_lost(changes)
            except PlatformUnavailable as fault:
                self._revision = 0
                log_event(PREFIX_CONFIGURATION, f"A question to the platform failed: {fault}")
                gevent.sleep(WATCH_RETRY_DELAY_S)

    def _restore_if_lost(self, stored: tuple[VersionedValue, ...]) -> None:
        """Store the configuration in force where the store holds an older one, or none.

        It has come back from an older copy then. A few instances look, and the first one writes.
        """
        found = config_from_json(stored[0].value) if stored else EMPTY
        if found.generation >= self.document.generation or not self._should_restore():
            return
        gevent.sleep(MAX_RESTORE_DELAY_S * self._hub.rng.random())
        value = config_to_json(self.document)
        expected = stored[0].version if stored else 0
        result = self._hub.platform.put(KEY_CONFIG, value, expected)
        log_event(
            PREFIX_CONFIGURATION,
            f"The configuration in force is written again: {result.state.value}",
            generation=self.document.generation,
            stored=found.generation,
        )
        if result.state is not WriteState.DONE:
            # Another one has written, or it is not known: look again.
            self._revision = 0

    def _should_restore(self) -> bool:
        """Tell whether this instance is one of those that write again what the store has lost."""
        own = weight(KEY_CONFIG, self._hub.own.instance_id)
        live = self._members.live
        return sum(weight(KEY_CONFIG, one.instance_id) > own for one in live) < RESTORING_INSTANCES

    def _compare_with_peer(self) -> None:
        """Ask a random peer whether it has something newer."""
        own = self._hub.own.instance_id
        peers = [one.instance_id for one in self._members.live if one.instance_id != own]
        if peers:
            peer = self._hub.rng.choice(peers)
            self._hub.send(peer, ConfigAsked(own, self.document.generation))

    def _handle_request(self, _: str, message: ConfigAsked) -> None:
        """Answer a peer that may have something older or newer."""
        own = self._hub.own.instance_id
        if message.generation < self.document.generation:
            self._hub.send(message.sender, ConfigOffer(own, self.document))
        elif message.generation > self.document.generation:
            self._hub.send(message.sender, ConfigAsked(own, self.document.generation))

    def _handle_offer(self, _: str, message: ConfigOffer) -> None:
        """Take a peer's configuration if it is newer."""
        self._apply_if_newer(message.document)

    def _publish(self, document: ConfigDocument) -> None:
        """Send an accepted configuration to every peer, or to some of a large fleet."""
        own = self._hub.own.instance_id
        peers = [one.instance_id for one in self._members.live if one.instance_id != own]
        if len(peers) > MAX_PUBLISH_PEERS:
            # The others take it from the platform, or from peers as they compare.
            peers = self._hub.rng.sample(peers, MAX_PUBLISH_PEERS)
        for peer in peers:
            self._hub.send(peer, ConfigOffer(own, document))

    def _apply_if_newer(self, document: ConfigDocument) -> None:
        """Put a newer configuration in force."""
        before = self.document.policy
        if not self._controller.apply_if_newer(document):
            return
        if document.policy and (document.policy != before or self._policy is None):
            self._policy = parse_policy(document.policy)
        log_event(PREFIX_CONFIGURATION, f"Generation {document.generation} is in force")
        self._hub.notify_config(document)
