import itertools

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.contract import Contract
from peridotwell.domain.idempotency_key import (
    check_idempotency_key,
    key_timestamp,
)
from peridotwell.errors import (
    ClaimUnavailable,
    IdempotencyKeyExpired,
    IdempotencyKeyReused,
    OutcomeUnknown,
    RequestError,
    RequestInProgress,
    RequestQuarantined,
    RunState,
    StoreError,
)
from peridotwell.serving.at_most_once import AtMostOnceExecutor
from peridotwell.serving.request_executor import BufferedResponse
from peridotwell.store.claims import ClaimState, ClaimStore, StoredResponse
from standins.memory_store import MemoryStore
from tests.store.fakes import Fault, FaultyStore

WALL = 1_796_330_000.0
DATED_KEY = '20261203T203335Z-7'


def make_call(key='k1', body=b'{"kg":3}', deadline_at=1e9):
    return CallerRequest(
        request_id='r',
        customer='kk',
        priority_class='normal',
        method='POST',
        path='/ledger',
        body=body,
        contract=Contract('/ledger', 'ledger'),
        deadline_at=deadline_at,
        idempotency_key=key,
    )


class FakeExecutor:
    """Stands for a target; counts executions in a shared list."""

    was_dispatched = True

    def __init__(self, executions, failure=None, around=None):
        self.executions = executions
        self.failure = failure
        self.around = around or (lambda effect: effect())

    async def record_execution(self):
        self.executions.append(1)

    async def execute(self):
        if self.failure is not None and (
            self.failure.run_state is RunState.not_run
        ):
            raise self.failure
        await self.around(self.record_execution)
        if self.failure is not None:
            raise self.failure
        return BufferedResponse(200, (), b'receipt', '')


def accept():
    """Refuse nothing."""


async def book(
    claims,
    executions,
    failure=None,
    key='k1',
    body=b'{}',
    check=accept,
    around=None,
):
    """Book once; returns the answer's body or the error."""
    async with trio.open_nursery() as nursery:
        bookings = AtMostOnceExecutor(claims, nursery)
        attempts = FakeExecutor(executions, failure, around)
        try:
            answer = await bookings.run(
                make_call(key, body), attempts, WALL, check
            )
        except RequestError as exc:
            return exc
        return answer.body


FAULTS = (Fault.down, Fault.lost_before, Fault.lost_after)


@pytest.mark.parametrize('key', ['k1', DATED_KEY])
@pytest.mark.parametrize(
    ('faults', 'step'),
    [
        *itertools.product([(fault,) for fault in FAULTS], range(4)),
        *itertools.product(itertools.product(FAULTS, FAULTS), range(4)),
        *itertools.product([(Fault.lost_after,) * 6], range(3)),
    ],
)
async def test_faults_of_the_service_at_every_step(key, faults, step):
    memory = MemoryStore()
    executions = []
    script = [Fault.none] * step + list(faults)
    first = ClaimStore(FaultyStore(memory, script), 'r1')
    ending = await book(first, executions, key=key)
    if isinstance(ending, RequestError):
        assert ending.run_state is RunState.not_run
        assert not executions
    else:
        assert ending == b'receipt'
        assert len(executions) == 1
    for name in ('r2', 'r3'):
        other = ClaimStore(FaultyStore(memory), name)
        again = await book(other, executions, key=key)
        assert len(executions) <= 1
        if isinstance(again, RequestError):
            assert again.run_state is RunState.unknown
    script.clear()
    await first.settle_pending()
    last = await book(
        ClaimStore(FaultyStore(memory), 'r4'), executions, key=key
    )
    assert last == b'receipt'
    assert len(executions) == 1


@pytest.mark.parametrize('fault', [Fault.stale])
@pytest.mark.parametrize('step', range(4))
async def test_stale_reads_never_run_a_key_twice(fault, step):
    memory = MemoryStore()
    executions = []
    stale = FaultyStore(memory)
    refusal = ClaimUnavailable('x')
    await book(ClaimStore(stale, 'r1'), executions, refusal)
    stale.take_snapshot()
    assert await book(ClaimStore(FaultyStore(memory), 'r2'), executions)
    stale.script = [Fault.none] * step + [fault] * 3
    await book(ClaimStore(stale, 'r3'), executions)
    assert len(executions) == 1


async def test_not_run_key_can_be_claimed_afresh():
    memory = MemoryStore()
    executions = []
    refused = ClaimUnavailable('no target')
    claims = ClaimStore(FaultyStore(memory), 'r1')
    assert await book(claims, executions, refused) is refused
    assert await book(claims, executions) == b'receipt'


async def test_unknown_outcome_is_never_run_again():
    claims = ClaimStore(FaultyStore(MemoryStore()), 'r1')
    executions = []
    assert isinstance(
        await book(claims, executions, OutcomeUnknown('lost')),
        OutcomeUnknown,
    )
    assert isinstance(await book(claims, executions), OutcomeUnknown)
    assert len(executions) == 1


async def test_holder_that_vanished_leaves_the_outcome_unknown():
    memory = MemoryStore()
    first = ClaimStore(FaultyStore(memory), 'r1')
    other = ClaimStore(FaultyStore(memory), 'r2')
    await first.claim(make_call(), WALL + 10, WALL)
    with pytest.raises(RequestInProgress):
        await other.claim(make_call(), WALL + 20, WALL + 5)
    with pytest.raises(OutcomeUnknown):
        await other.claim(make_call(), WALL + 99, WALL + 11)


async def test_quarantine_never_tells_a_resend_that_it_did_not_run():
    claims = ClaimStore(FaultyStore(MemoryStore()), 'r1')
    executions = []

    def refuse():
        raise RequestQuarantined('lost its targets')

    first = await book(claims, executions, check=refuse)
    assert first.run_state is RunState.not_run
    await book(claims, executions, OutcomeUnknown('lost'))
    again = await book(claims, executions, check=refuse)
    assert again.run_state is RunState.unknown
    assert len(executions) == 1


async def test_key_with_another_body_is_refused():
    claims = ClaimStore(FaultyStore(MemoryStore()), 'r1')
    executions = []
    await book(claims, executions)
    refused = await book(claims, executions, body=b'{"kg":4}')
    assert isinstance(refused, IdempotencyKeyReused)
    assert len(executions) == 1


async def test_damaged_record_is_an_error_not_a_run():
    memory = MemoryStore()
    store = FaultyStore(memory)
    claims = ClaimStore(store, 'r1')
    claim = await claims.claim(make_call(), WALL + 9, WALL)
    await store.write(claim.key, b'garbage', expected=claim.revision)
    executions = []
    ending = await book(ClaimStore(store, 'r2'), executions, body=b'{"kg":3}')
    assert isinstance(ending, ClaimUnavailable)
    assert not executions


async def test_record_of_a_dated_key_outlives_its_window():
    memory = MemoryStore()
    store = FaultyStore(memory)
    claims = ClaimStore(store, 'r1')
    await claims.claim(make_call(DATED_KEY), WALL + 9, WALL)
    store.now = 86_400 + 300
    assert memory.read_prefix('claims/', store.now)
    store.now = 2 * 86_400
    assert not memory.read_prefix('claims/', store.now)
    with pytest.raises(IdempotencyKeyExpired):
        check_idempotency_key(DATED_KEY, 86_400, WALL + store.now)


@pytest.mark.parametrize(
    ('key', 'expected'),
    [
        ('017F22E2-79B0-7CC3-98C4-DC0C0C07398F', 1645557742.0),
        ('20261203T203335Z-x', 1796330015.0),
        ('b9f1c2d4-0000-4000-8000-000000000000', None),
        ('booking-81', None),
    ],
)
def test_time_of_a_key(key, expected):
    assert key_timestamp(key) == expected


class ClaimsMachine(RuleBasedStateMachine):
    """Routers that claim, run, die and settle, against a simple model."""

    def __init__(self):
        super().__init__()
        self.memory = MemoryStore()
        self.held = {}
        self.ran = {}
        self.books = {}
        self.stores = {}
        for router in range(3):
            self.start(router)

    def start(self, router):
        self.stores[router] = FaultyStore(self.memory)
        self.books[router] = ClaimStore(self.stores[router], f'r{router}')

    @rule(
        router=st.integers(0, 2),
        key=st.sampled_from(['a', 'b']),
        script=st.lists(st.sampled_from(Fault), max_size=6),
        snapshot=st.booleans(),
    )
    def claim(self, router, key, script, snapshot):
        store = self.stores[router]
        if snapshot:
            store.take_snapshot()
        store.script = script
        try:
            claim = trio.run(
                self.books[router].claim, make_call(key), WALL + 9, WALL
            )
        except RequestError:
            return
        if isinstance(claim, StoredResponse):
            assert self.ran.get(key) == 1
        else:
            self.held.setdefault((router, key), []).append(claim)

    @rule(router=st.integers(0, 2), key=st.sampled_from(['a', 'b']))
    def run(self, router, key):
        for claim in self.held.pop((router, key), []):
            self.ran[key] = self.ran.get(key, 0) + 1
            kept = StoredResponse(200, (), b'x')
            trio.run(self.books[router].settle, claim, ClaimState.done, kept)

    @rule(
        router=st.integers(0, 2),
        key=st.sampled_from(['a', 'b']),
        script=st.lists(st.sampled_from(Fault), max_size=6),
    )
    def give_up_before_sending(self, router, key, script):
        self.stores[router].script = script
        for claim in self.held.pop((router, key), []):
            trio.run(self.books[router].settle, claim, ClaimState.not_run)

    @rule(router=st.integers(0, 2))
    def settle_pending(self, router):
        try:
            trio.run(self.books[router].settle_pending)
        except StoreError:
            return

    @rule(router=st.integers(0, 2))
    def die(self, router):
        for key in ('a', 'b'):
            self.held.pop((router, key), None)
        self.start(router)

    @invariant()
    def at_most_one_execution(self):
        assert all(count <= 1 for count in self.ran.values())


ClaimsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, derandomize=True, deadline=None
)
TestClaimsMachine = ClaimsMachine.TestCase
