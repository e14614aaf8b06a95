"""Choice of targets while some are cold."""

from dataclasses import replace

import pytest
import trio

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.routing_table import ServiceProperties
from peridotwell.errors import NoRoom, NoTarget
from peridotwell.forwarding.targets.cold_watch import ColdWatch
from peridotwell.metrics import Metrics
from peridotwell.policy.limits.cold_shares import SETTLE_SECONDS
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.forwarding.simulated_targets import (
    PLAIN,
    PlacingRouter,
    TargetDecoder,
)
from tests.forwarding.targets.test_crash_tracker import make_request

COLD_SECONDS = 30
PER_SECOND = 4
# More than times of the clock differ by when they are added up.
ROUNDING_SECONDS = 1e-6
REQUEST = replace(make_request(), service=PLAIN)


class ColdDecoder(TargetDecoder):
    """Decodes targets whose entry is the time for which they are cold."""

    def decode_table(self, content, revision):
        service = ServiceProperties(
            PLAIN, cold_seconds=COLD_SECONDS, cold_per_second=PER_SECOND
        )
        table = super().decode_table(content, revision)
        return replace(table, services={PLAIN: service})

    def evacuated_data_centre(self, key):
        folder, _, name = key.partition('/')
        return name if folder == 'evacuate' else None

    def decode_target(self, key, content):
        target = super().decode_target(key, b'a')
        if content == b'odd':
            return replace(target, odd_fields=('cold',))
        return replace(target, cold_left_seconds=float(content))


@pytest.fixture
async def router(autojump_clock, monkeypatch):
    """A router with the targets w and c, which is cold."""
    monkeypatch.setattr(
        'tests.forwarding.simulated_targets.TargetDecoder', ColdDecoder
    )
    router = PlacingRouter('r', {}, 'a', Snapshot((), 1))
    router.metrics = Metrics('', '')
    router.watch = ColdWatch(
        router.directory, router.knowledge.cold_targets, router.metrics
    )
    put(router, 2, table=b'1', w=b'0', c=b'20')
    router.began_at = trio.current_time()
    router.knowledge.cold_targets.set_routers((), router.began_at)
    return router


def put(router, revision, **entries):
    listed = tuple(
        Entry(
            name if name == 'table' else f't/{PLAIN}/{name}', content, revision
        )
        for name, content in entries.items()
    )
    router.directory.apply_changes(Changes(listed, (), revision), 0)


def send(router, seconds, tried=()):
    now = router.began_at + seconds
    choice = router.selector.choose(REQUEST, tried, now)
    router.tracker.record_start(REQUEST, choice, now)
    return choice.target.name


# Guards against a burst that goes to the cold target as it has least to do.
async def test_burst_goes_to_the_warm_target(router):
    names = [send(router, SETTLE_SECONDS) for _ in range(40)]
    assert names.count('c') == 1
    router.watch.log_changes(router.began_at)
    diverted = router.metrics.counters['request.diverted_from_cold']
    assert diverted == 39 - names.index('c')
    assert router.metrics.gauges['targets.cold'] == 1


# Guards against second attempts that are not bound.
async def test_second_attempt_keeps_the_bound(router):
    assert send(router, SETTLE_SECONDS, tried=('w',)) == 'c'
    with pytest.raises(NoTarget):
        send(router, SETTLE_SECONDS, tried=('w',))


# Guards against requests that are refused although a turn comes soon.
async def test_request_waits_for_its_turn_at_cold_targets(router):
    put(router, 3, w=b'20')
    for _ in range(2):
        send(router, SETTLE_SECONDS)
    with pytest.raises(NoRoom) as refused:
        send(router, SETTLE_SECONDS)
    assert 0 < refused.value.room_seconds < 1
    turn = SETTLE_SECONDS + refused.value.room_seconds + ROUNDING_SECONDS
    assert send(router, turn)


async def test_changed_bounds_are_in_force(router):
    router.selector.set_bounds(DeploymentBounds(cold_overage=0, cold_slack=0))
    assert {send(router, 9) for _ in range(9)} == {'w'}


async def test_unusable_time_is_logged_once_and_changes_nothing(router):
    for revision in (3, 4):
        put(router, revision, c=b'odd')
    assert router.metrics.counters['target.odd_entry'] == 1
    [target] = [
        each
        for each in router.directory.available_targets(PLAIN)
        if each.name == 'c'
    ]
    assert router.tracker.cold.is_cold(target, router.began_at + 19)
    assert not router.tracker.cold.is_cold(target, router.began_at + 21)


# Guards against a data centre whose targets get a burst right after its
# evacuation, in which they may have become cold.
async def test_targets_of_a_restored_data_centre_count_as_cold(router):
    key = 'evacuate/a'
    order = Changes((Entry(key, b'{}', 3),), (), 3)
    router.directory.apply_changes(order, trio.current_time())
    await trio.sleep(COLD_SECONDS)
    router.watch.log_changes(trio.current_time())
    assert router.knowledge.cold_targets.is_empty
    removal = Changes((), ((key, 4),), 4)
    router.directory.apply_changes(removal, trio.current_time())
    assert router.knowledge.cold_targets.count == 2
