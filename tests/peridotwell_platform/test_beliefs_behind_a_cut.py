"""What a router goes on to believe while it hears nobody who knows better."""

import msgspec
import pytest
import trio

from tests.peridotwell_platform import cut_fleet, stand_in
from tests.peridotwell_platform.test_routers_out_of_step import (
    KNOWN_SECONDS,
    add_new_version,
    begin_at,
    mixed,
)
from tests.peridotwell_platform.test_streams_at_new_routers import (
    begin_stream,
    resumed,
)

# A router in touch knows what the store holds after less.
JOINED_SECONDS = 2.5
# A change of the configuration is in force after this time.
CONFIGURATION_SECONDS = 2
NEWER = {
    **cut_fleet.CONFIG,
    'version': cut_fleet.CONFIG['version'] + 1,
    'routes': [stand_in.route('new', 'idempotent')],
}
COLD_PER_SECOND = 4
PER_SECOND = 60
REQUESTS = 240


def end_registration(fleet, number):
    """Let the entry of a router that is cut off from the store lapse."""
    lapsed = [
        key
        for key in fleet.store.items
        if key.startswith('routers/') and key.endswith(f'r-{number}')
    ]
    assert lapsed
    for key in lapsed:
        fleet.store.delete(key)


# Guards against streams of two versions at a router that takes itself for the
# only one, since it has heard of no other before it was cut off.
@pytest.mark.parametrize('seconds', [0.2, 1, 3])
async def test_a_router_that_knew_no_other_mixes_no_versions(nursery, seconds):
    fleet = await cut_fleet.start_fleet(nursery, 1)
    await begin_stream(fleet, 0, 'before')
    assert await resumed(fleet, (0,), ['before']) == [200]
    fleet.cut_from_store(0)
    end_registration(fleet, 0)
    await fleet.start_router()
    await trio.sleep(seconds)
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    streams = await begin_at(fleet, 1, target)
    assert await mixed(fleet, 0, streams, target) == 0


# Guards against streams of two versions at a router that was cut off while a
# version came and went: neither the changes since nor the entries show it.
@pytest.mark.parametrize('numbers', [(3,), (2, 3)])
@pytest.mark.parametrize('seconds', [0.2, 3])
@pytest.mark.parametrize('has_history', [True, False])
async def test_a_version_that_came_and_went_unseen_is_not_mixed(
    nursery, numbers, seconds, has_history
):
    fleet = await cut_fleet.start_fleet(nursery, 4)
    await begin_stream(fleet, 0, 'before')
    assert await resumed(fleet, (3,), ['before']) == [200]
    fleet.cut_off(*numbers)
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    streams = await begin_at(fleet, 0, target, 1)
    await trio.sleep(seconds)
    fleet.store.delete('servers/i-new')
    if not has_history:
        fleet.store.drop_history()
    await trio.sleep(KNOWN_SECONDS)
    fleet.join()
    await trio.sleep(JOINED_SECONDS)
    assert await mixed(fleet, 3, streams, target) == 0


# Guards against callers that are refused for good (401, 404) by routers that
# can't know the latest configuration, and served by an old one after the cut.
@pytest.mark.parametrize('numbers', [(3,), (2, 3)])
async def test_nothing_new_is_refused_for_good_behind_a_cut(nursery, numbers):
    fleet = await cut_fleet.start_fleet(nursery, 4)
    fleet.cut_off(*numbers)
    cut_at = trio.current_time()
    fleet.store.put('op/config', msgspec.json.encode(NEWER))
    for seconds in (CONFIGURATION_SECONDS, 3):
        await trio.sleep_until(cut_at + seconds)
        assert (await fleet.send(3, '/new/x')).status == 503
        resp = await fleet.send(3, '/read/x', **{'x-credential': 'new-key'})
        assert resp.status == 503
    assert (await fleet.send(3, '/read/x')).status == 200
    fleet.join()
    await trio.sleep(JOINED_SECONDS)
    assert (await fleet.send(3, '/new/x')).status == 200
    assert (await fleet.send(3, '/read/x')).status == 404


class CountingTarget(stand_in.TargetStandIn):
    """A target that records when requests arrive."""

    def __init__(self, name):
        super().__init__(name)
        self.arrivals = []

    async def handle(self, exchange):
        if exchange.path != stand_in.STATUS_PATH:
            self.arrivals.append(trio.current_time())
        await super().handle(exchange)


# Guards against cold targets that crash under the requests of routers that are
# cut off and go on to take them for warm.
@pytest.mark.parametrize('numbers', [(3,), (2, 3)])
async def test_cold_targets_bear_routers_that_are_cut_off(
    nursery, monkeypatch, numbers
):
    [service] = cut_fleet.CONFIG['services']
    cold = {**service, 'cold_s': 60, 'cold_per_s': COLD_PER_SECOND}
    document = {**cut_fleet.CONFIG, 'services': [cold]}
    monkeypatch.setattr(cut_fleet, 'CONFIG', document)
    monkeypatch.setattr(stand_in, 'TargetStandIn', CountingTarget)
    fleet = await cut_fleet.start_fleet(nursery, 4)
    fleet.cut_off(*numbers)
    await trio.sleep(1)
    entry = msgspec.json.decode(cut_fleet.target_entry(fleet.addresses['i-0']))
    content = msgspec.json.encode({**entry, 'cold_left_ms': 60_000})
    fleet.store.put('servers/i-0', content)
    await trio.sleep(KNOWN_SECONDS)
    begin = trio.current_time()
    async with trio.open_nursery() as callers:
        for number in range(REQUESTS):
            await trio.sleep_until(begin + number / PER_SECOND)
            callers.start_soon(fleet.send, number % 4, '/read/x')
    arrivals = [at for at in fleet.targets[0].arrivals if at >= begin]
    busiest = max(
        sum(first <= at < first + 1 for at in arrivals) for first in arrivals
    )
    assert busiest <= 1.5 * COLD_PER_SECOND + 5
