"""Parts of streams that hold several events."""

import pytest

from peridotwell.forwarding.event_order import EventMissing, EventOrder
from peridotwell.policy.event_steps import EventSteps

SOUND_STREAMS = 20


def events(*numbers):
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


async def parts_of(*parts):
    for part in parts:
        yield part


async def received(order, *parts):
    return [part async for part in order.new_events(parts_of(*parts))]


# Guards against one write to the caller for each event of a read.
async def test_events_that_come_together_stay_together():
    order = EventOrder(EventSteps(), 's')
    parts = events(1, 2, 3), events(4)
    assert await received(order, *parts) == [*parts]
    assert (order.events, order.last_id) == (4, '4')


# Guards against events that came before, amid new ones of the same read.
async def test_repeated_events_are_left_out_of_a_part():
    order = EventOrder(EventSteps(), 's')
    parts = events(1, 2), events(2, 1, 3), events(3)
    assert await received(order, *parts) == [events(1, 2), events(3)]


# Guards against events that are lost because a later one of their read does not
# follow them.
async def test_events_before_a_missing_one_are_passed_on():
    steps = EventSteps()
    for _ in range(SOUND_STREAMS):
        steps.record('s', is_by_one=True)
    parts = EventOrder(steps, 's').new_events(parts_of(events(1, 2, 4)))
    assert await anext(parts) == events(1, 2)
    with pytest.raises(EventMissing):
        await anext(parts)
