"""Discovers other routers and removes those that are gone."""

from collections.abc import Iterable

import msgspec

from peridotwell.fleet.transport.frames import Hello
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers
from peridotwell.logs import log_event
from peridotwell.policy.updates.relays import needs_relays

__all__ = ('PeerDiscovery',)


class PeerDiscovery:
    """Sends hello messages to other routers and answers theirs."""

    def __init__(self, peers: Peers, transport: PeerTransport) -> None:
        self._peers = peers
        self._transport = transport

    def contact_seeds(self, seeds: Iterable[str], now: float) -> None:
        """Send a hello to each seed address while no other router is live."""
        if not self._peers.live_peers(now):
            for address in seeds:
                self.send_hello(address)

    def send_hello(self, address: str) -> None:
        """Send this router's hello to an address and request a reply."""
        hello = msgspec.structs.replace(self._peers.own, wants_reply=True)
        self._transport.send(address, hello)

    def add_peers(self, hellos: Iterable[Hello]) -> None:
        """Add routers, and send a hello to those that are new.

        In a fleet that uses relays, no hello is sent.
        """
        new = [hello for hello in hellos if self._add_peer(hello)]
        if needs_relays(self._peers.known_count()):
            return
        for hello in new:
            self.send_hello(hello.peer_address)

    def _add_peer(self, hello: Hello) -> bool:
        """Add a router; return whether it is new or has restarted."""
        known = self._peers.peer(hello.sender)
        if not self._peers.add(hello):
            return False
        if known is not None:
            # Also at the same address: the connection to the process before is
            # closed, and would be opened again only after a wait.
            self._transport.disconnect(known.hello.peer_address)
        log_event('router.met', router=hello.name)
        return True

    def remove_gone(self, listed: Iterable[Hello], now: float) -> None:
        """Remove routers that are neither live nor registered."""
        senders = {hello.sender for hello in listed}
        for peer in self._peers.known_peers():
            is_live = self._peers.is_live(peer, now)
            if not is_live and peer.wire_id not in senders:
                self._peers.remove(peer.wire_id)
                self._transport.disconnect(peer.hello.peer_address)
                log_event('router.forgotten', router=peer.hello.name)

    def answer(self, hello: Hello) -> None:
        """Add the sender; send it all known routers if it wants a reply.

        Because of this reply, one seed address is enough for a new router.
        """
        self.add_peers((hello,))
        if hello.wants_reply:
            self._transport.send(hello.peer_address, self._peers.own)
            for peer in self._peers.known_peers():
                self._transport.send(hello.peer_address, peer.hello)
