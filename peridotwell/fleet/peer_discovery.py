"""How routers come to know each other, and forget who is gone."""

from collections.abc import Iterable

import msgspec

from peridotwell.fleet.frames import Hello
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peers
from peridotwell.logs import log_event
from peridotwell.policy.relays import needs_relays

__all__ = ('PeerDiscovery',)


class PeerDiscovery:
    """Greets other routers and answers their greetings."""

    def __init__(self, peers: Peers, bus: PeerTransport) -> None:
        self._peers = peers
        self._bus = bus

    def greet_seeds(self, seeds: Iterable[str], now: float) -> None:
        """Greet the routers of the settings while no other is known."""
        if not self._peers.live_peers(now):
            for address in seeds:
                self.greet(address)

    def greet(self, address: str) -> None:
        """Make this router known at an address."""
        hello = msgspec.structs.replace(self._peers.own, wants_reply=True)
        self._bus.send(address, hello)

    def meet(self, hellos: Iterable[Hello]) -> None:
        """Learn of routers, and greet those that are new."""
        for hello in hellos:
            known = self._peers.peer(hello.sender)
            if not self._peers.add(hello):
                continue
            if (
                known is not None
                and known.hello.peer_address != hello.peer_address
            ):
                self._bus.disconnect(known.hello.peer_address)
            log_event('router.met', router=hello.name)
            if not needs_relays(len(self._peers.known_peers())):
                self.greet(hello.peer_address)

    def forget_gone(self, listed: Iterable[Hello], now: float) -> None:
        """Forget routers that are silent and that the platform has dropped."""
        senders = {hello.sender for hello in listed}
        for peer in self._peers.known_peers():
            is_live = self._peers.is_live(peer, now)
            if not is_live and peer.wire_id not in senders:
                self._peers.remove(peer.wire_id)
                self._bus.disconnect(peer.hello.peer_address)
                log_event('router.forgotten', router=peer.hello.name)

    def answer(self, hello: Hello) -> None:
        """Meet the sender; introduce the others, so one seed is enough."""
        self.meet((hello,))
        if hello.wants_reply:
            self._bus.send(hello.peer_address, self._peers.own)
            for peer in self._peers.known_peers():
                self._bus.send(hello.peer_address, peer.hello)
