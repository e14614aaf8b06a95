"""Sends large changes of the store from a relay to the routers of its group.

They go to one router at a time, at a share of the relay's link, in messages of
their own: batches with updates and small entries never wait for them. Each has
all changes since the version that it builds on, so its receiver is up to date.
"""

from collections import deque
from collections.abc import Iterable, Sequence

from peridotwell.fleet.transport.frames import (
    EntryPatch,
    LargeChanges,
    StoreChanges,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.logs import log_event
from peridotwell.policy.updates.bulk_pacing import BulkPacer
from peridotwell.policy.updates.change_distribution import (
    ChangeReceiver,
    choose_receivers,
)

__all__ = ('LargeChangeSender',)


class LargeChangeSender:
    """Sends the last large change to the routers that were chosen for it."""

    def __init__(self, peers: Peers, transport: PeerTransport) -> None:
        self._peers = peers
        self._transport = transport
        self._pacer = BulkPacer(peers.own.link_bytes_per_second)
        self._waiting: deque[int] = deque()

    @property
    def is_sending(self) -> bool:
        """Whether routers wait for the last change."""
        return bool(self._waiting)

    def start(
        self, patches: Sequence[EntryPatch], members: Iterable[int]
    ) -> tuple[int, ...]:
        """Begin to send a change, and return the routers that will get it.

        Routers that have not got the change before read the store.
        """
        patch_bytes = sum(len(each.patch) for each in patches)
        self._waiting = deque(
            choose_receivers(
                self._receivers(members),
                patch_bytes,
                self._peers.own.link_bytes_per_second,
            )
        )
        log_event(
            'entries.large_change',
            patch_bytes=patch_bytes,
            routers=len(self._waiting),
        )
        return tuple(self._waiting)

    def send_due(self, changes: StoreChanges, now: float) -> None:
        """Send the changes to as many routers as the link bears now."""
        message = LargeChanges(self._peers.own.sender, changes)
        sent_bytes = sum(len(each.patch) for each in changes.patches)
        while self._waiting and self._pacer.may_send(now):
            peer = self._peers.peer(self._waiting.popleft())
            if peer is not None:
                self._transport.send(peer.hello.peer_address, message)
                self._pacer.record_sent(sent_bytes, now)

    def _receivers(self, members: Iterable[int]) -> Iterable[ChangeReceiver]:
        """Yield the members that can read large changes."""
        peers = (self._peers.peer(member) for member in members)
        for peer in peers:
            if peer is not None and peer.hello.takes_large_changes:
                yield _receiver(peer)


def _receiver(peer: Peer) -> ChangeReceiver:
    return ChangeReceiver(peer.wire_id, peer.hello.link_bytes_per_second)
