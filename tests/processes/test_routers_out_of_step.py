"""Streams that callers take up at a router process that is out of step.

A target of a new version registers meanwhile. Streams begin there through
another router, break off, and are taken up at that one.
"""

import itertools
import signal
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import httpcore
import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import router_setup, stand_in
from tests.peridotwell_platform.cut_fleet import CONFIG
from tests.peridotwell_platform.test_routers_out_of_step import (
    add_new_version,
    begin_at,
)
from tests.peridotwell_platform.test_streams_at_new_routers import (
    BEGUN,
    begin_stream,
)
from tests.ports import find_free_port
from tests.soak.cluster import SETTINGS_TEMPLATE, Router
from tests.soak.peer_ways import PeerWays
from tests.soak.proxy import FaultProxy, start_proxy

ROUTERS, TARGETS = 4, 3
FIRST_HOST_NUMBER = 150
# The routers of one of two data centres.
LAST_TWO = (2, 3)
# Routers that are out of step at the same time, alone and together.
OUT_OF_STEP = ((1,), LAST_TWO)
# How long routers stand still, by their numbers.
STANDSTILL_SECONDS = {1: 0.6, 2: 1.5, 3: 4.0}
# Requests lie at a router that stands still for so long.
LYING_SECONDS = 0.2
STREAMS = 6
SERVING_SECONDS = 20
# Updates between all routers.
SETTLE_SECONDS = 1.0
# A release is known to all routers in touch after less.
KNOWN_SECONDS = 0.1
# After a cut, streams go on again within this time.
REJOINED_SECONDS = 2.5
ATTEMPT_SECONDS = 0.1
SERVED, REFUSED = 200, 503


class TakenUp(NamedTuple):
    """How a router answered who took a stream up, and which targets ran it."""

    status: int
    targets: list[stand_in.TargetStandIn]


@dataclass
class ProcessFleet:
    """Router processes; the store, the targets and all proxies run here."""

    nursery: trio.Nursery
    folder: Path
    store: stand_in.StoreStandIn = field(default_factory=stand_in.StoreStandIn)
    targets: list[stand_in.TargetStandIn] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    store_ways: list[FaultProxy] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Make the ways between the routers."""
        self.peer_ways = PeerWays(self.nursery)

    async def start(self) -> None:
        """Start all, and wait until the routers know each other."""
        self.store.page_size = 100
        self.store.put('op/config', msgspec.json.encode(CONFIG))
        for number in range(TARGETS):
            await self._start_target(f'i-{number}')
        address = await self._serve(self.store.handle)
        ips = [f'127.0.0.{FIRST_HOST_NUMBER + n}' for n in range(ROUTERS)]
        ports = [find_free_port(ip) for ip in ips]
        peers = {
            f'r{number}': f'{ip}:{port}'
            for number, (ip, port) in enumerate(zip(ips, ports, strict=True))
        }
        ways = await self.peer_ways.open(peers)
        for number, (ip, port) in enumerate(zip(ips, ports, strict=True)):
            way = await start_proxy(self.nursery, address)
            self.store_ways.append(way)
            self._start_router(number, ip, port, way.address, ways)
        for number in range(ROUTERS):
            await self._wait_until_serving(number)
        await trio.sleep(SETTLE_SECONDS)

    def end(self) -> None:
        """End all routers."""
        for router in self.routers:
            router.kill()

    def cut_off(self, *numbers: int) -> None:
        """Cut routers off, together, from the store and all other routers."""
        for number in numbers:
            self.store_ways[number].hold('requests', 'responses')
        self.peer_ways.cut_off(*(f'r{number}' for number in numbers))

    def delay_news(self, seconds: float, *numbers: int) -> None:
        """Let all that passes between these routers and others come late."""
        for number in numbers:
            self.store_ways[number].delay_seconds = seconds
        self.peer_ways.delay(seconds, *(f'r{number}' for number in numbers))

    def join(self) -> None:
        """End all cuts and delays."""
        for way in self.store_ways:
            way.clear_faults()
        self.peer_ways.clear_faults()

    async def send(self, number, path, **fields):
        """Send a request to a router; return the response."""
        headers = router_setup.caller_headers(
            next(self._numbers), **{'x-deadline-ms': '3000', **fields}
        )
        async with httpcore.AsyncConnectionPool() as pool:
            return await router_setup.call(
                pool, self.routers[number].address, 'POST', path, headers, b'q'
            )

    async def _start_target(self, name: str) -> None:
        target = stand_in.TargetStandIn(name)
        self.targets.append(target)
        address = await self._serve(target.handle)
        self.store.put(f'servers/{name}', router_setup.target_entry(address))

    async def _serve(self, handle) -> str:
        return await self.nursery.start(
            serve_http, handle, f'{router_setup.LOCALHOST}:0'
        )

    def _start_router(self, number, ip, port, store, ways) -> None:
        name = f'r{number}'
        settings, callers = self.folder / f'{name}.toml', find_free_port(ip)
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                ip=ip,
                data_centre='south' if number in LAST_TWO else 'north',
                peers=port,
                handovers=port,
                callers=callers,
                ready=find_free_port(ip),
                store=store,
            )
        )
        peer_ways = self.folder / f'{name}.json'
        peer_ways.write_bytes(msgspec.json.encode(ways[name]))
        router = Router(name, settings, f'{ip}:{callers}', peer_ways=peer_ways)
        self.routers.append(router)
        router.start(self.folder / f'{name}.log')

    async def _wait_until_serving(self, number: int) -> None:
        with trio.fail_after(SERVING_SECONDS):
            while True:
                with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    if (await self.send(number, '/read/x')).status == SERVED:
                        return
                await trio.sleep(ATTEMPT_SECONDS)


@pytest.fixture
async def fleet(nursery, tmp_path):
    """Router processes that have let streams of the only version go on."""
    fleet = ProcessFleet(nursery, tmp_path)
    try:
        await fleet.start()
        await check_all_go_on(fleet, await begin_some(fleet), range(ROUTERS))
        yield fleet
    finally:
        fleet.end()


async def begin_some(fleet, prefix='before') -> list[str]:
    """Begin streams at any targets, through the first router."""
    streams = [f'{prefix}-{number}' for number in range(STREAMS)]
    for request_id in streams:
        await begin_stream(fleet, 0, request_id)
    return streams


async def release(fleet) -> stand_in.TargetStandIn:
    """Let a target of a new version join; return it."""
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    return target


async def take_up(fleet, number, stream, attempt=0) -> TakenUp:
    """Take a stream up at a router; return what came of it."""
    request_id = f'{stream}-at-{number}-{attempt}'
    for target in fleet.targets:
        target.script.append(stand_in.stream_events(BEGUN + 1, BEGUN + 2))
    resp = await fleet.send(
        number,
        '/ask/x',
        **{
            'x-request-id': request_id,
            'last-event-id': str(BEGUN),
            'resumes': stream,
        },
    )
    ran = [
        target
        for target in fleet.targets
        for _, _, headers, _ in target.requests
        if headers.get('x-request-id') == request_id
    ]
    return TakenUp(resp.status, ran)


def check_unmixed(outcomes, target) -> None:
    """Fail if a stream went on at another target, or failed otherwise."""
    for outcome in outcomes:
        assert outcome.status in {SERVED, REFUSED}, outcomes
    mixed = [
        each.name
        for outcome in outcomes
        for each in outcome.targets
        if each is not target
    ]
    assert not mixed, f'{len(mixed)} of {len(outcomes)}: {mixed}'


async def take_all_up(fleet, number, streams, attempt=0) -> list[TakenUp]:
    """Take streams up at a router, one after the other."""
    return [await take_up(fleet, number, stream, attempt) for stream in streams]


async def check_all_go_on(fleet, streams, numbers, target=None) -> None:
    """Fail unless each router lets all streams go on, after retries."""
    with trio.fail_after(REJOINED_SECONDS):
        for number in numbers:
            waiting, attempt = streams, 1
            while waiting:
                outcomes = await take_all_up(fleet, number, waiting, attempt)
                if target is not None:
                    check_unmixed(outcomes, target)
                waiting = [
                    stream
                    for stream, outcome in zip(waiting, outcomes, strict=True)
                    if outcome.status != SERVED
                ]
                attempt += 1


async def take_up_everywhere(fleet, numbers, streams, target) -> None:
    """Take streams up at several routers at once; fail if one is mixed."""
    outcomes: list[TakenUp] = []

    async def take_up_at(number):
        outcomes.extend(await take_all_up(fleet, number, streams))

    async with trio.open_nursery() as asking:
        for number in numbers:
            asking.start_soon(take_up_at, number)
    check_unmixed(outcomes, target)


# Guards against streams of two versions at router processes that hear neither
# the store nor a router that does, and against streams that stay refused.
@pytest.mark.parametrize('seconds', [0.2, 4])
async def test_routers_that_are_cut_off_mix_no_versions(fleet, seconds):
    for group in OUT_OF_STEP:
        fleet.cut_off(*group)
    await trio.sleep(seconds)
    target = await release(fleet)
    streams = await begin_at(fleet, 0, target, STREAMS)
    await take_up_everywhere(fleet, (1, 2, 3), streams, target)
    fleet.join()
    await check_all_go_on(fleet, streams, (1, 2, 3), target)


# Guards against streams of two versions at router processes that hear of a
# release later than a stream takes to begin and to break off.
@pytest.mark.parametrize('seconds', [0.5, 1.2])
async def test_routers_that_are_behind_mix_no_versions(fleet, seconds):
    for group in OUT_OF_STEP:
        fleet.delay_news(seconds, *group)
    await trio.sleep(2 * seconds)
    target = await release(fleet)
    streams = await begin_at(fleet, 0, target, 1)
    await take_up_everywhere(fleet, (1, 2, 3), streams, target)
    fleet.join()
    await check_all_go_on(fleet, streams, (1, 2, 3), target)


# Guards against streams of two versions at router processes that go on after a
# standstill, and read requests before what the store has told meanwhile.
async def test_routers_that_stood_still_mix_no_versions(fleet):
    for number in STANDSTILL_SECONDS:
        fleet.routers[number].signal(signal.SIGSTOP)
    began_at = trio.current_time()
    target = await release(fleet)
    streams = await begin_at(fleet, 0, target, STREAMS)
    outcomes = []

    async def add_outcome(number, stream, attempt):
        outcomes.append(await take_up(fleet, number, stream, attempt))

    async with trio.open_nursery() as asking:
        for number, seconds in STANDSTILL_SECONDS.items():
            await trio.sleep_until(began_at + seconds - LYING_SECONDS)
            for stream in streams:
                asking.start_soon(add_outcome, number, stream, 'still')
            await trio.sleep_until(began_at + seconds)
            fleet.routers[number].signal(signal.SIGCONT)
            for stream in streams:
                asking.start_soon(add_outcome, number, stream, 'after')
    assert len(outcomes) == 2 * STREAMS * len(STANDSTILL_SECONDS)
    check_unmixed(outcomes, target)
    await check_all_go_on(fleet, streams, STANDSTILL_SECONDS, target)


# Guards against streams of the only version that are refused at routers in
# touch with the store because others are cut off.
async def test_streams_of_one_version_go_on_beside_a_cut(fleet):
    streams = await begin_some(fleet, 'during')
    fleet.cut_off(*LAST_TWO)
    await trio.sleep(0.5)
    outcomes = await take_all_up(fleet, 1, streams)
    assert [outcome.status for outcome in outcomes] == [SERVED] * STREAMS
    fleet.join()
    await check_all_go_on(fleet, streams, LAST_TWO)


# Guards against streams of the only version that stay refused at a router that
# stood still.
async def test_streams_of_one_version_go_on_after_a_standstill(fleet):
    streams = await begin_some(fleet, 'during')
    fleet.routers[3].signal(signal.SIGSTOP)
    await trio.sleep(1.5)
    fleet.routers[3].signal(signal.SIGCONT)
    await check_all_go_on(fleet, streams, (3,))
