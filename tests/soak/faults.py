"""Injects random faults, drawn from a seed, into routers, targets and store."""

import random
import signal
from collections.abc import Awaitable, Callable, Collection
from contextlib import ExitStack

import trio

from tests.soak.brittle import CONTACT_SECONDS
from tests.soak.cluster import Router, SoakCluster
from tests.soak.proxy import FaultProxy
from tests.soak.records import (
    PathDisturbed,
    RouterDisturbed,
    StoreDisturbed,
    now,
)
from tests.soak.target import SoakTarget
from tests.soak.target_faults import TargetFaults

__all__ = ('FaultInjector',)

Fault = Callable[[], Awaitable[None]]

# Longest time between the starts of two faults; most faults last longer.
MAX_GAP_SECONDS = 1.2
MAX_FAULT_SECONDS = 2.5
# A router must stop within this time after SIGTERM.
STOP_TIMEOUT_SECONDS = 5.5
MAX_REPEATS = 3
# Rejections in a second that a brittle target bears.
MAX_REJECTIONS = 3
# Targets that always stay ready.
MIN_TARGETS = 2
MAX_CUT_SECONDS = 5.0


class FaultInjector:
    """Injects faults into a cluster; `injected` lists their names in order."""

    def __init__(
        self, cluster: SoakCluster, seed: int, without: Collection[str] = ()
    ) -> None:
        """Create an injector; `without` has the groups to leave out."""
        self.injected: list[str] = []
        self._without = without
        self._disturbed = cluster.disturbed
        self._cluster = cluster
        self._random = random.Random(f'faults {seed}')
        self._brittle_random = random.Random(f'brittle {seed}')
        self._cut_random = random.Random(f'cuts {seed}')
        self._target_faults = TargetFaults(cluster, seed, MIN_TARGETS)
        faults: tuple[tuple[str, Fault], ...] = (
            ('routers', self._kill_router),
            ('routers', self._stop_router),
            ('routers', self._pause_router),
            ('paths', self._delay_target),
            ('paths', self._hold_target_requests),
            ('paths', self._hold_target_responses),
            ('paths', self._reset_target_connections),
            ('paths', self._refuse_target_connections),
            ('targets', self._fail_target),
            ('targets', self._drain_target),
            ('targets', self._leave_by_answers),
            ('targets', self._ask_for_pauses),
            ('targets', self._name_limit),
            ('store', self._disrupt_store),
            ('store', self._forget_store_history),
            ('store', self._restore_store),
            ('', self._change_configuration),
            ('', self._reload_router),
        )
        self._faults = tuple(
            fault for group, fault in faults if group not in without
        )

    async def run(self) -> None:
        """Start faults one after the other until cancelled.

        Each is repeated up to MAX_REPEATS times; faults overlap.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_brittle_times)
            if 'paths' not in self._without:
                nursery.start_soon(self._run_cuts)
            nursery.start_soon(self._target_faults.run, self.injected)
            while True:
                fault = self._random.choice(self._faults)
                name = fault.__name__.strip('_')
                self.injected.append(name)
                for _ in range(self._random.randint(1, MAX_REPEATS)):
                    nursery.start_soon(fault)
                    await trio.sleep(self._random_gap())

    def _random_gap(self) -> float:
        return self._random.uniform(0.05, MAX_GAP_SECONDS)

    async def _wait_for_duration(self) -> None:
        await trio.sleep(self._random.uniform(0.3, MAX_FAULT_SECONDS))

    def _choose_router(self) -> Router | None:
        """Return a running router that was not disturbed recently.

        Returns None if fewer than two routers qualify.
        """
        running = [
            router
            for router in self._cluster.routers
            if router.process is not None
            and router.process.poll() is None
            and not router.is_stopping
            and now() - router.disturbed_at > STOP_TIMEOUT_SECONDS
        ]
        return self._random.choice(running) if len(running) > 1 else None

    def _choose_target(self) -> SoakTarget:
        return self._random.choice(self._cluster.targets)

    async def _kill_router(self) -> None:
        router = self._choose_router()
        if router is None:
            return
        router.disturbed_at = now()
        with self._disturbed(RouterDisturbed, router.name):
            router.signal(signal.SIGKILL)
            await self._wait_for_duration()
            self._restart(router)

    async def _stop_router(self) -> None:
        router = self._choose_router()
        if router is None:
            return
        router.is_stopping = True
        with self._disturbed(RouterDisturbed, router.name):
            await self._stop(router)

    async def _stop(self, router: Router) -> None:
        router.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while router.process.poll() is None:
                await trio.sleep(0.05)
        if router.process.poll() is None:
            self._cluster.checker.violations.append(
                f'{router.name} did not stop'
            )
            router.signal(signal.SIGKILL)
        self._restart(router)

    async def _pause_router(self) -> None:
        router = self._choose_router()
        if router is None:
            return
        router.disturbed_at = now()
        with self._disturbed(RouterDisturbed, router.name):
            router.signal(signal.SIGSTOP)
            await self._wait_for_duration()
            router.signal(signal.SIGCONT)
        router.disturbed_at = now()

    def _restart(self, router: Router) -> None:
        router.process.wait()
        router.disturbed_at = now()
        self._cluster.start_router(router)

    async def _delay_target(self) -> None:
        target = self._choose_target()
        with self._disturbed(PathDisturbed, target.name):
            target.proxy.delay_seconds = self._random.uniform(0.02, 0.4)
            await self._wait_for_duration()
            target.proxy.delay_seconds = 0

    async def _hold_target_requests(self) -> None:
        await self._hold_target('requests')

    async def _hold_target_responses(self) -> None:
        await self._hold_target('responses')

    async def _hold_target(self, direction: str) -> None:
        target = self._choose_target()
        with self._disturbed(PathDisturbed, target.name):
            target.proxy.hold(direction)
            await self._wait_for_duration()
            target.proxy.release(direction)

    async def _reset_target_connections(self) -> None:
        self._choose_target().proxy.reset_connections()

    async def _refuse_target_connections(self) -> None:
        target = self._choose_target()
        with self._disturbed(PathDisturbed, target.name):
            target.proxy.refuses_connections = True
            target.proxy.reset_connections()
            await self._wait_for_duration()
            target.proxy.refuses_connections = False

    async def _fail_target(self) -> None:
        target = self._choose_target()
        target.is_failing = True
        await self._wait_for_duration()
        target.is_failing = False

    async def _drain_target(self) -> None:
        target = self._choose_leaving_target()
        if target is None:
            return
        self._cluster.publish_target(target, 'draining')
        await trio.sleep(MAX_FAULT_SECONDS + 1.5)
        self._cluster.publish_target(target, 'ready')

    async def _leave_by_answers(self) -> None:
        """Let a target say in its answers alone that it leaves."""
        target = self._choose_leaving_target()
        if target is None:
            return
        target.says_leaving = True
        await trio.sleep(MAX_FAULT_SECONDS + 1.5)
        self._cluster.restart_target(target)

    def _choose_leaving_target(self) -> SoakTarget | None:
        ready_targets = [
            target
            for target in self._cluster.targets
            if target.state == 'ready' and not target.says_leaving
        ]
        if len(ready_targets) <= MIN_TARGETS:
            return None
        return self._random.choice(ready_targets)

    async def _ask_for_pauses(self) -> None:
        target = self._choose_target()
        target.pause_seconds = round(self._random.uniform(0.6, 2), 1)
        await self._wait_for_duration()
        target.pause_seconds = 0

    async def _name_limit(self) -> None:
        target = self._choose_target()
        target.limit = f'{self._random.uniform(0, 20):.1f}'
        await self._wait_for_duration()
        target.limit = ''

    async def _run_brittle_times(self) -> None:
        """Make one target after the other brittle, from draws of their own."""
        while True:
            target = self._brittle_random.choice(self._cluster.targets)
            target.brittle_from = now() + CONTACT_SECONDS
            target.max_rejections = str(MAX_REJECTIONS)
            await trio.sleep(
                CONTACT_SECONDS + self._brittle_random.uniform(1, 4)
            )
            target.max_rejections = ''
            await trio.sleep(self._brittle_random.uniform(0, 2))

    async def _run_cuts(self) -> None:
        """Cut one router after the other from all or some of the targets."""
        while True:
            router = self._cut_random.choice(self._cluster.routers)
            paths = tuple(router.paths.proxies.items())
            count = self._cut_random.choice((len(paths), len(paths) // 2))
            how = self._cut_random.choice(('held', 'refused'))
            self.injected.append(f'{router.name} {how} from {count} targets')
            cut = self._cut_random.sample(paths, count)
            with ExitStack() as stack:
                for name, proxy in cut:
                    _cut_path(proxy, how)
                    fault = self._disturbed(PathDisturbed, name, router.name)
                    stack.enter_context(fault)
                await trio.sleep(self._cut_random.uniform(1, MAX_CUT_SECONDS))
                for _, proxy in cut:
                    proxy.clear_faults()
            await trio.sleep(self._cut_random.uniform(0, 2))

    async def _disrupt_store(self) -> None:
        outage = self._random.choice(('hold', 'refuse', 'busy'))
        with self._disturbed(StoreDisturbed, False):
            await self._disrupt(outage)

    async def _disrupt(self, outage: str) -> None:
        proxy = self._cluster.store_proxy
        if outage == 'hold':
            proxy.hold('requests', 'responses')
        elif outage == 'refuse':
            proxy.refuse()
        else:
            self._cluster.store.faults.extend([503] * 20)
        await self._wait_for_duration()
        proxy.clear_faults()
        self._cluster.store.faults.clear()

    async def _forget_store_history(self) -> None:
        with self._disturbed(StoreDisturbed, True):
            self._cluster.store.drop_history()

    async def _restore_store(self) -> None:
        """Let the store come back from a copy some seconds old."""
        store = self._cluster.store
        proxy = self._cluster.store_proxy
        copy = store.copy()
        await self._wait_for_duration()
        with self._disturbed(StoreDisturbed, False, True):
            proxy.hold('requests', 'responses')
            await trio.sleep(self._random.uniform(0, 1))
            store.restore(copy)
            proxy.clear_faults()
            proxy.reset_connections()
            await trio.sleep(self._random.uniform(0, 1))
            self._cluster.write_again()

    async def _change_configuration(self) -> None:
        self._cluster.configure()

    async def _reload_router(self) -> None:
        router = self._choose_router()
        if router is not None:
            router.signal(signal.SIGHUP)


def _cut_path(proxy: FaultProxy, how: str) -> None:
    """Hold all bytes of a path, or reset its connections."""
    if how == 'held':
        proxy.hold('requests', 'responses')
        return
    proxy.refuses_connections = True
    proxy.reset_connections()
