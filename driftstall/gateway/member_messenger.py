"""Keep the member list of the fleet, and send messages to its members."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.controllers.membership import MembershipController, MembershipEvent, Ping, SendTo
from driftstall.core import Instance
from driftstall.gateway.reports import MS_PER_S
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.peers.codec import message_types_of
from driftstall.peers.gateway_messages import GatewayMessage
from driftstall.peers.link import ANY_RECIPIENT, PeerLinks, build_limits


class MemberMessenger:
    """Hold the member list, and the links over which members exchange messages."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        *,
        receive: Callable[[GatewayMessage], None],
    ) -> None:
        """Initialize with the shared state, this instance and the handler of received messages."""
        self._own = own
        self._state = state
        incarnation = int(state.wall_time_s() * MS_PER_S)
        self._members = MembershipController(own, incarnation, state.rng)
        self._links = PeerLinks(
            own.instance_id,
            state.settings.peer_listen,
            state.settings.peer_key.encode(),
            message_types_of(GatewayMessage),
            lambda _, message: receive(message),
            build_limits(state.settings.memory_mb, state.settings.max_fds),
        )

    @property
    def links(self) -> PeerLinks:
        """Return the links to the other instances."""
        return self._links

    @property
    def live(self) -> tuple[Instance, ...]:
        """Return the live instances by the member list."""
        return self._members.live

    def bind(self) -> None:
        """Bind the address; raises OSError."""
        self._links.bind()

    def start(self) -> None:
        """Start to listen."""
        self._links.start()

    def ping_seeds(self) -> None:
        """Ping the instances that are known from the start."""
        for address in self._state.settings.seeds:
            if address != self._own.peer_address:
                ping = Ping(self._own.instance_id, 0, "", self._members.changes)
                self._links.send(ANY_RECIPIENT, address, ping)

    def apply(self, event: MembershipEvent) -> None:
        """Apply an event to the member list; send its messages and log health changes."""
        for action in self._members.handle(event, self._state.now()):
            if isinstance(action, SendTo):
                self.send(action.recipient, action.message)
            elif action.instance_id != self._own.instance_id:
                log_event(PREFIX_MEMBERSHIP, f"Instance {action.instance_id} is {action.health}")

    def send(self, recipient: str, message: GatewayMessage) -> None:
        """Send a message to an instance if its address is known."""
        address = self._members.address_of(recipient)
        if address is not None:
            self._links.send(recipient, address, message)

    def broadcast(self, recipients: Iterable[Instance], message: GatewayMessage) -> None:
        """Send one message to several instances except this one."""
        own_id = self._own.instance_id
        addresses = [
            recipient.peer_address for recipient in recipients if recipient.instance_id != own_id
        ]
        if addresses:
            self._links.broadcast(addresses, message)
