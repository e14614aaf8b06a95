"""Answers to routers that request the index of the engines' prompt caches.

An answer is large. It is sent in chunks, at a share of the link's rate, so that
updates do not wait for it; the parts with most tokens are in the first chunks.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from peridotwell.domain.target import wire_id
from peridotwell.fleet.caches.cache_lists import chunk_lists, list_portions
from peridotwell.fleet.transport.frames import (
    CachedPrompt,
    CachesPush,
    CachesRefusal,
    Frame,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.policy.placement.prompt_cache_index import PromptCacheIndex
from peridotwell.policy.updates.bulk_pacing import BulkPacer

__all__ = ('CacheAnswers',)

# Size of a message of an answer.
CHUNK_BYTES = 16_000
# Number of routers that are answered at the same time.
MAX_ANSWERS = 4
# The connection to a router that has just started opens within this time.
CONNECT_SECONDS = 1.0


@dataclass
class _Answer:
    """What is still to be sent to one router."""

    address: str
    first_chunks: deque[Frame]
    other_chunks: deque[Frame] = field(default_factory=deque)
    # When a chunk could first not be sent; None once one was sent.
    failed_at: float | None = None

    def is_pending(self, now: float) -> bool:
        """Return whether chunks are left and the router may be reachable."""
        if self.failed_at is not None:
            return now - self.failed_at <= CONNECT_SECONDS
        return bool(self.first_chunks or self.other_chunks)


class CacheAnswers:
    """Sends the index to other routers, some at the same time."""

    def __init__(
        self,
        transport: PeerTransport,
        cache_index: PromptCacheIndex,
        own: int,
        link_bytes_per_second: float,
    ) -> None:
        self._transport = transport
        self._cache_index = cache_index
        self._own = own
        self._pacer = BulkPacer(link_bytes_per_second)
        self._answers: list[_Answer] = []

    def add(self, address: str, is_complete: bool) -> bool:
        """Start an answer.

        An index that is not complete is followed by a refusal, so that the
        other router asks another one. Returns False if nothing is known, or
        too many answers are being sent.
        """
        if any(answer.address == address for answer in self._answers):
            return True
        if self._answer_count() >= MAX_ANSWERS:
            return False
        first_portions, others = self._portions()
        if not first_portions:
            return False
        answer = _Answer(address, deque(self._messages(first_portions)))
        if is_complete:
            answer.other_chunks.extend(self._messages(others))
            answer.other_chunks.append(CachesPush(self._own, ()))
        else:
            answer.first_chunks.append(CachesRefusal(self._own))
        self._answers.append(answer)
        return True

    def refuse(self, address: str) -> None:
        """Tell a router to request the index from another one."""
        self._answers.append(
            _Answer(address, deque((CachesRefusal(self._own),)))
        )

    def tick(self, now: float) -> None:
        """Send the chunks that are due, the first portions to all first."""
        for answer in self._answers:
            self._send_chunks(answer, answer.first_chunks, now)
        if not any(answer.first_chunks for answer in self._answers):
            for answer in self._answers:
                self._send_chunks(answer, answer.other_chunks, now)
        self._answers = [
            answer for answer in self._answers if answer.is_pending(now)
        ]

    def _send_chunks(
        self, answer: _Answer, chunks: deque[Frame], now: float
    ) -> None:
        """Send chunks while the link has room and the router is connected."""
        while chunks and self._pacer.may_send(now):
            sent_before = self._transport.sent_bytes
            if not self._transport.send(answer.address, chunks[0]):
                answer.failed_at = answer.failed_at or now
                return
            answer.failed_at = None
            chunks.popleft()
            sent_bytes = self._transport.sent_bytes - sent_before
            self._pacer.record_sent(sent_bytes, now)

    def _answer_count(self) -> int:
        """Return the number of routers that are answered, not refused."""
        return sum(
            len(answer.first_chunks) + len(answer.other_chunks) > 1
            for answer in self._answers
        )

    def _portions(self) -> tuple[list[CachedPrompt], list[CachedPrompt]]:
        """Return the first portions of all lists, and the others."""
        first_portions: list[CachedPrompt] = []
        others: list[CachedPrompt] = []
        for name, parts in self._cache_index.all_parts().items():
            first, *rest = list_portions(wire_id(name), parts)
            first_portions.append(first)
            others.extend(rest)
        return first_portions, others

    def _messages(self, lists: Iterable[CachedPrompt]) -> Iterator[Frame]:
        for chunk in chunk_lists(lists, CHUNK_BYTES):
            yield CachesPush(self._own, chunk, is_last=False)
