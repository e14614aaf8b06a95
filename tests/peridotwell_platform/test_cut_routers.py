"""Routers that have lost their paths to targets, while others reach them."""

import time

import httpcore
import pytest
import trio

from peridotwell.forwarding.sending.attempt_limits import (
    MIN_SILENCE_TIMEOUT_SECONDS,
)
from tests.peridotwell_platform import cut_fleet, stand_in

PATHS = ('/read/x', '/book/x', '/draft/x', '/ask/x')
CUTS = ('refused', 'hanging', 'old ones live')
# Time in which a router may find out that its paths are cut.
CONTACT_SECONDS = 3.0
FIRST_TRIES = 20
MIN_SERVED_SHARE = 0.95
# A refusal that comes at once; a connection that fails takes 0.3 s.
AT_ONCE_SECONDS = 0.25
SETTLE_SECONDS = 0.3
STEP_SECONDS = 0.01
SLOW_SECONDS = 0.6
CONCURRENT_REQUESTS = 18
# Of three targets, whose loads routers tell each other after 0.2 s.
MAX_SHARE_OF_ONE = 0.6
# Time in which all paths are probed.
PROBE_SECONDS = 0.5
# Enough requests for a kept connection to each target.
KEPT_CONNECTIONS = 12
# Requests that allow a few retries.
FOR_RETRIES = 60


@pytest.fixture
async def fleet(nursery):
    return await cut_fleet.start_fleet(nursery)


async def record_stops(stops):
    """Record, until cancelled, for how long this process does not run."""
    while True:
        started_at = trio.current_time()
        await trio.sleep(STEP_SECONDS)
        stops.append(trio.current_time() - started_at - STEP_SECONDS)


async def use_for_contact_time(fleet, number):
    """Send requests to a router until its cut may be known."""
    with trio.move_on_after(CONTACT_SECONDS):
        while True:
            await fleet.send(number, '/read/x')
            await trio.sleep(0.05)
    # A request that was left may still be on its way to a target.
    await trio.sleep(SETTLE_SECONDS)


# Guards against callers of a router without a path to any target, who were
# refused although other routers reach all of them.
@pytest.mark.parametrize('how', CUTS)
@pytest.mark.parametrize('path', PATHS)
async def test_callers_of_a_cut_router_are_served(fleet, path, how):
    await fleet.send(0, path)
    await fleet.cut(0, how)
    await use_for_contact_time(fleet, 0)
    statuses = [(await fleet.send(0, path)).status for _ in range(FIRST_TRIES)]
    assert statuses.count(200) >= MIN_SERVED_SHARE * FIRST_TRIES
    runs = fleet.runs()
    assert len(runs) == len(set(runs))


# Guards against second runs of requests whose targets are sound, while the
# process of the router stood still for about as long as it waits for them.
async def test_a_router_that_stood_still_repeats_nothing(fleet):
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)

    async def respond(target, exchange):
        # Nothing else runs meanwhile.
        time.sleep(MIN_SILENCE_TIMEOUT_SECONDS + 0.012)
        await trio.sleep(0.05)
        await stand_in.respond_ok(target, exchange)

    for target in fleet.targets:
        target.script.append(respond)
    before = len(fleet.runs())
    resp = await fleet.send(0, '/read/x')
    assert (resp.status, len(fleet.runs())) == (200, before + 1)


# Guards against bookings that are lost on connections kept across a cut.
async def test_bookings_right_after_a_cut_are_served(fleet):
    for _ in range(KEPT_CONNECTIONS):
        await fleet.send(0, '/book/x')
    await trio.sleep(SETTLE_SECONDS)
    await fleet.cut(0, 'hanging')
    statuses = [(await fleet.send(0, '/book/x')).status for _ in range(3)]
    assert statuses == [200] * 3
    runs = fleet.runs()
    assert len(runs) == len(set(runs)) == KEPT_CONNECTIONS + 3


# Guards against streams that wait for their silence limit on a cut path.
async def test_a_stream_right_after_a_cut_begins_within_a_second(
    fleet, nursery
):
    for _ in range(FOR_RETRIES):
        await fleet.send(0, '/ask/x')
    await fleet.cut(0, 'hanging')
    stops = []
    nursery.start_soon(record_stops, stops)
    started_at = trio.current_time()
    resp = await fleet.send(0, '/ask/x')
    assert resp.status == 200
    assert trio.current_time() - started_at - sum(stops) < 1


# Guards against requests that find out one by one which paths are cut.
async def test_a_failed_connection_has_the_other_paths_probed(fleet):
    await fleet.cut(0, 'hanging')
    await fleet.send(0, '/book/x')
    await trio.sleep(PROBE_SECONDS)
    started_at = trio.current_time()
    assert (await fleet.send(0, '/book/x')).status == 200
    assert trio.current_time() - started_at < AT_ONCE_SECONDS


# Guards against the one target that a router still reaches getting all of its
# requests, while targets that other routers reach have room.
async def test_a_router_with_one_path_left_uses_other_routers_too(fleet):
    await fleet.cut(0, 'refused', 'i-0', 'i-1')
    await use_for_contact_time(fleet, 0)
    runs = dict.fromkeys(fleet.addresses, 0)

    async def respond(target, exchange):
        runs[target.name] += 1
        await trio.sleep(SLOW_SECONDS)
        fields = stand_in.receipt_headers(target, exchange)
        await exchange.respond(200, b'', fields)

    for target in fleet.targets:
        target.script.extend([respond] * CONCURRENT_REQUESTS)
    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENT_REQUESTS):
            nursery.start_soon(fleet.send, 0, '/book/x')
    assert sum(runs.values()) == CONCURRENT_REQUESTS
    assert runs['i-2'] <= MAX_SHARE_OF_ONE * CONCURRENT_REQUESTS


async def test_two_cut_routers_are_served_by_the_third(fleet):
    await fleet.cut(0, 'refused')
    await fleet.cut(1, 'refused')
    await use_for_contact_time(fleet, 0)
    await use_for_contact_time(fleet, 1)
    for number in (0, 1):
        statuses = [
            (await fleet.send(number, '/book/x')).status
            for _ in range(FIRST_TRIES)
        ]
        assert statuses.count(200) >= MIN_SERVED_SHARE * FIRST_TRIES


# Guards against requests that wait, or go round, when nobody reaches a target.
async def test_all_routers_cut_refuse_at_once_as_not_run(fleet):
    for number in range(3):
        await fleet.cut(number, 'hanging')
    for number in range(3):
        await use_for_contact_time(fleet, number)
    runs = fleet.runs()
    for path in PATHS:
        started_at = trio.current_time()
        resp = await fleet.send(0, path)
        assert resp.status == 503
        assert b'retry-after' in dict(resp.headers)
        assert trio.current_time() - started_at < AT_ONCE_SECONDS
    assert fleet.runs() == runs


async def test_a_healed_router_uses_its_own_paths_again(fleet):
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)
    await fleet.heal(0)
    await trio.sleep(CONTACT_SECONDS)
    for number in (1, 2):
        await fleet.cut(number, 'refused')
    resp = await fleet.send(0, '/book/x')
    assert resp.status == 200


async def test_an_older_router_is_not_asked(nursery):
    fleet = await cut_fleet.start_fleet(nursery, routers=1)
    await fleet.start_router(takes_over=False)
    await trio.sleep(1)
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)
    resp = await fleet.send(0, '/book/x')
    assert resp.status == 503
    assert (await fleet.send(1, '/book/x')).status == 200


# Guards against a second run, and against a false "not run", when the router
# that took over a request ends while a target runs it.
async def test_the_router_that_took_over_ends(nursery):
    fleet = await cut_fleet.start_fleet(nursery, routers=2)
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)
    for target in fleet.targets:
        target.script.append(stand_in.never_respond)
    before = len(fleet.runs())

    async def end_router():
        while len(fleet.runs()) == before:
            await trio.sleep(0.01)
        fleet.routers[1].scope.cancel()

    nursery.start_soon(end_router)
    resp = await fleet.send(0, '/book/x')
    assert resp.status in {502, 504}
    assert len(fleet.runs()) == before + 1


# Guards against targets that go on working after the caller has left.
async def test_a_caller_that_leaves_ends_the_run(fleet):
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)
    ended = trio.Event()

    async def respond(target, exchange):
        await exchange.wait_for_disconnect()
        ended.set()

    for target in fleet.targets:
        target.script.append(respond)
    with trio.move_on_after(0.5):
        await fleet.send(0, '/book/x')
    with trio.fail_after(0.5):
        await ended.wait()


# Guards against half a stream that looks complete, when a target breaks off
# behind the router that took over.
async def test_a_stream_that_breaks_off_never_looks_complete(fleet):
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)
    for target in fleet.targets:
        target.script.append(stand_in.stream_events(1, 2, ends=False))
    with pytest.raises(httpcore.RemoteProtocolError):
        await fleet.send(0, '/draft/x')


# Guards against callers that name a customer of their own choice.
async def test_fields_of_the_handover_are_not_taken_from_callers(fleet):
    await fleet.cut(0, 'refused')
    await use_for_contact_time(fleet, 0)
    resp = await fleet.send(
        0, '/book/x', **{'peridotwell-handover': 'lgA=', 'x-tenant': 'other'}
    )
    assert resp.status == 200
    (headers,) = [
        headers
        for target in fleet.targets
        for _, path, headers, _ in target.requests
        if path == b'/book/x'
    ]
    assert headers['x-tenant'] == 'tenant-1'
    assert 'peridotwell-handover' not in headers
    assert 'peridotwell-handover-result' not in dict(resp.headers)
