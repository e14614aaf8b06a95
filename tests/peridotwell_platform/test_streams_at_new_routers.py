"""Streams that callers take up at a router that has just started."""

import base64
import itertools

import httpcore
import msgspec
import pytest
import trio

from peridotwell.fleet.replica.version_record import (
    VERSIONS_KEY,
    decode_versions,
)
from tests.peridotwell_platform import cut_fleet, stand_in

OLD, NEW = 'v1', 'v1.1'
SETTLE_SECONDS = 0.3
# A new router serves after less.
START_SECONDS = 1.5
BEGUN = 3
# A fleet that has started records its versions after less.
RECORD_SECONDS = 5
STREAMS = 12


def set_version(fleet, target, version):
    entry = msgspec.json.decode(
        cut_fleet.target_entry(fleet.addresses[target.name])
    )
    fleet.store.put(
        f'servers/{target.name}',
        msgspec.json.encode({**entry, 'version': version}),
    )


@pytest.fixture
async def one_version(nursery):
    """A fleet in which only one version of the software has ever served."""
    return await cut_fleet.start_fleet(nursery)


@pytest.fixture
async def fleet(one_version):
    """A fleet whose last target runs another version of its software."""
    for target in one_version.targets:
        set_version(one_version, target, OLD)
    set_version(one_version, one_version.targets[-1], NEW)
    await trio.sleep(SETTLE_SECONDS)
    return one_version


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
    request_id = await release(fleet)
    await fleet.start_router()
    await trio.sleep(START_SECONDS)
    for each in fleet.targets:
        each.requests.clear()
    status, resumed_at = await take_up(fleet, 3, request_id)
    assert (status, resumed_at) == (503, [])


async def release(fleet):
    """Replace the old version; return a stream that began at it, to resume."""
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
    return request_id


async def wait_for_record(fleet, versions):
    """Wait until the record names so many versions or more."""
    with trio.fail_after(RECORD_SECONDS):
        while True:
            item = fleet.store.items.get(VERSIONS_KEY, {'value': ''})
            recorded = decode_versions(base64.b64decode(item['value'])) or {}
            if recorded and len(recorded['svc']) >= versions:
                return
            await trio.sleep(0.05)


async def restart_all(fleet):
    """End all routers at once; return the numbers of those that follow."""
    for router in fleet.routers:
        router.scope.cancel()
    started = len(fleet.routers)
    for _ in range(started):
        await fleet.start_router()
    return range(started, len(fleet.routers))


async def resumed(fleet, routers, streams):
    """Take up each stream at a router; return the statuses."""
    statuses = []
    for number, request_id in zip(itertools.cycle(routers), streams):
        for each in fleet.targets:
            each.requests.clear()
        status, _ = await take_up(fleet, number, request_id)
        statuses.append(status)
    return statuses


# Guards against streams with events of two versions at a router whose
# connections to the other routers are not open yet.
async def test_a_router_without_connections_mixes_no_versions(fleet):
    request_id = await release(fleet)
    await fleet.start_router()
    for each in fleet.targets:
        each.requests.clear()
    assert await take_up(fleet, 3, request_id) == (503, [])


# Guards against streams with events of two versions after a restart of all
# routers, of which none can tell that another version has served.
async def test_routers_that_all_restart_mix_no_versions(fleet):
    request_id = await release(fleet)
    await wait_for_record(fleet, 2)
    for number in await restart_all(fleet):
        for each in fleet.targets:
            each.requests.clear()
        assert await take_up(fleet, number, request_id) == (503, [])


# Guards against routers that have all just started, and take each other's
# ignorance for news that one version has served alone: the store was restored
# from a copy without the record.
@pytest.mark.parametrize('seconds', [0, START_SECONDS])
async def test_new_routers_without_a_record_mix_no_versions(fleet, seconds):
    request_id = await release(fleet)
    await wait_for_record(fleet, 2)
    copy = fleet.store.copy()
    copy.items.pop(VERSIONS_KEY)
    fleet.store.restore(copy)
    routers = await restart_all(fleet)
    await trio.sleep(seconds)
    for number in routers:
        for each in fleet.targets:
            each.requests.clear()
        assert await take_up(fleet, number, request_id) == (503, [])


# Guards against routers that refuse streams only because they have started
# since these began.
@pytest.mark.parametrize('restarts_all', [False, True])
async def test_new_routers_resume_streams_of_the_only_version(
    one_version, restarts_all
):
    fleet = one_version
    await wait_for_record(fleet, 1)
    streams = [f's-{number}' for number in range(STREAMS)]
    for number, request_id in enumerate(streams):
        await begin_stream(fleet, number % 3, request_id)
    if restarts_all:
        routers = await restart_all(fleet)
    else:
        await fleet.start_router()
        routers = (3,)
    statuses = await resumed(fleet, routers, streams)
    assert statuses.count(200) == STREAMS


# Guards against a router that refuses streams of a version that still serves,
# because its connections to the other routers are not open yet.
async def test_a_router_without_connections_resumes_streams(slow_clock, fleet):
    streams = [f's-{number}' for number in range(STREAMS)]
    for number, request_id in enumerate(streams):
        await begin_stream(fleet, number % 3, request_id)
    await fleet.start_router()
    assert await resumed(fleet, (3,), streams) == [200] * STREAMS


# Guards against streams of a killed router that no other one takes up, as a
# second version began to serve before their callers came back.
async def test_streams_of_a_killed_router_go_on_when_a_release_begins(
    one_version,
):
    fleet = one_version
    streams = [f's-{number}' for number in range(STREAMS)]
    for request_id in streams:
        await begin_stream(fleet, 0, request_id)
    fleet.routers[0].scope.cancel()
    await trio.sleep(SETTLE_SECONDS)
    set_version(fleet, fleet.targets[-1], NEW)
    await trio.sleep(SETTLE_SECONDS)
    statuses = await resumed(fleet, (1, 2), streams)
    assert statuses.count(200) >= STREAMS / 2
