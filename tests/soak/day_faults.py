"""Faults that fill a day: series of changes, odd stores, restarts in turn.

Each is chosen by its name. They are drawn apart from the other faults, and
those of a group follow each other, while the groups overlap. What a store may
do at any time is not recorded, so that it excuses nothing.
"""

import random
import signal
from collections.abc import Awaitable, Callable, Collection, Iterator
from contextlib import contextmanager

import trio

from tests.soak.burst_faults import BURST_FAULTS, BurstFaults
from tests.soak.cluster import Router, SoakCluster
from tests.soak.control import Remote
from tests.soak.faults import STOP_TIMEOUT_SECONDS
from tests.soak.leaving_faults import LEAVING_FAULTS, LeavingFaults
from tests.soak.out_of_step import OutOfStepFaults
from tests.soak.records import RouterDisturbed, StoreDisturbed, now

__all__ = ('DAY_FAULTS', 'DayFaults')

Fault = Callable[[], Awaitable[None]]

# By group: faults of one group do not overlap.
CHANGES = (
    'storm',
    'big_table',
    'alterations',
    'two_at_once',
    'late_write',
    'repeat',
)
# Of these, the store executes the older of two versions last.
OUT_OF_ORDER = frozenset(('two_at_once', 'late_write'))
STORES = (
    'slow_wake',
    'slow_link',
    'half_answer',
    'cut_watches',
    'silent_watches',
    'slow_answers',
    'lost_answers',
    'silent_store',
    'reset_store',
    'turn_away',
    'forget',
    'silent_connections',
)
RESTARTS = ('roll', 'lose')
ANSWERS = ('odd_answers',)
DAY_FAULTS = (
    *CHANGES,
    *STORES,
    *RESTARTS,
    *ANSWERS,
    *LEAVING_FAULTS,
    *BURST_FAULTS,
)
MIN_GAP_SECONDS, MAX_GAP_SECONDS = 0.5, 3.0
# Routers turned away, or whose ways to the store are impaired.
SOME_SHARE = 0.35
HOWS = (429, 503, 'refuse', 'hold')
MAX_MORE_ROUTES = 370
# A write without an answer is executed so much later at most.
MAX_LATE_SECONDS = 6.0
# Routers have heard of a version by then, and keep it.
HEARD_SECONDS = 2.5
# The operator then rests, for longer than a version may take to be in force.
REST_SECONDS = 1.0, 4.0


class DayFaults:
    """Injects the faults that were chosen, until cancelled."""

    def __init__(
        self, cluster: SoakCluster, seed: int, names: Collection[str]
    ) -> None:
        self._cluster = cluster
        self._names = names
        self._random = random.Random(f'day {seed}')
        self._leaving = LeavingFaults(cluster, seed, names)
        self._bursts = BurstFaults(cluster, seed, names)
        self._out_of_step = OutOfStepFaults(cluster, seed, names)
        self._lost: Router | None = None
        self._lost_at = float(0)
        # Held by faults of the store, and until all routers in touch have heard
        # of a version that the store does not hold any more.
        self._store_lock = trio.Lock()

    async def run(self, injected: list[str]) -> None:
        """Inject faults of all groups, and add their names to the list."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leaving.run, injected)
            nursery.start_soon(self._bursts.run, injected)
            nursery.start_soon(self._out_of_step.run, injected)
            for group in (CHANGES, STORES, RESTARTS, ANSWERS):
                chosen = [name for name in group if name in self._names]
                if chosen:
                    nursery.start_soon(self._run_group, chosen, injected)

    async def strike(self) -> None:
        """Kill all routers right after a change, and start them again."""
        await self._cluster.store.call('give_up_late_writes')
        await self._cluster.configure()
        with _all_disturbed(self._cluster, self._cluster.routers):
            for router in self._cluster.routers:
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
            await trio.sleep(self._random.uniform(0.5, 1.6))
            for router in self._cluster.routers:
                router.process.wait()
                self._cluster.start_router(router)
        if self._lost is not None:
            self._cluster.records.append(
                RouterDisturbed(self._lost_at, now(), self._lost.name)
            )
            self._lost = None

    async def run_changes(self, injected: list[str]) -> None:
        """Only change the configuration until cancelled.

        All routers may be starting: nobody could tell them of a version that
        the store does not hold any more.
        """
        chosen = [
            name
            for name in CHANGES
            if name in self._names and name not in OUT_OF_ORDER
        ]
        if chosen:
            await self._run_group(chosen, injected)

    async def _run_group(self, names: list[str], injected: list[str]) -> None:
        while True:
            await trio.sleep(
                self._random.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
            )
            name = self._random.choice(names)
            injected.append(f'{name} at {now():.1f}')
            fault: Fault = getattr(self, f'_{name}')
            if name in STORES:
                async with self._store_lock:
                    await fault()
            else:
                await fault()

    async def _storm(self) -> None:
        """Write one version after the other."""
        until = now() + self._random.uniform(2, 4)
        gap = self._random.uniform(0.08, 0.33)
        while now() < until:
            await self._cluster.configure()
            await trio.sleep(gap)

    async def _big_table(self) -> None:
        """Add many routes in one change, and drop them in a later one."""
        await self._alter(
            more_routes=self._random.randint(340, MAX_MORE_ROUTES)
        )
        await self._cluster.configure()
        await trio.sleep(self._random.uniform(0.1, 4))
        await self._alter(more_routes=0)

    async def _alterations(self) -> None:
        """Write the same again, then with other tenants, beside versions."""
        for _ in range(self._random.randint(2, 6)):
            changes = self._random.choice(
                (
                    {},
                    {'tenant': self._random.randint(0, 9)},
                    {'more_routes': self._random.randint(0, 3)},
                )
            )
            await self._alter(**changes)
            if self._random.random() < 0.5:
                await self._cluster.configure()
            await trio.sleep(self._random.uniform(0, 0.5))

    async def _two_at_once(self) -> None:
        """Write versions two at a time, of which the older comes last."""
        async with self._store_lock:
            for _ in range(self._random.randint(1, 5)):
                await self._cluster.configure_two()
                await self._rest(self._random.uniform(0.08, 0.33))
            await self._rest(HEARD_SECONDS)
        await self._rest(self._random.uniform(*REST_SECONDS))

    async def _late_write(self) -> None:
        """Let a write be executed seconds after that of the next version."""
        async with self._store_lock:
            seconds = self._random.uniform(1, MAX_LATE_SECONDS)
            await self._cluster.configure_late(seconds)
            await self._rest(HEARD_SECONDS)
        left = max(seconds - HEARD_SECONDS, 0)
        await self._rest(left + self._random.uniform(*REST_SECONDS))

    async def _rest(self, seconds: float) -> None:
        """Let nothing be changed, so that what is in force stays."""
        with self._cluster.rest():
            await trio.sleep(seconds)

    async def _repeat(self) -> None:
        """Write the same version again."""
        for _ in range(self._random.randint(1, 3)):
            await self._cluster.store.call('repeat')
            await trio.sleep(self._random.uniform(0, 0.3))

    async def _alter(self, **changes: int) -> None:
        await self._cluster.store.call('alter', changes)

    async def _slow_wake(self) -> None:
        """Let some watches, or all, be told of changes late."""
        await self._impair_views(wake_seconds=self._random.uniform(0.5, 2.5))

    async def _impair_views(self, **faults: float) -> None:
        routers = self._choose_some_or_all()
        for router in routers:
            await self._remote('view', router).set(**faults)
        await self._write_meanwhile(self._random.uniform(3, 9))
        for router in routers:
            await self._remote('view', router).call('clear_faults')

    async def _slow_link(self) -> None:
        """Limit the bytes that pass from the store in a second."""
        await self._impair_ways(
            bytes_per_second=self._random.uniform(150_000, 2_000_000)
        )

    async def _half_answer(self) -> None:
        """Stop one answer half way on each of some connections, for good."""
        await self._impair_ways(stalls_over=self._random.choice((200, 4000)))

    async def _impair_ways(self, **faults: float) -> None:
        routers = self._choose_some_or_all()
        for router in routers:
            await self._remote('way', router).set(**faults)
        await self._write_meanwhile(self._random.uniform(3, 6))
        for router in routers:
            await self._remote('way', router).call('clear_faults')

    async def _cut_watches(self) -> None:
        for _ in range(self._random.randint(1, 4)):
            await self._cluster.store.call('cut_watches')
            await self._write_meanwhile(self._random.uniform(0.05, 0.7))

    async def _silent_watches(self) -> None:
        """Let no watch hear anything, then lose the history."""
        await self._cluster.store.call('mute_watches')
        await self._write_meanwhile(self._random.uniform(1, 6))
        await self._cluster.store.call('drop_history')

    async def _slow_answers(self) -> None:
        with self._cluster.disturbed(StoreDisturbed, False):
            for router in self._cluster.routers:
                await self._remote('view', router).set(answer_seconds=0.24)
            await self._write_meanwhile(4.5)
            await self._clear_store()

    async def _lost_answers(self) -> None:
        with self._cluster.disturbed(StoreDisturbed, False):
            for router in self._cluster.routers:
                await self._remote('view', router).set(lost_share=0.35)
            await self._write_meanwhile(4.5)
            await self._clear_store()

    async def _silent_store(self) -> None:
        proxies = Remote(self._cluster.workers[0], 'proxies')
        with self._cluster.disturbed(StoreDisturbed, False):
            await proxies.call('hold', 'requests', 'responses')
            await trio.sleep(self._random.uniform(2, 8))
            await self._clear_store()

    async def _reset_store(self) -> None:
        proxies = Remote(self._cluster.workers[0], 'proxies')
        with self._cluster.disturbed(StoreDisturbed, False):
            await proxies.call('refuse')
            await trio.sleep(self._random.uniform(2, 5.3))
            await self._clear_store()

    async def _turn_away(self) -> None:
        """Turn some routers away for long; others are served, and bound."""
        chosen = self._choose_some()
        how = self._random.choice(HOWS)
        with _all_disturbed(self._cluster, chosen):
            for router in chosen:
                way = self._remote('way', router)
                if how == 'refuse':
                    await way.call('refuse')
                elif how == 'hold':
                    await way.call('hold', 'requests', 'responses')
                else:
                    await self._remote('view', router).set(refusal=how)
            await self._write_meanwhile(self._random.uniform(8, 9))
            for router in chosen:
                await self._remote('view', router).call('clear_faults')
                await self._remote('way', router).call('clear_faults')

    async def _forget(self) -> None:
        """Forget the history again and again."""
        with self._cluster.disturbed(StoreDisturbed, True):
            for _ in range(self._random.randint(1, 4)):
                await self._write_meanwhile(self._random.uniform(0.1, 2))
                await self._cluster.store.call('drop_history')

    async def _silent_connections(self) -> None:
        """Let the open connections of some routers go silent for good."""
        chosen = self._choose_some()
        with _all_disturbed(self._cluster, chosen):
            for router in chosen:
                way = self._remote('way', router)
                await way.call('silence')
                await way.call('clear_faults')
            await self._cluster.configure()

    async def _roll(self) -> None:
        """Stop and start one router after the other."""
        for router in self._cluster.routers:
            if router is self._lost or router.process.poll() is not None:
                continue
            if router.is_stopping:
                continue
            router.is_stopping = True
            with self._cluster.disturbed(RouterDisturbed, router.name, True):
                router.signal(signal.SIGTERM)
                with trio.move_on_after(STOP_TIMEOUT_SECONDS):
                    while router.process.poll() is None:
                        await trio.sleep(0.05)
                router.kill()
                self._cluster.start_router(router)
            await trio.sleep(self._random.uniform(1, 2))

    async def _lose(self) -> None:
        """Kill one router, which is not started again before the strike."""
        if self._lost is None:
            self._lost_at = now()
            self._lost = self._random.choice(self._cluster.routers)
            self._lost.signal(signal.SIGKILL)

    async def _odd_answers(self) -> None:
        """Let some targets repeat events, leave some out, or end early."""
        targets = self._cluster.targets
        count = max(1, int(len(targets) * SOME_SHARE))
        chosen = self._random.sample(targets, count)
        for target in chosen:
            await target.remote.set(odd_answers=True)
        await trio.sleep(self._random.uniform(1, 4))
        for target in chosen:
            await target.remote.set(odd_answers=False)

    async def _write_meanwhile(self, seconds: float) -> None:
        """Write versions for a time, at gaps of up to a second."""
        until = now() + seconds
        while now() < until:
            await self._cluster.configure()
            left = max(until - now(), 0)
            await trio.sleep(min(left, self._random.uniform(0.2, 1)))

    async def _clear_store(self) -> None:
        await self._cluster.store.call('clear_faults')

    def _choose_some(self) -> list[Router]:
        routers = self._cluster.routers
        count = max(1, int(len(routers) * SOME_SHARE))
        return self._random.sample(routers, count)

    def _choose_some_or_all(self) -> list[Router]:
        if self._random.random() < 0.5:
            return self._choose_some()
        return self._cluster.routers

    def _remote(self, part: str, router: Router) -> Remote:
        return Remote(self._cluster.workers[0], f'{part} {router.name}')


@contextmanager
def _all_disturbed(
    cluster: SoakCluster, routers: list[Router]
) -> Iterator[None]:
    """Record that routers are disturbed meanwhile."""
    began_at = now()
    try:
        yield
    finally:
        cluster.records.extend(
            RouterDisturbed(began_at, now(), router.name) for router in routers
        )
