"""Requests at targets that have left, and may stand still.

A request that lies unread at a stopped target must not run when it goes on: the
router resets its connection. This kernel gives a receiver the bytes that were
queued before a reset, and the error after them; the targets here look for the
error before they run a request, as real servers notice it on their next read
or write.
"""

import httpcore
import msgspec
import pytest
import trio

from peridotwell.fleet.replica.deferred_removals import REREGISTRATION_SECONDS
from tests.halted_process import HaltedTarget
from tests.halted_target import STATUS_PATH
from tests.peridotwell_platform import cut_fleet, stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    call,
    caller_headers,
    configuration,
    start_router,
    start_store,
    target_entry,
)
from tests.ports import find_free_port
from tests.soak.proxy import start_proxy

KINDS = ('read', 'book', 'draft', 'ask')
TIMEOUT_MS = 9000
CONFIG = configuration(
    100,
    stand_in.route('read', 'idempotent', timeout_ms=TIMEOUT_MS),
    stand_in.route('book', 'non_idempotent', timeout_ms=TIMEOUT_MS),
    stand_in.route('draft', 'streaming', timeout_ms=TIMEOUT_MS),
    stand_in.route('ask', 'streaming', resumable=True, timeout_ms=TIMEOUT_MS),
)
CONFIG['services'][0]['health_path'] = STATUS_PATH
# From the change in the store until no request may reach the target.
BOUND_SECONDS = 2.0
SETTLE_SECONDS = 0.3
LATE_SECONDS = 2.0
# A target that goes on has read all by then.
READ_SECONDS = 0.5
WORK_SECONDS = 4
MAY_HAVE_RUN = 502


class Setup:
    """A router, the store, and callers whose answers are kept."""

    def __init__(self, nursery, store, address):
        self.nursery = nursery
        self.store = store
        self.address = address
        self.router = None
        self.answers = {}

    def list_target(self, address, name='i-1', **changes):
        entry = {**msgspec.json.decode(target_entry(address)), **changes}
        self.store.put(f'servers/{name}', msgspec.json.encode(entry))

    def send(self, kind, seconds=0):
        """Send a request; its id is the kind."""
        self.nursery.start_soon(self._send, kind, seconds)

    async def _send(self, kind, seconds):
        headers = caller_headers(
            1, x_request_id=kind, x_deadline_ms=str(TIMEOUT_MS)
        )
        async with httpcore.AsyncConnectionPool() as pool:
            resp = await call(
                pool, self.address, 'POST', f'/{kind}/{seconds}', headers, b''
            )
        self.answers[kind] = resp.status

    async def wait_for_answers(self, seconds, count):
        with trio.move_on_after(seconds):
            while len(self.answers) < count:
                await trio.sleep(0.01)


@pytest.fixture
async def setup(nursery):
    store, store_address = await start_store(nursery, CONFIG)
    started = await start_router(nursery, 'r-1', store_address)
    made = Setup(nursery, store, started.address)
    made.router = started.router
    return made


@pytest.fixture
def arguments():
    """Further arguments of the target."""
    return ()


@pytest.fixture
async def halted(arguments):
    target = HaltedTarget(*arguments)
    await target.wait_until_it_listens()
    yield target
    target.end()


def remove(setup, address):
    setup.store.delete('servers/i-1')


def drain(setup, address):
    setup.list_target(address, born=1, seq=9, state='draining')


def start_again(setup, address):
    new_address = f'{LOCALHOST}:{find_free_port()}'
    setup.list_target(new_address, born=2, seq=1)


def reuse_address(setup, address):
    remove(setup, address)
    setup.list_target(address, 'i-2', born=2, seq=1)


async def send_to_stopped(setup, halted, kinds):
    """Send requests to a target that stands still."""
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    halted.stop()
    for kind in kinds:
        setup.send(kind)


async def check_taken_back(setup, halted, kinds):
    """Assert that requests are answered in time, and never run."""
    await setup.wait_for_answers(BOUND_SECONDS, len(kinds))
    answers = dict(setup.answers)
    halted.go_on()
    await trio.sleep(READ_SECONDS)
    assert (halted.end(), answers) == ([], dict.fromkeys(kinds, MAY_HAVE_RUN))


LEAVING = {
    'removed': remove,
    'draining': drain,
    'started again': start_again,
}


# Guards against requests that lie at a stopped target which has left, and run
# when it goes on (issue 68).
@pytest.mark.parametrize('how', LEAVING)
async def test_a_stopped_target_that_left_runs_nothing_when_it_goes_on(
    setup, halted, how
):
    await send_to_stopped(setup, halted, KINDS)
    await trio.sleep(SETTLE_SECONDS)
    LEAVING[how](setup, halted.address)
    await check_taken_back(setup, halted, KINDS)


# Guards against the same for a report that was written before the target
# stopped, or while its path is held: it does not show what has been read.
async def test_a_late_report_does_not_show_that_requests_were_read(
    setup, halted
):
    await send_to_stopped(setup, halted, KINDS)
    await trio.sleep(LATE_SECONDS)
    drain(setup, halted.address)
    await check_taken_back(setup, halted, KINDS)


# Guards against the same once another target has the address of a stopped one.
async def test_requests_are_taken_back_where_another_target_has_the_address(
    setup, halted
):
    await send_to_stopped(setup, halted, ('book', 'draft'))
    await trio.sleep(SETTLE_SECONDS)
    reuse_address(setup, halted.address)
    await check_taken_back(setup, halted, ('book', 'draft'))


# Guards against the same on a path that is held, of a target that is sound.
@pytest.mark.parametrize('how', ['removed', 'draining'])
async def test_a_target_that_left_gets_nothing_when_its_path_opens(
    setup, halted, nursery, how
):
    proxy = await start_proxy(nursery, halted.address)
    setup.list_target(proxy.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    proxy.hold('requests', 'responses')
    for kind in KINDS:
        setup.send(kind)
    await trio.sleep(SETTLE_SECONDS)
    LEAVING[how](setup, proxy.address)
    await setup.wait_for_answers(BOUND_SECONDS, len(KINDS))
    answers = dict(setup.answers)
    proxy.release('requests', 'responses')
    await trio.sleep(READ_SECONDS)
    assert (halted.end(), answers) == ([], dict.fromkeys(KINDS, MAY_HAVE_RUN))


# Guards against requests that are cut at a sound target which has left and
# works without sending a byte.
@pytest.mark.parametrize('how', ['removed', 'draining'])
async def test_a_sound_target_that_left_ends_its_work(setup, halted, how):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    for kind in ('book', 'draft'):
        setup.send(kind, WORK_SECONDS)
    await trio.sleep(SETTLE_SECONDS)
    LEAVING[how](setup, halted.address)
    await setup.wait_for_answers(WORK_SECONDS + 2, 2)
    assert setup.answers == {'book': 200, 'draft': 200}


# Guards against requests that are cut at the next incarnation of a target,
# which has read them before its entry was known.
@pytest.mark.parametrize('name', ['i-1', 'i-2'])
async def test_a_process_at_the_same_address_ends_its_work(setup, halted, name):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    for kind in ('book', 'draft'):
        setup.send(kind, WORK_SECONDS)
    await trio.sleep(SETTLE_SECONDS)
    if name != 'i-1':
        remove(setup, halted.address)
    setup.list_target(halted.address, name, born=2, seq=1)
    await setup.wait_for_answers(WORK_SECONDS + 2, 2)
    assert setup.answers == {'book': 200, 'draft': 200}


# Guards against a sound target that is cut because it was silent for a second.
async def test_a_target_that_is_silent_for_a_moment_ends_its_work(
    setup, halted
):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    setup.send('book', WORK_SECONDS)
    await trio.sleep(SETTLE_SECONDS)
    remove(setup, halted.address)
    halted.stop()
    await trio.sleep(1)
    halted.go_on()
    await setup.wait_for_answers(WORK_SECONDS + 2, 1)
    assert setup.answers == {'book': 200}


# Guards against a sound target that is cut because its status checks wait for
# a slot, while it answers other requests.
@pytest.mark.parametrize('arguments', [('busy',)])
async def test_a_busy_target_that_answers_others_ends_its_work(setup, halted):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    setup.send('book', WORK_SECONDS)
    setup.send('draft', 1.2)
    await trio.sleep(SETTLE_SECONDS)
    remove(setup, halted.address)
    await setup.wait_for_answers(WORK_SECONDS + 2, 2)
    assert setup.answers == {'book': 200, 'draft': 200}


# Guards against requests that run although their callers have left.
async def test_a_stopped_target_runs_nothing_for_callers_that_left(
    setup, halted, nursery
):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    halted.stop()
    setup.nursery = await nursery.start(open_nursery)
    for kind in KINDS:
        setup.send(kind)
    await trio.sleep(SETTLE_SECONDS)
    setup.nursery.cancel_scope.cancel()
    await trio.sleep(SETTLE_SECONDS)
    halted.go_on()
    await trio.sleep(READ_SECONDS)
    assert halted.end() == []


async def open_nursery(task_status):
    async with trio.open_nursery() as nursery:
        task_status.started(nursery)
        await trio.sleep_forever()


@pytest.fixture
async def handing_over(nursery, halted):
    """Return two routers of which the first hands over to the second."""
    fleet = await cut_fleet.start_raw_fleet(nursery, [halted])
    config = {**cut_fleet.CONFIG, 'version': 2, 'routes': CONFIG['routes']}
    fleet.store.put('op/config', msgspec.json.encode(config))
    await fleet.cut(0, 'refused')
    for _ in range(3):
        await fleet.send(0, '/read/0')
    resp = await fleet.send(0, '/book/0')
    assert resp.status == 200
    return fleet


# Guards against requests that were handed over to another router, and lie at a
# target when it has left, or when their callers have.
async def test_a_target_that_left_runs_nothing_that_was_handed_over(
    handing_over, halted, nursery
):
    halted.stop()
    statuses = []

    async def send():
        resp = await handing_over.send(
            0, '/book/0', x_request_id='left', x_deadline_ms=str(TIMEOUT_MS)
        )
        statuses.append(resp.status)

    nursery.start_soon(send)
    await trio.sleep(SETTLE_SECONDS)
    handing_over.store.delete('servers/i-0')
    await trio.sleep(BOUND_SECONDS)
    answers = list(statuses)
    halted.go_on()
    await trio.sleep(READ_SECONDS)
    assert ('left' in halted.end(), answers) == (False, [MAY_HAVE_RUN])


async def test_a_target_runs_nothing_handed_over_whose_caller_left(
    handing_over, halted
):
    halted.stop()
    with trio.move_on_after(SETTLE_SECONDS):
        await handing_over.send(0, '/book/0', x_request_id='left')
    await trio.sleep(SETTLE_SECONDS)
    halted.go_on()
    await trio.sleep(READ_SECONDS)
    assert 'left' not in halted.end()


def doubt_removals(setup):
    """Let removals be deferred, as after an outage of the store."""
    directory = setup.router._components.directory
    directory.deferred_removals.start_grace_period(
        REREGISTRATION_SECONDS, trio.current_time()
    )


# Guards against requests that lie at a stopped target while its removal is
# deferred, for longer than it may get requests.
async def test_a_stopped_target_whose_removal_is_doubted_runs_nothing(
    setup, halted
):
    await send_to_stopped(setup, halted, KINDS)
    await trio.sleep(SETTLE_SECONDS)
    doubt_removals(setup)
    remove(setup, halted.address)
    await check_taken_back(setup, halted, KINDS)


# Guards against requests that are cut at a silent target whose entry comes
# back.
async def test_a_target_that_registers_again_keeps_its_requests(setup, halted):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    halted.stop()
    setup.send('book')
    await trio.sleep(SETTLE_SECONDS)
    doubt_removals(setup)
    remove(setup, halted.address)
    await trio.sleep(0.5)
    setup.list_target(halted.address, born=1, seq=2)
    await trio.sleep(BOUND_SECONDS)
    assert not setup.answers
    halted.go_on()
    await setup.wait_for_answers(READ_SECONDS, 1)
    assert setup.answers == {'book': 200}


# Guards against requests that are sent to a target while its removal is
# deferred, after it has shown a sign of life, and lie there once it has left.
async def test_requests_sent_during_the_doubt_are_taken_back(setup, halted):
    setup.list_target(halted.address, born=1, seq=1)
    await trio.sleep(SETTLE_SECONDS)
    setup.send('book', WORK_SECONDS)
    await trio.sleep(READ_SECONDS)
    doubt_removals(setup)
    remove(setup, halted.address)
    await trio.sleep(2 * READ_SECONDS)
    halted.stop()
    setup.send('draft')
    await trio.sleep(REREGISTRATION_SECONDS - 2 * READ_SECONDS)
    await setup.wait_for_answers(BOUND_SECONDS, 1)
    answers = dict(setup.answers)
    halted.go_on()
    await trio.sleep(READ_SECONDS)
    assert (halted.end(), answers) == (['book'], {'draft': MAY_HAVE_RUN})
