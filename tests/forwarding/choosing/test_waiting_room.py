"""Requests for which no target has room wait, or are refused at once."""

import logging
import math
from collections import Counter
from dataclasses import replace

import pytest
import trio
import trio.testing

from peridotwell.errors import NoRoom, NoTarget, RunState
from peridotwell.fleet.replica.store_belief import (
    Evidence,
    EvidenceSource,
    StoreBelief,
)
from peridotwell.forwarding.choosing.waiting_room import (
    MAX_WAITING_BYTES,
    WaitingRoom,
)
from peridotwell.metrics import Metrics
from peridotwell.policy.placement.choice import Choice
from peridotwell.policy.retries.return_spread import ReturnSpread
from tests.forwarding.targets.test_crash_tracker import (
    ROUTE,
    make_request,
    target,
)

TARGET = target('t', '10.0.0.1:80')
# Requests that are sent a second while there is room.
RATE = 50


class Selector:
    """A selector whose target has room for a number of requests."""

    def __init__(self, room=0, room_seconds=0):
        self.room = room
        self.room_seconds = room_seconds
        self.sent = []

    def choose(self, request, tried, now, software=None, *, may_hand_over=True):
        if not tried:
            if self.room < 1:
                raise NoRoom('full', room_seconds=self.room_seconds)
            self.room -= 1
        self.sent.append(request)
        return Choice(TARGET, 0, 0)


class Room(WaitingRoom):
    """A waiting room whose router has sent `RATE` requests a second lately."""

    def __init__(self, selector):
        self.spread = ReturnSpread()
        self.belief = StoreBelief()
        self.belief.evidence = Evidence(math.inf, 1, EvidenceSource.watch)
        super().__init__(selector, self.spread, Metrics('', 'p'), self.belief)
        self.results = Counter()

    def record_sent(self, count=RATE * 2):
        for _ in range(count):
            self.spread.record_sent('s', trio.current_time())

    async def call(self, request, tried=()):
        """Count whether a request was sent or refused, by customer."""
        try:
            await self.choose(request, tried)
        except NoRoom:
            self.results[request.customer, 'refused'] += 1
        else:
            self.record_sent(1)
            self.results[request.customer, 'sent'] += 1


def request_of(customer='c', **changes):
    now = trio.current_time()
    request = make_request()
    changes = {
        'customer': customer,
        'route': replace(ROUTE, objective_seconds=0.3),
        'arrived_at': now,
        'deadline_at': now + 9,
        **changes,
    }
    return replace(request, **changes)


@pytest.fixture
def selector():
    return Selector()


@pytest.fixture
async def room(selector, nursery):
    waiting_room = Room(selector)
    waiting_room.record_sent()

    async def run():
        while True:
            await waiting_room.run()

    nursery.start_soon(run)
    return waiting_room


async def test_request_is_sent_as_soon_as_there_is_room(
    room, selector, nursery, autojump_clock
):
    nursery.start_soon(room.call, request_of())
    await trio.sleep(0.1)
    await trio.testing.wait_all_tasks_blocked()
    assert room.waiting_count() == 1
    assert not selector.sent
    selector.room = 1
    await trio.sleep(0.03)
    assert room.results['c', 'sent'] == 1
    assert room.waiting_count() == 0


# Guards against callers that wait for a service that does not reach them.
async def test_request_that_would_wait_too_long_is_refused_at_once(
    room, autojump_clock
):
    await trio.sleep(9)
    room.record_sent(2)
    began_at = trio.current_time()
    with pytest.raises(NoRoom) as caught:
        await room.choose(request_of(), ())
    assert trio.current_time() == began_at
    assert caught.value.run_state is RunState.not_run
    assert caught.value.status == 503
    # One request a second is sent: the wait for the first, and for the others.
    assert 1 <= caught.value.retry_after_seconds <= 3


# Guards against waiting for a target that says when it has room, far off.
async def test_pause_of_all_targets_refuses_at_once(
    room, selector, autojump_clock
):
    selector.room_seconds = 4
    with pytest.raises(NoRoom) as caught:
        await room.choose(request_of(), ())
    assert caught.value.retry_after_seconds >= 4


# Guards against requests that wait to their deadline.
@pytest.mark.parametrize(
    ('objective', 'remaining', 'expected'),
    [(0.3, 9, 0.15), (0.1, 9, 0.05), (0, 9, 0.15), (0.3, 0.5, 0.05)],
)
async def test_request_waits_for_a_part_of_what_it_bears(
    room, autojump_clock, objective, remaining, expected
):
    began_at = trio.current_time()
    request = request_of(
        route=replace(ROUTE, objective_seconds=objective),
        deadline_at=began_at + remaining,
    )
    with pytest.raises(NoRoom) as caught:
        await room.choose(request, ())
    assert trio.current_time() - began_at == pytest.approx(expected)
    assert caught.value.run_state is RunState.not_run
    assert room.waiting_count() == 0


# Guards against places that stay taken after their callers have left.
async def test_caller_that_leaves_frees_its_place_at_once(
    room, nursery, autojump_clock
):
    with trio.move_on_after(0.01):
        await room.choose(request_of(), ())
    assert room.waiting_count() == 0


async def test_more_urgent_request_goes_first(
    room, selector, nursery, autojump_clock
):
    nursery.start_soon(room.call, request_of('slow', priority=2))
    await trio.sleep(0.001)
    nursery.start_soon(room.call, request_of('fast', priority=0))
    await trio.sleep(0.001)
    selector.room = 1
    await trio.sleep(0.03)
    assert [sent.customer for sent in selector.sent] == ['fast']


# Guards against a request that takes the room for which others wait.
async def test_new_request_does_not_pass_those_that_wait(
    room, selector, nursery, autojump_clock
):
    nursery.start_soon(room.call, request_of('first'))
    await trio.testing.wait_all_tasks_blocked()
    selector.room = 1
    nursery.start_soon(room.call, request_of('second'))
    await trio.sleep(0.03)
    assert [sent.customer for sent in selector.sent] == ['first']


# Guards against one customer that fills the waiting room for all others.
async def test_customer_at_twenty_times_its_usual_takes_no_others_share(
    room, selector, nursery, autojump_clock
):
    async def give_room():
        while True:
            await trio.sleep(1 / RATE)
            selector.room = min(selector.room + 1, 2)

    async def call_often(customer, per_second):
        while True:
            nursery.start_soon(room.call, request_of(customer))
            await trio.sleep(1 / per_second)

    nursery.start_soon(give_room)
    nursery.start_soon(call_often, 'busy', 200)
    for calm in ('one', 'two', 'three'):
        nursery.start_soon(call_often, calm, 10)
    await trio.sleep(10)
    for calm in ('one', 'two', 'three'):
        assert room.results[calm, 'sent'] >= 95
    total = sum(
        count for (_, how), count in room.results.items() if how == 'sent'
    )
    assert total >= RATE * 9.5


# Guards against memory that grows with what callers send.
async def test_waiting_requests_are_bounded_in_bytes(
    room, nursery, autojump_clock
):
    body = bytes(MAX_WAITING_BYTES // 2 + 1)
    nursery.start_soon(room.call, request_of('first', body=body))
    await trio.testing.wait_all_tasks_blocked()
    nursery.start_soon(room.call, request_of('second', body=body))
    await trio.testing.wait_all_tasks_blocked()
    assert room.results == {('second', 'refused'): 1}
    assert room.waiting_count() == 1


# Guards against requests that wait twice: the second attempt has had its turn.
async def test_second_attempt_does_not_wait(room, selector, autojump_clock):
    choice = await room.choose(request_of(), ('t0',))
    assert choice.target == TARGET


# Guards against one line in the log for each request that finds no room.
async def test_log_has_one_line_when_a_service_is_full_and_one_afterwards(
    room, selector, nursery, autojump_clock, caplog
):
    caplog.set_level(logging.INFO, 'peridotwell')
    for _ in range(20):
        nursery.start_soon(room.call, request_of())
    await trio.sleep(0.2)
    selector.room = 9
    await trio.sleep(2)
    await room.call(request_of())
    events = [record.msg['event'] for record in caplog.records]
    assert events == ['service.full', 'service.has_room']


# Guards against a request that was read before the router stood still, and goes
# to a target that has left meanwhile.
@pytest.mark.parametrize('tried', [(), ('another',)])
async def test_a_router_that_stood_still_reads_the_news_before_it_chooses(
    room, selector, nursery, autojump_clock, tried
):
    selector.room = 1
    now = trio.current_time()
    room.belief.evidence = Evidence(now - 2.1, 1, EvidenceSource.watch)
    nursery.start_soon(room.call, request_of(), tried)
    await trio.sleep(0.1)
    assert not selector.sent
    new = Evidence(now, 2, EvidenceSource.check)
    room.belief.record(new, trio.current_time())
    await trio.testing.wait_all_tasks_blocked()
    assert len(selector.sent) == 1


# Guards against requests that are sent to targets of which the router may lack
# that they have left, once it has asked the store in vain.
@pytest.mark.parametrize('tried', [(), ('other',)])
async def test_no_target_is_chosen_by_an_old_belief(autojump_clock, tried):
    selector = Selector(1)
    room = Room(selector)
    now = trio.current_time()
    room.belief.evidence = Evidence(now - 2.1, 1, EvidenceSource.watch)
    with pytest.raises(NoTarget, match='may lack'):
        await room.choose(request_of(), tried)
    assert not selector.sent
    assert trio.current_time() - now <= 0.3


async def test_a_target_is_chosen_while_the_store_is_known_to_be_away(
    autojump_clock,
):
    selector = Selector(1)
    room = Room(selector)
    now = trio.current_time()
    room.belief.evidence = Evidence(now - 2.1, 1, EvidenceSource.watch)
    room.belief.record_failure(now)
    await room.choose(request_of(), ('other',))
    assert selector.sent
