"""Placement: in which order the targets of a pool are tried for a call.

A returning chat should land where its earlier context is still cached.
Weighted rendezvous hashing gives every router the same order without any
messages, and a join or leave moves only the chats of that target
(Thaler and Ravishankar, 1998). The load bound, in policy/credits.py, then
decides how far down this order a call goes.
"""

import heapq
import math
from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence

import xxhash

from peridotwell.domain.target import Target

__all__ = (
    'Placement',
    'RendezvousPlacement',
    'HintedPlacement',
    'placement_hint',
)

HASH_BITS = 64
HASH_RANGE = 1 << HASH_BITS


class Placement(ABC):
    """An order of preference over the live targets of one pool."""

    @abstractmethod
    def order(
        self,
        chat: str,
        targets: Sequence[Target],
        hint: str = '',
    ) -> Iterator[Target]:
        """Yield every target once, best first, lazily."""


class RendezvousPlacement(Placement):
    """The same order of preference for a chat on every router."""

    def order(
        self,
        chat: str,
        targets: Sequence[Target],
        hint: str = '',
    ) -> Iterator[Target]:
        """Yield targets by falling weighted hash of chat and target."""
        heap = [
            (_cost(chat, target), target.name, target) for target in targets
        ]
        heapq.heapify(heap)
        while heap:
            yield heapq.heappop(heap)[-1]


class HintedPlacement(RendezvousPlacement):
    """Rendezvous order, after the target that served the previous turn.

    The hint travels with the caller, so it survives every router's
    replacement and costs no messages between routers. It is only a hint:
    a target that has left is not in `targets`, and the load bound decides.
    """

    def order(
        self,
        chat: str,
        targets: Sequence[Target],
        hint: str = '',
    ) -> Iterator[Target]:
        """Yield the hinted target if it is live, then the others."""
        hinted = [
            target for target in targets if placement_hint(target) == hint
        ]
        yield from hinted
        for target in super().order(chat, targets):
            if target not in hinted:
                yield target


def placement_hint(target: Target) -> str:
    """Return the hint that names `target` to a caller."""
    return f'{target.wire_id:08x}'


def _cost(chat: str, target: Target) -> float:
    digest = xxhash.xxh3_64_intdigest(
        f'{target.name}|{chat}'.encode(),
    )
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return -math.log(uniform) / target.weight
