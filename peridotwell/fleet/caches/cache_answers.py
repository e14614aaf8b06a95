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
from peridotwell.policy.bulk_pacing import BulkPacer
from peridotwell.policy.prompt_cache_index import PromptCacheIndex

__all__ = ('CacheAnswers',)

# Size of a message of an answer.
CHUNK_BYTES = 16_000
# Number of routers that are answered at the same time.
MAX_ANSWERS = 4


@dataclass(frozen=True)
class _Answer:
    """What is still to be sent to one router."""

    address: str
    first_chunks: deque[Frame] = field(default_factory=deque)
    other_chunks: deque[Frame] = field(default_factory=deque)

    def has_chunks(self) -> bool:
        """Return whether something is still to be sent."""
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
        if len(self._answers) >= MAX_ANSWERS:
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

    def tick(self, now: float) -> None:
        """Send the chunks that are due."""
        while self._answers and self._pacer.may_send(now):
            self._send_chunk(now)

    def _send_chunk(self, now: float) -> None:
        """Send the next chunk; first portions to all routers come first."""
        waiting = (each for each in self._answers if each.first_chunks)
        answer = next(waiting, self._answers[0])
        chunks = answer.first_chunks or answer.other_chunks
        chunk = chunks.popleft()
        sent_before = self._transport.sent_bytes
        self._transport.send(answer.address, chunk)
        self._pacer.record_sent(self._transport.sent_bytes - sent_before, now)
        if not answer.has_chunks():
            self._answers.remove(answer)

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
