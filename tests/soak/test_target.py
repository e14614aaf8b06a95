"""Targets of the soak answer twice, break off and record what they answered."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from tests.raw_target import listen
from tests.soak.brittle import CONTACT_SECONDS
from tests.soak.events import EVENTS_PER_STREAM, numbered_events
from tests.soak.odd_answers import FRAMINGS, ODDITIES
from tests.soak.records import Arrived, Replied, TargetDisturbed, now, select
from tests.soak.target import CUTS, EVENT_SECONDS, SoakTarget

REQUEST = (
    'POST /{kind}/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: q1-{kind}\r\n'
    'Content-Length: 8\r\n\r\nquestion'
)
STATUS_REQUEST = b'GET /peridotwell/report HTTP/1.1\r\nHost: a\r\n\r\n'
# A cut answer without its connection's end takes longer than this.
WAIT_SECONDS = 2


class Draws:
    """Draws that always have the fault, and take the `number`th choice."""

    def __init__(self, number=0):
        self._number = number

    def random(self):
        return 0

    def uniform(self, low, high):
        return low

    def randint(self, low, high):
        return low

    def randrange(self, low, high=None):
        return 0 if high is None else low

    def choice(self, choices):
        return choices[self._number % len(choices)]


async def exchange(nursery, target, kind='read', *, answers=9):
    """Send a request; return the bytes of some answers, or until the end."""
    target.proxy = SimpleNamespace(is_clear=True, passages={})
    address = await listen(nursery, target.serve)
    stream = await trio.open_tcp_stream('127.0.0.1', int(address[10:]))
    await stream.send_all(REQUEST.format(kind=kind).encode())
    received = b''
    with trio.move_on_after(WAIT_SECONDS):
        while received.count(b'HTTP/1.1') < answers:
            part = await stream.receive_some()
            if not part:
                return received + b'END'
            received += part
    return received


@pytest.mark.parametrize('kind', ['read', 'draft'])
async def test_a_stuttering_target_answers_twice(nursery, kind):
    target = SoakTarget('t0', [], Draws(), stutters=True)
    received = await exchange(nursery, target, kind, answers=2)
    assert received.count(b'HTTP/1.1 200') == 2
    assert len(list(select(target.records, Replied))) == 1


@pytest.mark.parametrize('number', range(len(CUTS)))
async def test_a_target_that_cuts_ends_the_connection(nursery, number):
    target = SoakTarget('t0', [], Draws(number), cuts=True)
    manner = CUTS[number]
    if manner.cut == 'reset':
        with pytest.raises(trio.BrokenResourceError):
            await exchange(nursery, target)
    else:
        received = await exchange(nursery, target)
        assert received.endswith(b'END')
        assert received.endswith(b'q1-readEND') is not bool(manner.cut)
    (reply,) = select(target.records, Replied)
    assert reply.is_whole is not bool(manner.cut)


# Guards against streams that look whole though their target ended them early,
# or whose events come twice (issue 68).
@pytest.mark.parametrize('number', range(len(ODDITIES)))
@pytest.mark.parametrize('kind', ['read', 'draft', 'ask'])
async def test_an_odd_answer_ends_in_the_ordinary_way(nursery, kind, number):
    target = SoakTarget('t0', [], Draws(), odd_answers=True)
    target.odd_draws = Draws(number)
    received = await exchange(nursery, target, kind, answers=2)
    (reply,) = select(target.records, Replied)
    is_open = FRAMINGS[number % len(FRAMINGS)] == 'open'
    assert received.endswith(b'END') is (is_open or not reply.is_whole)
    if is_open:
        assert received.endswith(reply.body + b'END')
    numbers = [each for each, _ in numbered_events(reply.body)]
    if kind != 'read':
        assert numbers != [*range(1, EVENTS_PER_STREAM + 1)]
        assert reply.is_whole is (ODDITIES[number] is not None)


@pytest.mark.parametrize(
    ('oddity', 'count', 'is_closed'),
    [
        ('leave_out', EVENTS_PER_STREAM - 1, False),
        ('unmarked', EVENTS_PER_STREAM, True),
        ('break_off', EVENTS_PER_STREAM // 2, True),
    ],
)
async def test_a_target_is_odd_in_one_way(nursery, oddity, count, is_closed):
    target = SoakTarget('t0', [], Draws(), oddity=oddity, oddity_share=1)
    target.odd_draws = Draws()
    received = await exchange(nursery, target, 'draft', answers=2)
    assert len(numbered_events(received.replace(b'\r\n', b''))) <= count
    (reply,) = select(target.records, Replied)
    assert len(numbered_events(reply.body)) == count
    assert received.endswith(b'END') is is_closed


async def test_a_target_that_dies_ends_its_connections(nursery):
    target = SoakTarget('t0', [], Draws(), oddity='unmarked', oddity_share=1)
    target.odd_draws = Draws()
    nursery.start_soon(_die_soon, target)
    received = await exchange(nursery, target, 'draft')
    assert received.endswith(b'\n\nEND')
    assert 0 < len(numbered_events(received)) < EVENTS_PER_STREAM
    assert list(select(target.records, TargetDisturbed))
    assert await exchange(nursery, target, 'draft') == b'END'
    await trio.sleep(EVENT_SECONDS * 3)
    assert not target.connections
    assert not target.running


async def _die_soon(target):
    while not list(select(target.records, Replied)):
        await trio.sleep(0.01)
    await trio.sleep(EVENT_SECONDS * 3)
    target.die(WAIT_SECONDS)


async def test_a_target_in_a_pause_runs_nothing(nursery):
    target = SoakTarget('t0', [], Draws(), pause_seconds=1.5)
    received = await exchange(nursery, target, answers=1)
    assert b'503' in received
    assert b'x-not-executed: 1' in received
    (arrived,) = select(target.records, Arrived)
    assert (arrived.runs, arrived.pause_seconds) == (False, 1.5)


# Guards against a brittle target that falls over before any router can know
# that it is brittle: answers come late where callers starve it (issue 56).
async def test_a_target_is_brittle_from_a_time_after_it_has_said_so(nursery):
    target = SoakTarget('t0', [], Draws(), max_rejections='3')
    target.brittle_from = None
    target.running = 5
    received = await exchange(nursery, target, answers=1)
    assert b'server-brittle: 3' in received
    assert b'200' in received
    await trio.testing.wait_all_tasks_blocked()
    left = target.brittle_from - now()
    assert 0 < left <= CONTACT_SECONDS
    target.brittle_from -= CONTACT_SECONDS
    received = await exchange(nursery, target, answers=1)
    assert b'503' in received
    assert [
        each.runs for each in target.records if isinstance(each, Arrived)
    ] == [
        True,
        False,
    ]


async def test_an_answer_that_is_cut_tells_no_router(nursery):
    target = SoakTarget('t0', [], Draws(), max_rejections='3', cuts=True)
    target.brittle_from = None
    await exchange(nursery, target)
    await trio.testing.wait_all_tasks_blocked()
    assert target.brittle_from is None


# Guards against a target that ends by a status check, which has no id.
async def test_a_status_check_is_answered_and_is_no_request(nursery):
    target = SoakTarget('t0', [], Draws())
    target.proxy = SimpleNamespace(is_clear=True, passages=[])
    address = await listen(nursery, target.serve)
    stream = await trio.open_tcp_stream('127.0.0.1', int(address[10:]))
    await stream.send_all(STATUS_REQUEST)
    with trio.fail_after(WAIT_SECONDS):
        received = await stream.receive_some()
    assert received.startswith(b'HTTP/1.1 200')
    assert not target.records
