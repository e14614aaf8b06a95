"""Tests of news from the store while half of a fleet restarts.

84 routers, most or all with links of 5 Mbit/s; 42 have just started and request
caches. Time is virtual. An answer of the store with a configuration takes
200 KB of the link of the router that reads it.
"""

import pytest
import trio

from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from tests.fleet.relays.test_relay_links import TICK_SECONDS
from tests.forwarding.lifecycle.test_recovery import (
    ROUTER_COUNT,
    RestartedFleet,
)

RESTARTED_COUNT = ROUTER_COUNT // 2
ANSWER_BYTES = 200_000
# Half of the time in which a change must be in force on a large deployment.
MAX_NEWS_SECONDS = 1.5
LARGE_TABLE_BYTES = 4100
OLD_TABLE = Entry('table', b'1'.zfill(LARGE_TABLE_BYTES), 301)
NEW_TABLE = Entry('table', b'2'.zfill(LARGE_TABLE_BYTES), 302)
LEFT_TARGET = 't/engines/e0'
NEWS = Changes((NEW_TABLE,), ((LEFT_TARGET, 303),), 303)


class StoreReaders:
    """The routers that read news from the store, each over its own link."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.reading = set()

    def read(self, now):
        """Let those read that must follow the store and lack the news."""
        for router in self.fleet.routers:
            is_behind = router.directory.known_revision < NEWS.revision
            follows = router.sharing.relay_protocol.must_follow_store(now)
            if not is_behind or not follows or router in self.reading:
                continue
            self.reading.add(router)
            arrives_at = router.transport.downlink.send(ANSWER_BYTES, now)
            self.fleet.network.schedule(
                arrives_at, router.directory.apply_changes, NEWS, arrives_at
            )


def knows_news(router):
    targets = {target.name for target in router.directory.all_targets()}
    return router.directory.table.version == 2 and 'e0' not in targets


# Guards against a leaving target in use, or a configuration not in force, on
# routers whose links carry what other routers need after their start.
@pytest.mark.parametrize('fast_routers', [6, 0])
async def test_news_reaches_all_routers_while_half_of_the_fleet_restarts(
    autojump_clock, fast_routers
):
    fleet = RestartedFleet(registered=True, fast_routers=fast_routers)
    fleet.meet()
    for router in fleet.routers:
        router.directory.apply_changes(Changes((OLD_TABLE,), (), 301), 0)
    for router in fleet.routers[RESTARTED_COUNT:]:
        fleet.fill_index(router)
    readers = StoreReaders(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(1)
        for router in fleet.routers[:RESTARTED_COUNT]:
            nursery.start_soon(fleet.recovery(router).run)
        await trio.sleep(0.3)
        end = trio.current_time() + MAX_NEWS_SECONDS
        while trio.current_time() < end:
            readers.read(trio.current_time())
            await trio.sleep(TICK_SECONDS)
        late = [
            each.hello.name for each in fleet.routers if not knows_news(each)
        ]
        assert not late
        nursery.cancel_scope.cancel()
