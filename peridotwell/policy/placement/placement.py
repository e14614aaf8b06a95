"""Placement: the order in which the targets of a pool are tried for a request.

A returning chat should go to the target that still has its context cached.
Weighted rendezvous hashing gives every router the same order without any
messages. A target that joins or leaves moves only its own chats
(Thaler and Ravishankar, 1998). The load bound, in policy/room/credits.py, then
decides how far down this order a request goes.
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
        """Yield every target once, the preferred one first.

        `hint` is the placement hint of the caller, or empty.
        """


class RendezvousPlacement(Placement):
    """An order that depends on the chat only and is equal on all routers."""

    def order(
        self,
        chat: str,
        targets: Sequence[Target],
        hint: str = '',
    ) -> Iterator[Target]:
        """Yield the targets by the weighted hash of chat and target."""
        heap = [
            (_cost(chat, target), target.name, target) for target in targets
        ]
        heapq.heapify(heap)
        while heap:
            yield heapq.heappop(heap)[-1]


class HintedPlacement(RendezvousPlacement):
    """Rendezvous order, preceded by the target of the previous turn.

    The caller keeps the hint, so it survives the replacement of any router
    and needs no messages between routers. It is not binding: a target that
    has left is not in `targets`, and the load bound applies to the target.
    """

    def order(
        self,
        chat: str,
        targets: Sequence[Target],
        hint: str = '',
    ) -> Iterator[Target]:
        """Yield the target of the hint if it is live, then the others."""
        hinted = [
            target for target in targets if placement_hint(target) == hint
        ]
        yield from hinted
        for target in super().order(chat, targets):
            if target not in hinted:
                yield target


def placement_hint(target: Target) -> str:
    """Return the placement hint for callers that names `target`."""
    return f'{target.wire_id:08x}'


def _cost(chat: str, target: Target) -> float:
    digest = xxhash.xxh3_64_intdigest(
        f'{target.name}|{chat}'.encode(),
    )
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return -math.log(uniform) / target.weight
