"""Tests of the recovery of the cache index when many routers start at once.

84 routers serve 98 engines, each with 140 cached parts. Two routers in each
data centre have links of 100 Mbit/s, the others, or all, of 5 Mbit/s. Time is
virtual; frames wait before the links of their sender and receiver.
"""

from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from peridotwell.fleet.transport.router_registry import ROUTERS_PREFIX
from peridotwell.forwarding.lifecycle.recovery import CacheRecovery
from peridotwell.policy.placement.prompt_cache_index import CachedPart
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.fleet.relays.test_relay_links import TICK_SECONDS, Network
from tests.fleet.replica.test_evacuations import evacuate
from tests.forwarding.simulated_targets import ENGINES, TargetDecoder

LINK_BYTES_PER_SECOND = 625_000
FAST_LINK_BYTES_PER_SECOND = 12_500_000
ROUTER_COUNT = 84
RESTARTED_COUNT = 50
ENGINE_COUNT = 98
PARTS = 140
LIST_SECONDS = 0.02
# A router has what it needs within this time after its start.
RECOVERY_SECONDS = 2.0
# The counts that routers use are at most this old.
MAX_DELAY_SECONDS = 0.5
SAMPLE_SECONDS = 0.1


class Engines:
    """Clients of simulated engines, which list their caches."""

    def __init__(self):
        self.lists = 0

    def client(self, target):
        return EngineClient(self, target)

    def cache_path(self):
        return '/'

    def decode_cache_list(self, content):
        number = int(content)
        return tuple(
            CachedPart((number << 32) + part, 500) for part in range(PARTS)
        )


class EngineClient:
    """The client of one simulated engine."""

    def __init__(self, engines, target):
        self.engines = engines
        self.target = target

    @asynccontextmanager
    async def send(self, request, timeouts):
        self.engines.lists += 1
        await trio.sleep(LIST_SECONDS)
        yield self

    async def read_body(self, *, require_end_marker):
        return self.target.name.removeprefix('e').encode()


def router_entry(hello, revision):
    document = {
        'sender': hello.sender,
        'name': hello.name,
        'data_centre': hello.data_centre,
        # A host and a port; frames go to the address of `hello`.
        'peers': f'{hello.peer_address}:7000',
        'operators': '',
        'incarnation': hello.incarnation,
        'link_bytes_per_second': hello.link_bytes_per_second,
    }
    key = f'{ROUTERS_PREFIX}{hello.data_centre}/{hello.name}'
    return Entry(key, msgspec.json.encode(document), revision)


class RestartedFleet:
    """The routers of a fleet, some or all of which have just started."""

    def __init__(self, registered, fast_routers=0):
        """Make the fleet; `registered` tells whether its leases still run.

        The first `fast_routers` routers have links of 100 Mbit/s.
        """
        self.engines = Engines()
        self.network = Network(LINK_BYTES_PER_SECOND, has_downlinks=True)
        for number in range(ROUTER_COUNT):
            self.network.add_router(
                f'r{number}',
                'abc'[number % 3],
                FAST_LINK_BYTES_PER_SECOND if number < fast_routers else 0,
                decoder=TargetDecoder(),
                snapshot=Snapshot((), 0),
            )
        self.routers = list(self.network.routers.values())
        entries = [Entry('table', b'1', 1)]
        entries += [
            Entry(f't/{ENGINES}/e{number}', b'a', 2 + number)
            for number in range(ENGINE_COUNT)
        ]
        if registered:
            entries += [router_entry(each.hello, 200) for each in self.routers]
        for router in self.routers:
            router.directory.apply_snapshot(Snapshot(tuple(entries), 300), 0)
            router.directory.store_contact.record_answer(0)

    async def run(self):
        """Let frames pass until cancelled."""
        while True:
            self.network.run(trio.current_time() + TICK_SECONDS)
            await trio.sleep(TICK_SECONDS)

    def meet(self):
        """Let each router know all others."""
        for router in self.routers:
            router.sharing.discovery.add_peers(
                each.hello for each in self.routers
            )

    async def register(self, seconds):
        """Let the routers' entries arrive one by one in some seconds."""
        for number, router in enumerate(self.routers):
            await trio.sleep(seconds / ROUTER_COUNT)
            entry = router_entry(router.hello, 301 + number)
            changes = Changes((entry,), (), 301 + number)
            for each in self.routers:
                each.directory.apply_changes(changes, trio.current_time())
                each.sharing.discovery.add_peers((router.hello,))

    def recovery(self, router):
        return CacheRecovery(
            router.directory,
            router.sharing,
            router.knowledge.cache_index,
            self.engines,
            self.engines,
        )

    def fill_index(self, router):
        for number in range(ENGINE_COUNT):
            parts = self.engines.decode_cache_list(str(number).encode())
            router.knowledge.cache_index.record_use(f'e{number}', parts, 0)
        router.sharing.cache_sync.is_complete = True
        router.sharing.cache_sync.is_ready.set()

    def known_engines(self, router):
        index = router.knowledge.cache_index
        return sum(
            index.is_known(f'e{number}') for number in range(ENGINE_COUNT)
        )

    def max_delay(self, routers):
        now = trio.current_time()
        return max(each.sharing.update_delay.seconds(now) for each in routers)

    def max_wait(self):
        """Return how long a frame that is sent now waits, in seconds."""
        now = trio.current_time()
        links = [
            link
            for router in self.routers
            for link in (router.transport.link, router.transport.downlink)
        ]
        return max(link.free_at for link in links) - now

    async def wait_while_links_are_free(self, seconds):
        """Wait; fail if a frame would have to wait long before a link."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(SAMPLE_SECONDS)
            assert self.max_wait() <= MAX_DELAY_SECONDS


# Guards against restarts that fill the links with lists of caches.
@pytest.mark.parametrize('fast_routers', [6, 0])
async def test_many_restarts_do_not_delay_what_routers_tell_each_other(
    autojump_clock, fast_routers
):
    fleet = RestartedFleet(registered=True, fast_routers=fast_routers)
    fleet.meet()
    restarted = fleet.routers[:RESTARTED_COUNT]
    survivors = fleet.routers[RESTARTED_COUNT:]
    for router in survivors:
        fleet.fill_index(router)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(1)
        for router in restarted:
            nursery.start_soon(fleet.recovery(router).run)
        await fleet.wait_while_links_are_free(RECOVERY_SECONDS)
        assert fleet.max_delay(survivors) <= MAX_DELAY_SECONDS
        known = min(fleet.known_engines(router) for router in restarted)
        assert known == ENGINE_COUNT
        nursery.cancel_scope.cancel()


# Guards against each router listing and announcing every engine, where the
# routers' entries have expired before the restart.
@pytest.mark.parametrize('fast_routers', [6, 0])
async def test_common_restart_without_entries_lists_few_engines_twice(
    autojump_clock, fast_routers
):
    fleet = RestartedFleet(registered=False, fast_routers=fast_routers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        for router in fleet.routers:
            nursery.start_soon(fleet.recovery(router).run)
        await fleet.register(seconds=0.4)
        await fleet.wait_while_links_are_free(RECOVERY_SECONDS)
        assert fleet.engines.lists <= 5 * ENGINE_COUNT
        known = min(fleet.known_engines(router) for router in fleet.routers)
        assert known == ENGINE_COUNT
        nursery.cancel_scope.cancel()


# Guards against cache queries to engines that the operator evacuates.
async def test_engines_of_evacuated_data_centres_are_not_asked(autojump_clock):
    fleet = RestartedFleet(registered=False)
    router = fleet.routers[0]
    evacuate(router.directory, 301)
    await fleet.recovery(router).run()
    assert not fleet.engines.lists
    assert router.sharing.cache_sync.is_ready.is_set()
