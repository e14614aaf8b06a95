"""What the log tells of the ids of events."""

import pytest

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.forwarding.streams import event_verdicts
from peridotwell.forwarding.streams.event_order import EventOrder
from peridotwell.forwarding.streams.event_verdicts import EventVerdicts
from peridotwell.policy.evidence.event_steps import EventSteps

STREAMS = 12
TARGET = Target('t', 'a:1', TargetKind.service, Pool('north', 's'))


@pytest.fixture
def lines(monkeypatch):
    logged = []
    for name in ('log_event', 'log_failure'):
        monkeypatch.setattr(
            event_verdicts,
            name,
            lambda event, **fields: logged.append((event, fields)),
        )
    return logged


async def events_of(*numbers):
    for number in numbers:
        yield b'id: %d\ndata: x\n\n' % number


async def send(verdicts, *numbers):
    order = EventOrder(verdicts, 'r1', 's')
    async for _ in order.new_events(events_of(*numbers), TARGET):
        continue
    order.record_complete()


# Guards against verdicts on the ids of a service that no log tells.
async def test_the_log_tells_what_is_learned_and_each_missing_event(lines):
    verdicts = EventVerdicts(EventSteps(), list)
    for _ in range(STREAMS):
        await send(verdicts, 1, 2, 3)
    ((event, learned),) = lines
    assert event == 'event_ids.learned'
    assert (learned['service'], learned['finding']) == ('s', 'by_one')
    for _ in range(2):
        with pytest.raises(ResponseTruncated):
            await send(verdicts, 1, 2, 4)
    steps = [fields for name, fields in lines if name == 'event.step']
    names = ('request', 'target', 'last', 'next', 'missing', 'by_target')
    assert [tuple(step[name] for name in names) for step in steps] == [
        ('r1', 't', '2', '4', True, f't:{STREAMS}/0'),
        ('r1', 't', '2', '4', True, f't:{STREAMS}/1'),
    ]


# Guards against a line for each event where ids jump.
async def test_ids_that_jump_take_one_line_a_stream(lines):
    await send(EventVerdicts(EventSteps(), list), 4, 9, 11)
    assert [name for name, _ in lines] == ['event.step']
