"""Choice of the router that takes over a request."""

from collections.abc import Callable, Collection, Iterator

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.policy.placement.choice import Choice
from peridotwell.policy.placement.rendezvous import rendezvous_score

__all__ = ('PeerPaths',)

# A router that reaches no target either is not asked again for this time.
UNABLE_SECONDS = 1.0
# Routers that are asked for one request.
MAX_ROUTERS_ASKED = 3
# Routers that reach fewer targets are asked only if there is no other.
MAX_MISSING_SHARE = 0.5


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
        self,
        request_id: str,
        tried: Collection[str],
        now: float,
        targets: Collection[int],
        may_reach: Callable[[str], bool] | None = None,
    ) -> Choice | None:
        """Return a router that may take over a request, or None.

        `tried` has the names of the targets and routers of earlier attempts,
        `targets` the wire ids of those that take the request. A router that
        has told that it reaches none of them is not asked, one that reaches
        less than half of them only if there is no other. Requests are spread
        evenly. `may_reach` tells whether a request may go to a data centre.
        """
        peers = [
            peer
            for peer in self._peers.live_peers(now)
            if _takes(peer)
            and (may_reach is None or may_reach(peer.hello.data_centre))
        ]
        asked = sum(peer.hello.name in tried for peer in peers)
        if asked >= MAX_ROUTERS_ASKED:
            return None
        candidates = tuple(self._candidates(peers, tried, now))
        chosen = max(
            _best_connected(candidates, targets),
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


def _best_connected(
    peers: Collection[Peer], targets: Collection[int]
) -> Collection[Peer]:
    """Return the peers that reach half of the targets, else any of them."""
    missing = {
        peer.wire_id: sum(
            target in peer.unreachable_targets for target in targets
        )
        for peer in peers
    }
    able = [peer for peer in peers if missing[peer.wire_id] < len(targets)]
    most = len(targets) * MAX_MISSING_SHARE
    return [peer for peer in able if missing[peer.wire_id] <= most] or able


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
