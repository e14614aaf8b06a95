"""Which streams are in order, as far as a router can tell."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.forwarding.streams.event_order import EventMissing, EventOrder
from peridotwell.forwarding.streams.event_verdicts import EventVerdicts
from peridotwell.forwarding.streams.stream_log import StreamEnd
from peridotwell.policy.evidence.event_steps import EventSteps

STREAMS = 20
TARGET = Target('t', 'a:1', TargetKind.service, Pool('north', 's'))


async def events_of(*numbers):
    for number in numbers:
        yield b'id: %d\ndata: x\n\n' % number


async def end_of_stream(steps, *numbers):
    order = EventOrder(EventVerdicts(steps, list), 'r', 's')
    async for _ in order.new_events(events_of(*numbers), TARGET):
        continue
    order.record_complete()
    return StreamEnd('chunks', 'chunks', order, 1, False)


# Guards against a line of the log for each sound stream of a service whose ids
# do not go up by one from 1.
@pytest.mark.parametrize('numbers', [(0, 1, 2), (4, 9, 11)])
async def test_sound_streams_with_other_ids_are_usual(numbers):
    steps = EventSteps()
    ends = [await end_of_stream(steps, *numbers) for _ in range(STREAMS)]
    assert ends[-1].is_usual


async def test_streams_with_repeated_events_are_unusual():
    end = await end_of_stream(EventSteps(), 1, 2, 2)
    assert not end.is_usual


# Guards against an event that is left out right behind the first one of a
# stream that a caller resumes, at a router that knows nothing of the service.
async def test_the_event_after_which_a_caller_resumes_counts():
    order = EventOrder(EventVerdicts(EventSteps(), list), 'r', 's', '9')
    parts = order.new_events(events_of(9, 10, 12), TARGET)
    assert await anext(parts) == b'id: 10\ndata: x\n\n'
    with pytest.raises(EventMissing):
        await anext(parts)
