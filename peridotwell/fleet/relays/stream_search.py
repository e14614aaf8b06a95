"""One question to other routers about a stream, and their answers to it."""

import math
from collections.abc import Iterable
from itertools import count

import trio

from peridotwell.fleet.transport.frames import StreamPull, StreamPush

__all__ = ('StreamSearch',)

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

    def sent_at(self, push: StreamPush) -> float | None:
        """Return when the question was sent that an answer answers, or None.

        Builds that repeat no question answer the last one, or an earlier one of
        the same stream.
        """
        if not push.question and push.stream == self.stream:
            return -math.inf
        return self._sent_at.get(push.question)

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
