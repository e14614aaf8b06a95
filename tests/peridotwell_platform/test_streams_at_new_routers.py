"""Streams that callers take up at a router that has just started."""

import httpcore
import msgspec
import pytest
import trio

from tests.peridotwell_platform import cut_fleet, stand_in

OLD, NEW = 'v1', 'v1.1'
SETTLE_SECONDS = 0.3
# A new router serves after less.
START_SECONDS = 1.5
BEGUN = 3


def set_version(fleet, target, version):
    entry = msgspec.json.decode(
        cut_fleet.target_entry(fleet.addresses[target.name])
    )
    fleet.store.put(
        f'servers/{target.name}',
        msgspec.json.encode({**entry, 'version': version}),
    )


@pytest.fixture
async def fleet(nursery):
    """A fleet whose last target runs another version of its software."""
    started = await cut_fleet.start_fleet(nursery)
    for target in started.targets:
        set_version(started, target, OLD)
    set_version(started, started.targets[-1], NEW)
    await trio.sleep(SETTLE_SECONDS)
    return started


def set_script(target, respond):
    target.script.clear()
    target.script.extend([respond] * 2)


async def begin_stream(fleet, number, request_id):
    """Begin a stream that breaks off; return its target."""
    for target in fleet.targets:
        target.requests.clear()
        set_script(target, stand_in.stream_events(1, BEGUN, ends=False))
    with pytest.raises(httpcore.RemoteProtocolError):
        await fleet.send(
            number,
            '/ask/x',
            **{'x-request-id': request_id, 'x-deadline-ms': '900'},
        )
    for target in fleet.targets:
        set_script(target, stand_in.stream_events(BEGUN + 1, BEGUN + 2))
    return next(
        target
        for target in fleet.targets
        if request_id in ids_of(target, 'x-request-id')
    )


def ids_of(target, field):
    return [headers.get(field) for _, _, headers, _ in target.requests]


async def take_up(fleet, number, request_id):
    """Take up a stream; return the status and the target that goes on."""
    resp = await fleet.send(
        number,
        '/ask/x',
        **{'last-event-id': str(BEGUN), 'resumes': request_id},
    )
    resumed_at = [
        target
        for target in fleet.targets
        if str(BEGUN) in ids_of(target, 'last-event-id')
    ]
    return resp.status, resumed_at


def version_of(fleet, target):
    return NEW if target is fleet.targets[-1] else OLD


# Guards against streams that a router refuses because it has started after
# they began, while several versions serve.
async def test_a_new_router_takes_up_streams_at_their_version(fleet):
    began = {
        f's-{number}': await begin_stream(fleet, number % 3, f's-{number}')
        for number in range(6)
    }
    await fleet.start_router()
    await trio.sleep(START_SECONDS)
    for request_id, target in began.items():
        for each in fleet.targets:
            each.requests.clear()
        status, resumed_at = await take_up(fleet, 3, request_id)
        assert status == 200
        versions = {version_of(fleet, each) for each in resumed_at}
        assert versions == {version_of(fleet, target)}


# Guards against streams with events of two versions after a release, at a
# router that never saw the version that has left.
async def test_a_new_router_takes_up_no_stream_of_a_version_that_left(fleet):
    for target in fleet.targets[:2]:
        set_version(fleet, target, NEW)
    set_version(fleet, fleet.targets[2], OLD)
    await trio.sleep(SETTLE_SECONDS)
    old = fleet.targets[2]
    for number in range(20):
        request_id = f's-{number}'
        if await begin_stream(fleet, 0, request_id) is old:
            break
    else:
        pytest.fail('No stream began at the target of the old version.')
    fleet.store.delete(f'servers/{old.name}')
    await trio.sleep(SETTLE_SECONDS)
    await fleet.start_router()
    await trio.sleep(START_SECONDS)
    for each in fleet.targets:
        each.requests.clear()
    status, resumed_at = await take_up(fleet, 3, request_id)
    assert (status, resumed_at) == (503, [])
