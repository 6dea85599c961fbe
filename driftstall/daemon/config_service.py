"""Update the configuration from the platform, from peers and from operators' submissions."""

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
"""Instances that try to restore a configuration lost by the store; one that succeeds is enough."""
MAX_RESTORE_DELAY_S: Final = 0.5
"""Maximum random delay before restoring, so that later instances find it already written."""
MAX_SETTLE_ATTEMPTS: Final = 4
SETTLE_RETRY_DELAY_S: Final = 0.25


class ConfigService:
    """Hold the configuration in force on this instance, and exchange it with peers."""

    def __init__(self, hub: Hub, members: MembershipService) -> None:
        """Initialize without a configuration and register the message handlers."""
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
        """Return the policy in force, or None before the first configuration."""
        return self._policy

    @property
    def is_ready(self) -> bool:
        """Return whether a policy is in force."""
        return self._policy is not None

    def start(self) -> None:
        """Start the watch of the platform and the periodic comparison with peers."""
        keep_running(PREFIX_CONFIGURATION, self._watch)
        self._hub.run_periodically(GOSSIP_PERIOD_S, self._compare_with_peer, PREFIX_CONFIGURATION)

    def submit(self, change: ConfigChange) -> Submission:
        """Write an operator's change to the platform, and publish it if accepted."""
        submission = Submission(change, self.document)
        actions = submission.start()
        attempts = 0
        while actions:
            event = self._carry_out(actions[0])
            unsettled = isinstance(event, ConfigReadFailed) and (
                submission.state is SubmitState.SETTLING
            )
            if unsettled and attempts < MAX_SETTLE_ATTEMPTS:
                attempts += 1
                gevent.sleep(SETTLE_RETRY_DELAY_S)
                continue
            actions = submission.handle(event)
        log_event(
            PREFIX_CONFIGURATION,
            f"Submission {change.submission}: {submission.state.value}",
            generation=submission.current.generation,
        )
        if submission.accepted is not None:
            self._apply_if_newer(submission.accepted)
            self._publish(submission.accepted)
        return submission

    def find_submission(self, submission_id: str) -> SubmitState:
        """Return ACCEPTED if an earlier submission is known to be accepted, else UNKNOWN.

        Only the newest submissions are stored: one that is not among them may be older, or may
        still arrive.
        """
        if submission_id in self.document.submissions:
            return SubmitState.ACCEPTED
        event = self._carry_out(ReadConfig())
        if not isinstance(event, ConfigRead):
            return SubmitState.UNKNOWN
        is_accepted = submission_id in event.document.submissions
        return SubmitState.ACCEPTED if is_accepted else SubmitState.UNKNOWN

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
        """Watch the platform's configuration forever, and apply its changes."""
        while True:
            try:
                lists = not self._revision
                at, changes = self._hub.platform.watch(KEY_CONFIG, self._revision)
                # If an error below ends this watch, a change may be partly applied. The next
                # watch then starts with a full list, as it does after an outage, in which the
                # platform may have lost its revision.
                self._revision = 0
                for change in changes:
                    self._apply_if_newer(config_from_json(change.value))
                self._revision = at
                self._has_read_platform = True
                if lists:
                    self._restore_if_lost(changes)
            except PlatformUnavailable as fault:
                self._revision = 0
                log_event(PREFIX_CONFIGURATION, f"Watch of the platform failed: {fault}")
                gevent.sleep(WATCH_RETRY_DELAY_S)

    def _restore_if_lost(self, stored: tuple[VersionedValue, ...]) -> None:
        """Write the configuration in force to the store if the store has an older one or none.

        The store may lack it after it was restored from an older copy. A few instances check, and
        the first of them to write succeeds.
        """
        stored_document = config_from_json(stored[0].value) if stored else EMPTY
        if stored_document.generation >= self.document.generation or not self._should_restore():
            return
        gevent.sleep(MAX_RESTORE_DELAY_S * self._hub.rng.random())
        value = config_to_json(self.document)
        expected = stored[0].version if stored else 0
        result = self._hub.platform.put(KEY_CONFIG, value, expected)
        log_event(
            PREFIX_CONFIGURATION,
            f"Rewriting the configuration to the store: {result.state.value}",
            generation=self.document.generation,
            stored=stored_document.generation,
        )
        if result.state is not WriteState.DONE:
            # Another instance has written, or the outcome is unknown: list again.
            self._revision = 0

    def _should_restore(self) -> bool:
        """Return whether this instance is one of those that restore a lost configuration."""
        own = weight(KEY_CONFIG, self._hub.own.instance_id)
        live = self._members.live
        return (
            sum(weight(KEY_CONFIG, member.instance_id) > own for member in live)
            < RESTORING_INSTANCES
        )

    def _compare_with_peer(self) -> None:
        """Send the own generation to a random peer, which replies if the two differ."""
        own = self._hub.own.instance_id
        peers = [member.instance_id for member in self._members.live if member.instance_id != own]
        if peers:
            peer = self._hub.rng.choice(peers)
            self._hub.send(peer, ConfigAsked(own, self.document.generation))

    def _handle_request(self, _: str, message: ConfigAsked) -> None:
        """Offer the configuration to a peer with an older one, or request a newer one from it."""
        own = self._hub.own.instance_id
        if message.generation < self.document.generation:
            self._hub.send(message.sender, ConfigOffer(own, self.document))
        elif message.generation > self.document.generation:
            self._hub.send(message.sender, ConfigAsked(own, self.document.generation))

    def _handle_offer(self, _: str, message: ConfigOffer) -> None:
        """Apply a peer's configuration if it is newer."""
        self._apply_if_newer(message.document)

    def _publish(self, document: ConfigDocument) -> None:
        """Publish an accepted configuration to every peer, or to a sample of a large fleet."""
        own = self._hub.own.instance_id
        peers = [member.instance_id for member in self._members.live if member.instance_id != own]
        if len(peers) > MAX_PUBLISH_PEERS:
            # The others get it from the platform, or from peers by periodic comparison.
            peers = self._hub.rng.sample(peers, MAX_PUBLISH_PEERS)
        for peer in peers:
            self._hub.send(peer, ConfigOffer(own, document))

    def _apply_if_newer(self, document: ConfigDocument) -> None:
        """Put a configuration in force if it is newer than the current one."""
        old_policy = self.document.policy
        if not self._controller.apply_if_newer(document):
            return
        if document.policy and (document.policy != old_policy or self._policy is None):
            self._policy = parse_policy(document.policy)
        log_event(PREFIX_CONFIGURATION, f"Configuration generation {document.generation} in force")
        self._hub.notify_config(document)
