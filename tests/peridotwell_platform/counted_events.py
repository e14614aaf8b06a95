"""Targets that send streams of counted events, and bursts of requests to them.

A target goes on after the id that a request resumes at, and can leave out an
event of a share of its streams.
"""

from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from tests.peridotwell_platform.stream_ends import (
    Got,
    caller_of,
    chunked,
    events,
)
from tests.raw_target import RawTarget, read_request, request_field, send

__all__ = ('Burst', 'CountingTarget', 'LEFT_OUT', 'WHOLE', 'send_burst')

EVENTS = 12
LEFT_OUT = 7
NUMBERS = tuple(range(1, EVENTS + 1))
WHOLE = Got(200, events(*NUMBERS), 'chunks')
LAST_EVENT_ID = b'last-event-id: '
REQUEST_ID = b'x-request-id: '


@dataclass
class CountingTarget(RawTarget):
    """Sends the events with these numbers, chunked and with their end.

    It leaves out the event with the number LEFT_OUT in a `share` of them.
    """

    responses: list = field(default_factory=list)
    numbers: tuple[int, ...] = NUMBERS
    share: float = 0
    left_out: int = 0
    chance: Random = field(default_factory=partial(Random, 71))

    async def _serve(self, stream: trio.SocketStream) -> None:
        request = await read_request(stream)
        if request:
            self.requests.append(request)
            request_id = request_field(request, REQUEST_ID)
            after = int(request_field(request, LAST_EVENT_ID) or b'0')
            response = chunked(events(*self._numbers_after(after)))
            await send(stream, response, request_id)

    def _numbers_after(self, after: int) -> list[int]:
        numbers = [number for number in self.numbers if number > after]
        if LEFT_OUT in numbers and self.chance.random() < self.share:
            self.left_out += 1
            numbers.remove(LEFT_OUT)
        return numbers


@dataclass(frozen=True)
class Burst:
    """What the callers of a burst got, in the order of their requests."""

    answers: tuple[Got, ...]

    @property
    def whole(self) -> int:
        """The number of callers that have all events."""
        return sum(got == WHOLE for got in self.answers)

    @property
    def wrong(self) -> list[int]:
        """The requests whose answer looks whole and is not."""
        return [
            number
            for number, got in enumerate(self.answers)
            if got.status == WHOLE.status
            and got.end != 'cut'
            and got.content != WHOLE.content
        ]


async def send_burst(harness, path: str, requests: int) -> Burst:
    """Send requests at the same time."""
    request = caller_of(harness, path)
    answers: dict[int, Got] = {}

    async def record(number: int) -> None:
        answers[number] = await request(number)

    async with trio.open_nursery() as nursery:
        for number in range(requests):
            nursery.start_soon(record, number)
    return Burst(tuple(answers[number] for number in range(requests)))
