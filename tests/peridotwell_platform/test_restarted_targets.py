"""Targets that start again at the same name and address, of another version.

A router that has not heard of it takes the new process for the old one.
"""

from typing import NamedTuple

import httpcore
import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import cut_fleet, stand_in
from tests.peridotwell_platform.test_streams_at_new_routers import (
    BEGUN,
    NEW,
    OLD,
    ids_of,
    set_script,
    take_up,
)
from tests.ports import find_free_port

# The router that is out of step.
LATE = 1
TARGETS = 3
STREAMS = 9
DOWN_SECONDS = 0.1
SETTLE_SECONDS = 0.3
READS = 12
BATCH = 3
MAX_BATCHES = 20
# The store is known to be away after less.
AWAY_SECONDS = 4.0
# All routers have heard the store again after this time.
HEARD_SECONDS = 1.5


class RestartingTarget(stand_in.TargetStandIn):
    """A target whose process may end; another one follows at its address."""

    def __init__(self, name: str, store: stand_in.StoreStandIn) -> None:
        """Create a target that registers in a store."""
        super().__init__(name)
        self.address = f'{cut_fleet.LOCALHOST}:{find_free_port()}'
        self._store = store
        self._process = trio.CancelScope()

    async def start(self, nursery: trio.Nursery, version: str) -> None:
        """Start a process, which registers."""
        await nursery.start(self._run)
        self.register(version)

    def register(self, version: str) -> None:
        """Write the entry of this target."""
        entry = msgspec.json.decode(cut_fleet.target_entry(self.address))
        content = msgspec.json.encode({**entry, 'version': version})
        self._store.put(f'servers/{self.name}', content)

    async def restart(self, nursery: trio.Nursery, version: str) -> None:
        """End the process, with all its connections; start another one."""
        self._process.cancel()
        await trio.sleep(DOWN_SECONDS)
        await self.start(nursery, version)

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self._process:
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, self.handle, self.address)
                task_status.started()
                await trio.sleep_forever()


class Begun(NamedTuple):
    """The target that began a stream, and those asked for the rest."""

    first: RestartingTarget
    later: tuple[RestartingTarget, ...]


@pytest.fixture
async def fleet(nursery):
    """Routers that have connections to all targets, of the old version."""
    store = cut_fleet.CopyingStore()
    store.page_size = 100
    store.put('op/config', msgspec.json.encode(cut_fleet.CONFIG))
    targets = [RestartingTarget(f'i-{n}', store) for n in range(TARGETS)]
    for target in targets:
        await target.start(nursery, OLD)
    fleet = cut_fleet.CutFleet(nursery, store, targets, {})
    for _ in range(3):
        await fleet.start_router()
    await trio.sleep(1)
    await connect(fleet)
    return fleet


async def connect(fleet):
    """Let all routers have connections to all targets.

    Scripts that are left over would break off the reads, and end these.
    """
    for target in fleet.targets:
        target.script.clear()
    for number in range(len(fleet.routers)):
        for target in fleet.targets:
            target.requests.clear()
        for _ in range(MAX_BATCHES):
            await read(fleet, number)
            if all(target.requests for target in fleet.targets):
                break
        assert all(target.requests for target in fleet.targets)


async def read(fleet, number):
    """Send reads to a router, all at once."""
    async with trio.open_nursery() as nursery:
        for _ in range(READS):
            nursery.start_soon(fleet.send, number, '/read/x')


async def begin_streams(fleet, number, prefix, count=STREAMS):
    """Begin streams that break off; return, by stream, what sent them."""
    begun = {}
    for request_id in (f'{prefix}-{n}' for n in range(count)):
        if await is_begun(fleet, number, request_id):
            begun[request_id] = Begun(
                *filter(has_begun, fleet.targets),
                tuple(filter(has_gone_on, fleet.targets)),
            )
    return begun


async def is_begun(fleet, number, request_id):
    """Begin a stream that breaks off; return False if it is refused.

    A router that is cut off refuses all until it knows that the store is away.
    """
    for target in fleet.targets:
        target.requests.clear()
        set_script(target, stand_in.stream_events(1, BEGUN, ends=False))
    try:
        resp = await fleet.send(
            number, '/ask/x', **{'x-request-id': request_id}
        )
    except httpcore.RemoteProtocolError:
        return True
    assert resp.status == 503
    return False


async def begin_at(fleet, number, target):
    """Begin streams at a target, among others; return those that did."""
    begun = {}
    for batch in range(MAX_BATCHES):
        batch = await begin_streams(fleet, number, f's{batch}', BATCH)
        begun |= {name: at for name, at in batch.items() if at.first is target}
        if len(begun) >= BATCH:
            return begun
    pytest.fail('too few streams began at the target')


def has_begun(target):
    return None in ids_of(target, 'last-event-id')


def has_gone_on(target):
    return str(BEGUN) in ids_of(target, 'last-event-id')


async def taken_up(fleet, number, streams):
    """Take streams up at a router; return, by stream, where they go on."""
    outcomes = {}
    for request_id in streams:
        for each in fleet.targets:
            each.requests.clear()
            set_script(each, stand_in.stream_events(BEGUN + 1, BEGUN + 2))
        outcomes[request_id] = await take_up(fleet, number, request_id)
    return outcomes


def statuses(outcomes):
    return [status for status, _ in outcomes.values()]


def went_on_at(outcomes, target):
    """Return the streams that went on at a target."""
    return [name for name, (_, at) in outcomes.items() if target in at]


# Guards against streams that go on at another version, at a router that takes
# a process for the one that had its name and address before.
async def test_streams_leave_out_a_target_that_may_have_restarted(fleet):
    streams = await begin_streams(fleet, LATE, 'old')
    await connect(fleet)
    fleet.cut_off(LATE)
    restarted = fleet.targets[0]
    await restarted.restart(fleet.nursery, NEW)
    outcomes = await taken_up(fleet, LATE, streams)
    assert went_on_at(outcomes, restarted) == []
    # Two targets of the old version are left.
    assert statuses(outcomes) == [200] * STREAMS


# Guards against an answer of two versions: its next attempt goes to a target
# that has started again since it began.
async def test_an_answer_goes_on_at_no_target_that_may_have_restarted(fleet):
    for number in range(STREAMS):
        await answer_amid_restart(fleet, f'amid-{number}')
        assert not has_gone_on(fleet.targets[0])


async def answer_amid_restart(fleet, request_id):
    """Break an answer off after a target that does not send it restarts."""
    fleet.join()
    fleet.targets[0].register(OLD)
    await trio.sleep(SETTLE_SECONDS)
    await connect(fleet)
    fleet.cut_off(LATE)
    breaks = trio.Event()
    for each in fleet.targets:
        each.requests.clear()
        each.script.clear()
        each.script.append(held_events(breaks))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_stream, fleet, request_id)
        await trio.sleep(DOWN_SECONDS)
        if not fleet.targets[0].requests:
            await fleet.targets[0].restart(fleet.nursery, NEW)
        for each in fleet.targets:
            each.script.clear()
            each.script.append(stand_in.stream_events(BEGUN + 1, BEGUN + 2))
        breaks.set()


def held_events(breaks):
    async def respond(target, exchange) -> None:
        send = stand_in.stream_events(1, BEGUN, ends=False)
        await send(target, exchange)
        await breaks.wait()

    return respond


async def send_stream(fleet, request_id):
    resp = await fleet.send(LATE, '/ask/x', **{'x-request-id': request_id})
    assert resp.status == 200


# Guards against streams that are recorded with the version that their target
# had before it started again: they go on at that version later.
@pytest.mark.parametrize('taken_up_at', [LATE, 0])
async def test_streams_begin_at_no_version_that_is_out_of_date(
    fleet, taken_up_at
):
    await connect(fleet)
    fleet.cut_off(LATE)
    restarted = fleet.targets[0]
    await restarted.restart(fleet.nursery, NEW)
    new = await begin_at(fleet, LATE, restarted)
    assert [at.later for at in new.values()] == [()] * len(new)
    fleet.join()
    await trio.sleep(4 * SETTLE_SECONDS)
    outcomes = await taken_up(fleet, taken_up_at, new)
    for old in fleet.targets[1:]:
        assert went_on_at(outcomes, old) == []


# Guards against a fix that refuses streams of targets that have started again
# with the version that they had, or that this router has heard of.
@pytest.mark.parametrize('version', [OLD, NEW])
async def test_streams_of_a_target_that_has_restarted_go_on(fleet, version):
    for target in fleet.targets:
        await target.restart(fleet.nursery, version)
    await trio.sleep(SETTLE_SECONDS)
    streams = await begin_streams(fleet, LATE, 's')
    outcomes = await taken_up(fleet, 0, streams)
    assert statuses(outcomes) == [200] * STREAMS


# Guards against a fix that refuses streams after single broken connections
# while the store is away from all routers.
async def test_streams_that_break_off_go_on_without_the_store(fleet):
    fleet.cut_from_store(0, 1, 2)
    await trio.sleep(AWAY_SECONDS)
    streams = await begin_streams(fleet, LATE, 's')
    assert statuses(await taken_up(fleet, LATE, streams)) == [200] * STREAMS


# Guards against streams that go on at another version while the store is away:
# at processes that a router never had a connection to, beside one that it has.
async def test_streams_go_on_at_a_process_that_is_known(fleet):
    await fleet.start_router()
    number = len(fleet.routers) - 1
    await trio.sleep(SETTLE_SECONDS)
    for each in fleet.targets:
        each.requests.clear()
    await fleet.send(number, '/read/x')
    [known] = [each for each in fleet.targets if each.requests]
    streams = await begin_streams(fleet, 0, 's')
    await trio.sleep(HEARD_SECONDS)
    fleet.cut_from_store(*range(len(fleet.routers)))
    await trio.sleep(AWAY_SECONDS)
    others = [each for each in fleet.targets if each is not known]
    for each in others:
        await each.restart(fleet.nursery, NEW)
    outcomes = await taken_up(fleet, number, streams)
    assert statuses(outcomes) == [200] * len(streams)
    assert not any(went_on_at(outcomes, each) for each in others)
