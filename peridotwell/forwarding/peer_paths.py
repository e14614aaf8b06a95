"""Choice of the router that takes over a request."""

from collections.abc import Collection, Iterator

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.policy.choice import Choice
from peridotwell.policy.rendezvous import rendezvous_score

__all__ = ('PeerPaths',)

# A router that reaches no target either is not asked again for this time.
UNABLE_SECONDS = 1.0
# Routers that are asked for one request.
MAX_ROUTERS_ASKED = 3


class PeerPaths:
    """The other routers as ways to the targets that this one cannot reach."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._unable_until: dict[str, float] = {}

    def record_unable(self, router: str, now: float) -> None:
        """Record that a router could not take over a request."""
        self._unable_until = {
            name: until
            for name, until in self._unable_until.items()
            if until > now
        }
        self._unable_until[router] = now + UNABLE_SECONDS

    def choose(
        self, request_id: str, tried: Collection[str], now: float
    ) -> Choice | None:
        """Return a router that may take over a request, or None.

        `tried` has the names of the targets and routers of earlier attempts.
        Requests are spread evenly.
        """
        peers = [peer for peer in self._peers.live_peers(now) if _takes(peer)]
        asked = sum(peer.hello.name in tried for peer in peers)
        if asked >= MAX_ROUTERS_ASKED:
            return None
        chosen = max(
            self._candidates(peers, tried, now),
            key=lambda peer: rendezvous_score(request_id, peer.hello.name),
            default=None,
        )
        return None if chosen is None else _choice(chosen)

    def _candidates(
        self, peers: list[Peer], tried: Collection[str], now: float
    ) -> Iterator[Peer]:
        for peer in peers:
            name = peer.hello.name
            if name not in tried and self._unable_until.get(name, now) <= now:
                yield peer


def _takes(peer: Peer) -> bool:
    return bool(peer.hello.handover_address) and not peer.is_leaving


def _choice(peer: Peer) -> Choice:
    hello = peer.hello
    target = Target(
        hello.name,
        hello.handover_address,
        TargetKind.service,
        Pool(hello.data_centre, ''),
        incarnation=str(hello.incarnation),
    )
    return Choice(target, 0, 0, is_handover=True)
