"""One question to other routers about a stream, and their answers to it."""

import math
from collections.abc import Iterable, Iterator
from itertools import count

import trio

from peridotwell.fleet.transport.frames import StreamPull, StreamPush

__all__ = ('StreamSearch', 'StreamSearches')

_numbers = count(1)


class StreamSearch:
    """The wait for what several routers know of a stream and its service.

    It was begun at `asked_at`. `taken_up_at` is when the caller took the stream
    up, None for a question about the service alone.
    """

    def __init__(
        self,
        stream: int,
        service: str,
        asked_at: float,
        taken_up_at: float | None,
    ) -> None:
        self.stream = stream
        self.service = service
        self.asked_at = asked_at
        self.taken_up_at = taken_up_at
        self.ended = trio.Event()
        # By the wire id of the router that has answered.
        self.answers: dict[int, StreamPush] = {}
        self._asked: frozenset[int] | None = None
        # When questions were sent, by their numbers.
        self._sent_at: dict[int, float] = {}

    def pull(
        self, sender: int, now: float, *, wants_current: bool
    ) -> StreamPull:
        """Return a question that is sent `now`."""
        number = next(_numbers)
        self._sent_at[number] = now
        return StreamPull(
            sender, self.stream, self.service, number, wants_current
        )

    @property
    def questions(self) -> Iterable[int]:
        """The numbers of the questions that were sent."""
        return self._sent_at.keys()

    def known_until(self, push: StreamPush) -> float:
        """Return up to when the sender of an answer knows the store.

        That is by this router's clock, and at least: its age was told for the
        moment at which the question came, which is not before it was sent.
        """
        sent_at = self._sent_at.get(push.question)
        age = push.knowledge_age_seconds
        if sent_at is None or age is None:
            return -math.inf
        return sent_at - max(age, 0)

    def covers(self, taken_up_at: float | None) -> bool:
        """Return whether its end also answers for a stream taken up then."""
        if self.taken_up_at is None or taken_up_at is None:
            return self.taken_up_at == taken_up_at
        return taken_up_at <= self.taken_up_at

    def set_asked(self, routers: Iterable[int]) -> None:
        """Set the routers whose answers are waited for."""
        self._asked = frozenset(routers)

    @property
    def is_answered(self) -> bool:
        """Whether all routers that were asked have answered."""
        return self._asked is not None and self._asked <= self.answers.keys()

    @property
    def knows_version(self) -> bool:
        """Whether a router has told which version began the stream."""
        return any(push.version is not None for push in self.answers.values())

    def hears_store(self, max_age_seconds: float) -> bool:
        """Return whether the store has answered one of them lately."""
        ages = (push.knowledge_age_seconds for push in self.answers.values())
        return any(age is not None and age <= max_age_seconds for age in ages)

    def names_only(self, version: int, routers: Iterable[int]) -> bool:
        """Return whether all these routers have seen no other version."""
        answers = (self.answers.get(router) for router in routers)
        return all(
            push is not None
            and push.question
            and push.remembers
            and push.only_version == version
            for push in answers
        )


class StreamSearches:
    """The searches that are open, and the questions of each."""

    def __init__(self) -> None:
        self._open: list[StreamSearch] = []
        # By the number of the question.
        self._by_question: dict[int, StreamSearch] = {}

    def __iter__(self) -> Iterator[StreamSearch]:
        """Yield the searches that are open now."""
        yield from tuple(self._open)

    def add(self, search: StreamSearch) -> None:
        """Add a search that begins."""
        self._open.append(search)

    def record_question(self, search: StreamSearch, question: int) -> None:
        """Record the number of a question that a search sends."""
        self._by_question[question] = search

    def end(self, search: StreamSearch) -> None:
        """Remove a search; wake those that wait for its end."""
        search.ended.set()
        self._open.remove(search)
        for question in search.questions:
            self._by_question.pop(question, None)

    def joined(
        self, stream: int, service: str, taken_up_at: float | None
    ) -> StreamSearch | None:
        """Return a search that answers the same question, or None."""
        return next(
            (
                search
                for search in self._open
                if search.stream == stream
                and search.service == service
                and search.covers(taken_up_at)
            ),
            None,
        )

    def answered(self, push: StreamPush) -> tuple[StreamSearch, ...]:
        """Return the searches that an answer is for.

        Builds that repeat no question answer any about the same stream.
        """
        if push.question:
            search = self._by_question.get(push.question)
            return () if search is None else (search,)
        return tuple(
            search for search in self._open if search.stream == push.stream
        )
