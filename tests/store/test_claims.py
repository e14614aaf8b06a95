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

WALL_TIME = 1_796_330_000.0
TIMESTAMPED_KEY = '20261203T203335Z-7'


def make_request(key='k1', body=b'{"kg":3}', deadline_at=1e9):
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
    """Replaces a target; records executions in a shared list."""

    was_dispatched = True

    def __init__(self, executions, failure=None, intercept=None):
        self.executions = executions
        self.failure = failure
        self.intercept = intercept or (lambda effect: effect())

    async def record_execution(self):
        self.executions.append(1)

    async def execute(self):
        if self.failure is not None and (
            self.failure.run_state is RunState.not_run
        ):
            raise self.failure
        await self.intercept(self.record_execution)
        if self.failure is not None:
            raise self.failure
        return BufferedResponse(200, (), b'receipt', '')


def accept_request():
    """Accept every request."""


async def run_at_most_once(
    claims,
    executions,
    failure=None,
    key='k1',
    body=b'{}',
    check=accept_request,
    intercept=None,
):
    """Run a request; return the body of the response or the error."""
    async with trio.open_nursery() as nursery:
        at_most_once = AtMostOnceExecutor(claims, nursery)
        executor = FakeExecutor(executions, failure, intercept)
        try:
            result = await at_most_once.run(
                make_request(key, body), executor, WALL_TIME, check
            )
        except RequestError as exc:
            return exc
        return result.body


FAULTS = (Fault.down, Fault.lost_before, Fault.lost_after)


@pytest.mark.parametrize('key', ['k1', TIMESTAMPED_KEY])
@pytest.mark.parametrize(
    ('faults', 'step'),
    [
        *itertools.product([(fault,) for fault in FAULTS], range(4)),
        *itertools.product(itertools.product(FAULTS, FAULTS), range(4)),
        *itertools.product([(Fault.lost_after,) * 6], range(3)),
    ],
)
async def test_store_faults_at_each_step(key, faults, step):
    memory = MemoryStore()
    executions = []
    script = [Fault.none] * step + list(faults)
    first = ClaimStore(FaultyStore(memory, script), 'r1')
    first_result = await run_at_most_once(first, executions, key=key)
    if isinstance(first_result, RequestError):
        assert first_result.run_state is RunState.not_run
        assert not executions
    else:
        assert first_result == b'receipt'
        assert len(executions) == 1
    for name in ('r2', 'r3'):
        other = ClaimStore(FaultyStore(memory), name)
        repeated = await run_at_most_once(other, executions, key=key)
        assert len(executions) <= 1
        if isinstance(repeated, RequestError):
            assert repeated.run_state is RunState.unknown
    script.clear()
    await first.settle_pending()
    final = await run_at_most_once(
        ClaimStore(FaultyStore(memory), 'r4'), executions, key=key
    )
    assert final == b'receipt'
    assert len(executions) == 1


@pytest.mark.parametrize('fault', [Fault.stale])
@pytest.mark.parametrize('step', range(4))
async def test_stale_reads_never_run_a_key_twice(fault, step):
    memory = MemoryStore()
    executions = []
    stale = FaultyStore(memory)
    refusal = ClaimUnavailable('x')
    await run_at_most_once(ClaimStore(stale, 'r1'), executions, refusal)
    stale.take_snapshot()
    assert await run_at_most_once(
        ClaimStore(FaultyStore(memory), 'r2'), executions
    )
    stale.script = [Fault.none] * step + [fault] * 3
    await run_at_most_once(ClaimStore(stale, 'r3'), executions)
    assert len(executions) == 1


async def test_key_that_was_not_run_can_be_claimed_again():
    memory = MemoryStore()
    executions = []
    rejection = ClaimUnavailable('no target')
    claims = ClaimStore(FaultyStore(memory), 'r1')
    assert await run_at_most_once(claims, executions, rejection) is rejection
    assert await run_at_most_once(claims, executions) == b'receipt'


async def test_unknown_outcome_is_never_run_again():
    claims = ClaimStore(FaultyStore(MemoryStore()), 'r1')
    executions = []
    assert isinstance(
        await run_at_most_once(claims, executions, OutcomeUnknown('lost')),
        OutcomeUnknown,
    )
    assert isinstance(
        await run_at_most_once(claims, executions), OutcomeUnknown
    )
    assert len(executions) == 1


async def test_outcome_is_unknown_after_the_holder_crashed():
    memory = MemoryStore()
    first = ClaimStore(FaultyStore(memory), 'r1')
    other = ClaimStore(FaultyStore(memory), 'r2')
    await first.claim(make_request(), WALL_TIME + 10, WALL_TIME)
    with pytest.raises(RequestInProgress):
        await other.claim(make_request(), WALL_TIME + 20, WALL_TIME + 5)
    with pytest.raises(OutcomeUnknown):
        await other.claim(make_request(), WALL_TIME + 99, WALL_TIME + 11)


async def test_quarantined_resend_is_not_reported_as_not_run():
    claims = ClaimStore(FaultyStore(MemoryStore()), 'r1')
    executions = []

    def reject():
        raise RequestQuarantined('lost its targets')

    first = await run_at_most_once(claims, executions, check=reject)
    assert first.run_state is RunState.not_run
    await run_at_most_once(claims, executions, OutcomeUnknown('lost'))
    repeated = await run_at_most_once(claims, executions, check=reject)
    assert repeated.run_state is RunState.unknown
    assert len(executions) == 1


async def test_key_with_another_body_is_rejected():
    claims = ClaimStore(FaultyStore(MemoryStore()), 'r1')
    executions = []
    await run_at_most_once(claims, executions)
    rejection = await run_at_most_once(claims, executions, body=b'{"kg":4}')
    assert isinstance(rejection, IdempotencyKeyReused)
    assert len(executions) == 1


async def test_invalid_record_is_an_error_and_nothing_is_run():
    memory = MemoryStore()
    store = FaultyStore(memory)
    claims = ClaimStore(store, 'r1')
    claim = await claims.claim(make_request(), WALL_TIME + 9, WALL_TIME)
    await store.write(claim.key, b'garbage', expected=claim.revision)
    executions = []
    first_result = await run_at_most_once(
        ClaimStore(store, 'r2'), executions, body=b'{"kg":3}'
    )
    assert isinstance(first_result, ClaimUnavailable)
    assert not executions


async def test_record_of_timestamped_key_outlives_the_claim_window():
    memory = MemoryStore()
    store = FaultyStore(memory)
    claims = ClaimStore(store, 'r1')
    await claims.claim(make_request(TIMESTAMPED_KEY), WALL_TIME + 9, WALL_TIME)
    store.now = 86_400 + 300
    assert memory.read_prefix('claims/', store.now)
    store.now = 2 * 86_400
    assert not memory.read_prefix('claims/', store.now)
    with pytest.raises(IdempotencyKeyExpired):
        check_idempotency_key(TIMESTAMPED_KEY, 86_400, WALL_TIME + store.now)


@pytest.mark.parametrize(
    ('key', 'expected'),
    [
        ('017F22E2-79B0-7CC3-98C4-DC0C0C07398F', 1645557742.0),
        ('20261203T203335Z-x', 1796330015.0),
        ('b9f1c2d4-0000-4000-8000-000000000000', None),
        ('booking-81', None),
    ],
)
def test_timestamp_of_key(key, expected):
    assert key_timestamp(key) == expected


class ClaimsMachine(RuleBasedStateMachine):
    """Routers that claim, run, crash and settle, against a simple model."""

    def __init__(self):
        super().__init__()
        self.memory = MemoryStore()
        self.claims_held = {}
        self.executions_by_key = {}
        self.claim_stores = {}
        self.stores = {}
        for router in range(3):
            self.start(router)

    def start(self, router):
        self.stores[router] = FaultyStore(self.memory)
        self.claim_stores[router] = ClaimStore(
            self.stores[router], f'r{router}'
        )

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
                self.claim_stores[router].claim,
                make_request(key),
                WALL_TIME + 9,
                WALL_TIME,
            )
        except RequestError:
            return
        if isinstance(claim, StoredResponse):
            assert self.executions_by_key.get(key) == 1
        else:
            self.claims_held.setdefault((router, key), []).append(claim)

    @rule(router=st.integers(0, 2), key=st.sampled_from(['a', 'b']))
    def run(self, router, key):
        for claim in self.claims_held.pop((router, key), []):
            self.executions_by_key[key] = self.executions_by_key.get(key, 0) + 1
            stored_response = StoredResponse(200, (), b'x')
            trio.run(
                self.claim_stores[router].settle,
                claim,
                ClaimState.done,
                stored_response,
            )

    @rule(
        router=st.integers(0, 2),
        key=st.sampled_from(['a', 'b']),
        script=st.lists(st.sampled_from(Fault), max_size=6),
    )
    def give_up_before_sending(self, router, key, script):
        self.stores[router].script = script
        for claim in self.claims_held.pop((router, key), []):
            trio.run(
                self.claim_stores[router].settle, claim, ClaimState.not_run
            )

    @rule(router=st.integers(0, 2))
    def settle_pending(self, router):
        try:
            trio.run(self.claim_stores[router].settle_pending)
        except StoreError:
            return

    @rule(router=st.integers(0, 2))
    def crash(self, router):
        for key in ('a', 'b'):
            self.claims_held.pop((router, key), None)
        self.start(router)

    @invariant()
    def at_most_one_execution(self):
        assert all(count <= 1 for count in self.executions_by_key.values())


ClaimsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, derandomize=True, deadline=None
)
TestClaimsMachine = ClaimsMachine.TestCase
