"""Tests of placement, retries, admission and quarantine."""

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.attempt_errors import (
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseTimeout,
    ResponseTruncated,
)
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import Overloaded
from peridotwell.policy.crashes.quarantine import (
    CrashRecord,
    Quarantine,
    request_fingerprint,
)
from peridotwell.policy.placement.placement import (
    HintedPlacement,
    RendezvousPlacement,
    placement_hint,
)
from peridotwell.policy.retries.retry import RetryBudget, RetryPolicy, RetryStep
from peridotwell.policy.room.admission import (
    AdmissionQueue,
    QueuedRequest,
    fair_share,
)

POOL = Pool('dc1', 'ink')
TARGETS = [
    Target(f'e{number}', 'x', TargetKind.engine, POOL) for number in range(20)
]
CHATS = [f'chat-{number}' for number in range(400)]


def first_target(chat, targets, hint=''):
    return next(HintedPlacement().order(chat, targets, hint))


def test_a_target_that_leaves_moves_only_its_own_chats():
    rest = TARGETS[1:]
    for chat in CHATS:
        before = first_target(chat, TARGETS)
        if before != TARGETS[0]:
            assert first_target(chat, rest) == before


def test_order_has_every_target_once_and_follows_the_hint():
    order = list(
        HintedPlacement().order('c', TARGETS, placement_hint(TARGETS[7]))
    )
    assert order[0] == TARGETS[7]
    assert sorted(target.name for target in order) == sorted(
        target.name for target in TARGETS
    )
    assert first_target('c', TARGETS, 'gone') == next(
        RendezvousPlacement().order('c', TARGETS)
    )


def test_a_target_with_more_weight_gets_more_chats():
    heavy = Target('heavy', 'x', TargetKind.engine, POOL, weight=5)
    chosen = [first_target(chat, [heavy, *TARGETS[:5]]) for chat in CHATS]
    assert 150 < chosen.count(heavy) < 250


FAILURES = {
    ConnectionFailed: (RetryStep.other_target, RetryStep.other_target),
    RefusedByTarget: (RetryStep.other_target, RetryStep.other_target),
    ResponseLost: (RetryStep.other_target, RetryStep.give_up),
    ResponseTruncated: (RetryStep.other_target, RetryStep.give_up),
    ResponseTimeout: (RetryStep.same_target, RetryStep.give_up),
}


@pytest.mark.parametrize('failure', FAILURES)
def test_next_step_for_each_failure(failure):
    steps = (
        RetryPolicy(RetryBudget(), idempotent=True).next_step(failure('x'), 3),
        RetryPolicy(RetryBudget(), idempotent=False).next_step(failure('x'), 3),
    )
    assert steps == FAILURES[failure]


def test_one_retry_on_another_target_within_the_budget():
    budget = RetryBudget(initial_retries=3)
    retries = RetryPolicy(budget, idempotent=True)
    assert retries.next_step(ResponseLost('x'), 0) is RetryStep.other_target
    assert retries.next_step(ResponseLost('x'), 0) is RetryStep.give_up
    steps = [
        RetryPolicy(budget, idempotent=True).next_step(ResponseLost('x'), 0)
        for _ in range(4)
    ]
    assert steps.count(RetryStep.other_target) == 2
    budget.earn(1)
    assert budget.spend()


@given(
    st.dictionaries(st.sampled_from('abcdef'), st.integers(1, 50), min_size=1),
    st.integers(1, 100),
)
def test_fair_shares_fill_the_capacity_and_no_more(demand, capacity):
    shares = {
        name: min(demand[name], fair_share(capacity, demand, {}, name))
        for name in demand
    }
    total = sum(shares.values())
    assert total <= capacity + 1e-6
    assert total >= min(capacity, sum(demand.values())) - 1e-6
    smallest = min(demand, key=demand.get)
    assert shares[smallest] >= min(
        demand[smallest], capacity / len(demand) - 1e-6
    )


async def test_queue_is_bounded_and_admits_urgent_requests_first(
    autojump_clock,
):
    queue = AdmissionQueue()
    order = []

    async def wait(name, priority):
        request = QueuedRequest(priority, 0, queue.next_arrival_number(), 10)
        try:
            await queue.wait(request, 2, 0)
        except Overloaded as exc:
            name = f'{name} refused, retry after {exc.retry_after_seconds}'
        order.append(name)

    async with trio.open_nursery() as nursery:
        for name, priority in (('a', 5), ('b', 5), ('c', 5), ('d', 0)):
            nursery.start_soon(wait, name, priority)
            await trio.testing.wait_all_tasks_blocked()
        queue.wake_next()
        await trio.testing.wait_all_tasks_blocked()
        queue.wake_next()
    assert order == [
        'c refused, retry after 2',
        'b refused, retry after 2',
        'd',
        'a',
    ]


async def test_wait_ends_with_a_refusal_at_its_deadline(autojump_clock):
    queue = AdmissionQueue()
    now = trio.current_time()
    with pytest.raises(Overloaded, match='in time'):
        await queue.wait(QueuedRequest(1, 0, 1, now + 3), 9, now)
    assert trio.current_time() - now == 3
    assert len(queue) == 0


# Guards against a waiting queue that grows with what callers send.
async def test_queue_is_bounded_in_bytes_and_the_last_gives_way(
    autojump_clock,
):
    queue = AdmissionQueue(max_bytes=10)
    refused = []

    async def wait(priority, size_bytes):
        arrival = queue.next_arrival_number()
        request = QueuedRequest(priority, 0, arrival, 10, size_bytes)
        try:
            await queue.wait(request, 9, 0)
        except Overloaded:
            refused.append((priority, size_bytes))

    async with trio.open_nursery() as nursery:
        for priority, size_bytes in ((1, 4), (2, 4), (3, 3), (2, 11), (0, 5)):
            nursery.start_soon(wait, priority, size_bytes)
            await trio.testing.wait_all_tasks_blocked()
        assert refused == [(3, 3), (2, 11), (2, 4)]
        assert len(queue) == 2
        queue.wake_next(2)


# Guards against places that stay taken after their callers have left.
async def test_request_that_leaves_frees_its_place_at_once(autojump_clock):
    queue = AdmissionQueue(max_bytes=10)
    with trio.move_on_after(1):
        await queue.wait(QueuedRequest(1, 0, 1, 10, 10), 1, 0)
    assert len(queue) == 0
    with trio.move_on_after(1):
        await queue.wait(QueuedRequest(2, 0, 2, 10, 10), 1, 0)
    assert len(queue) == 0


async def test_customer_that_had_less_is_ahead_of_equally_urgent_requests(
    autojump_clock,
):
    queue = AdmissionQueue()
    async with trio.open_nursery() as nursery:
        for order, arrival in ((1, 1), (3, 2)):
            request = QueuedRequest(1, order, arrival, 10)
            nursery.start_soon(queue.wait, request, 9, 0)
        await trio.testing.wait_all_tasks_blocked()
        assert queue.ahead(QueuedRequest(1, 0, 3, 10)) == 0
        assert queue.ahead(QueuedRequest(1, 2, 3, 10)) == 1
        assert queue.ahead(QueuedRequest(1, 9, 3, 10)) == 2
        assert queue.ahead(QueuedRequest(0, 9, 3, 10)) == 0
        queue.wake_next(2)


def crash_records():
    return st.builds(
        CrashRecord,
        st.just(1),
        st.lists(st.integers(0, 3), unique=True).map(
            lambda lost: tuple(sorted(lost))
        ),
        st.integers(0, 2),
        st.integers(5, 7),
    )


@given(crash_records(), crash_records(), crash_records())
def test_crash_records_merge_to_the_same_in_any_order(one, two, three):
    assert one.merge(one) == one
    left = one.merge(two).merge(three)
    right = three.merge(one.merge(two))
    assert left.lost_incarnations == right.lost_incarnations
    assert left.lifted_at == right.lifted_at


def test_request_is_refused_after_two_lost_targets_until_lifted():
    one, other = Quarantine(), Quarantine()
    fingerprint = request_fingerprint('/v1', b'crashing')
    one.record_loss(fingerprint, 11, 0, 60)
    again = one.record_loss(fingerprint, 11, 1, 60)
    assert again.lost_incarnations == (11,)
    other.merge([again], 1)
    assert not other.is_refused(fingerprint, 2, 1)
    other.record_loss(fingerprint, 12, 2, 60)
    one.merge(other.records(), 2)
    assert one.is_refused(fingerprint, 2, 2)
    assert not one.is_refused(request_fingerprint('/v1', b'harmless'), 2, 2)
    assert not one.is_refused(fingerprint, 2, 70)
    lifted = one.lift(fingerprint, 3)
    other.merge([lifted], 3)
    one.merge(other.records(), 3)
    assert not one.is_refused(fingerprint, 2, 3)


# A router that received no updates kept losses, and added later ones to them.
def test_expired_losses_do_not_count_with_later_ones():
    quarantine = Quarantine()
    quarantine.record_loss(1, 11, 0, 60)
    quarantine.record_loss(1, 12, 61, 60)
    assert quarantine.is_suspect(1, 62)
    assert not quarantine.is_refused(1, 2, 62)
    other = Quarantine()
    other.record_loss(1, 13, 0, 60)
    other.merge(quarantine.records(), 62)
    assert not other.is_refused(1, 2, 62)


def test_a_record_that_arrives_expired_is_dropped():
    quarantine, other = Quarantine(), Quarantine()
    late = quarantine.record_loss(1, 11, 0, 60)
    other.merge([late], 60)
    assert other.records() == ()


def test_completion_clears_a_suspect():
    quarantine = Quarantine()
    fingerprint = request_fingerprint('/v1', b'bystander')
    quarantine.record_loss(fingerprint, 11, 0, 60)
    assert quarantine.is_suspect(fingerprint, 1)
    assert quarantine.clear_suspect(fingerprint, 2).lost_incarnations == ()
    assert not quarantine.is_suspect(fingerprint, 3)
    assert quarantine.clear_suspect(fingerprint, 4) is None
