"""Injects random faults, drawn from a seed, into routers, targets and store."""

import itertools
import random
import signal
from collections.abc import Awaitable, Callable, Collection
from contextlib import ExitStack

import trio

from tests.soak.brittle import CONTACT_SECONDS
from tests.soak.cluster import Router, SoakCluster, Target
from tests.soak.control import Remote
from tests.soak.records import (
    PathDisturbed,
    RouterDisturbed,
    StoreDisturbed,
    TargetDisturbed,
    now,
)
from tests.soak.target_faults import TargetFaults

__all__ = ('FaultInjector',)

Fault = Callable[[], Awaitable[None]]

# Longest time between the starts of two faults; most faults last longer.
MAX_GAP_SECONDS = 1.2
MAX_FAULT_SECONDS = 2.5
# How old a copy may be from which the store comes back.
MAX_COPY_SECONDS = 8.0
LEAVING_SECONDS = 4.0
# A router must stop within this time after SIGTERM.
STOP_TIMEOUT_SECONDS = 5.5
MAX_REPEATS = 3
# Rejections in a second that a brittle target bears.
MAX_REJECTIONS = 3
# Targets that always stay ready.
MIN_TARGETS = 2
MAX_CUT_SECONDS = 5.0


class FaultInjector:
    """Injects faults into a cluster, which lists their names in order."""

    def __init__(
        self, cluster: SoakCluster, seed: int, without: Collection[str] = ()
    ) -> None:
        """Create an injector; `without` has the groups to leave out."""
        self._injected = cluster.injected
        self._without = without
        self._proxies = Remote(cluster.workers[0], 'proxies')
        self._copy_numbers = itertools.count()
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
            if 'brittle' not in self._without:
                nursery.start_soon(self._run_brittle_times)
            if 'paths' not in self._without:
                nursery.start_soon(self._run_cuts)
            nursery.start_soon(self._target_faults.run, self._injected)
            while True:
                fault = self._random.choice(self._faults)
                name = fault.__name__.strip('_')
                self._injected.append(name)
                for _ in range(self._random.randint(1, MAX_REPEATS)):
                    nursery.start_soon(fault)
                    await trio.sleep(self._random_gap())

    async def run_changes(self) -> None:
        """Change the configuration, and let targets leave, until cancelled."""
        await self._target_faults.run_changes(self._injected)

    def _random_gap(self) -> float:
        return self._random.uniform(0.05, MAX_GAP_SECONDS)

    def _duration(self) -> float:
        return self._random.uniform(0.3, MAX_FAULT_SECONDS)

    async def _wait_for_duration(self) -> None:
        await trio.sleep(self._duration())

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

    def _choose_target(self) -> Target:
        return self._random.choice(self._cluster.targets)

    async def _kill_router(self) -> None:
        if router := self._choose_router():
            # Nobody else stops it, or starts it again, meanwhile.
            router.is_stopping = True
            with self._disturbed(RouterDisturbed, router.name):
                router.signal(signal.SIGKILL)
                await self._wait_for_duration()
                self._restart(router)

    async def _stop_router(self) -> None:
        if router := self._choose_router():
            router.is_stopping = True
            with self._disturbed(RouterDisturbed, router.name, True):
                await self._stop(router)

    async def _stop(self, router: Router) -> None:
        router.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while router.process.poll() is None:
                await trio.sleep(0.05)
        if router.process.poll() is None:
            self._cluster.violations.append(f'{router.name} did not stop')
        self._restart(router)

    async def _pause_router(self) -> None:
        if router := self._choose_router():
            router.disturbed_at = now()
            with self._disturbed(RouterDisturbed, router.name):
                router.signal(signal.SIGSTOP)
                await self._wait_for_duration()
                router.signal(signal.SIGCONT)
            router.disturbed_at = now()

    def _restart(self, router: Router) -> None:
        router.kill()
        router.disturbed_at = now()
        self._cluster.start_router(router)

    async def _delay_target(self) -> None:
        target = self._choose_target()
        seconds = self._random.uniform(0.02, 0.4)
        with self._disturbed(PathDisturbed, target.name, '', True):
            await target.proxy.set_for(
                self._duration(), 'delay_seconds', seconds, 0
            )

    async def _hold_target_requests(self) -> None:
        await self._hold_target('requests')

    async def _hold_target_responses(self) -> None:
        await self._hold_target('responses')

    async def _hold_target(self, direction: str) -> None:
        target = self._choose_target()
        passes_answers = direction == 'requests'
        with self._disturbed(PathDisturbed, target.name, '', passes_answers):
            await target.proxy.call('hold', direction)
            await self._wait_for_duration()
            await target.proxy.call('release', direction)

    async def _reset_target_connections(self) -> None:
        target = self._choose_target()
        self._cluster.records.append(TargetDisturbed(now(), target.name))
        await target.proxy.call('reset_connections')

    async def _refuse_target_connections(self) -> None:
        target = self._choose_target()
        with self._disturbed(PathDisturbed, target.name):
            await target.proxy.call('refuse')
            await self._wait_for_duration()
            await target.proxy.set(refuses_connections=False)

    async def _fail_target(self) -> None:
        target = self._choose_target()
        await target.remote.set_for(self._duration(), 'is_failing', True, False)

    async def _ask_for_pauses(self) -> None:
        target = self._choose_target()
        seconds = round(self._random.uniform(0.6, 2), 1)
        await target.remote.set_for(
            self._duration(), 'pause_seconds', seconds, 0
        )

    async def _name_limit(self) -> None:
        target = self._choose_target()
        limit = f'{self._random.uniform(0, 20):.1f}'
        await target.remote.set_for(self._duration(), 'limit', limit, '')

    async def _drain_target(self) -> None:
        if target := self._choose_leaving_target():
            await self._cluster.publish_target(target, 'draining')
            await trio.sleep(LEAVING_SECONDS)
            await self._cluster.publish_target(target, 'ready')

    async def _leave_by_answers(self) -> None:
        """Let a target say in its answers alone that it leaves."""
        if target := self._choose_leaving_target():
            target.says_leaving = True
            await target.remote.set(says_leaving=True)
            await trio.sleep(LEAVING_SECONDS)
            await self._cluster.restart_target(target)

    def _choose_leaving_target(self) -> Target | None:
        ready_targets = self._cluster.ready_targets
        if len(ready_targets) <= MIN_TARGETS:
            return None
        return self._random.choice(ready_targets)

    async def _run_brittle_times(self) -> None:
        """Make one target after the other brittle, from draws of their own."""
        while True:
            target = self._brittle_random.choice(self._cluster.targets)
            await target.remote.set(
                brittle_from=None,
                max_rejections=str(MAX_REJECTIONS),
            )
            await trio.sleep(
                CONTACT_SECONDS + self._brittle_random.uniform(1, 4)
            )
            await target.remote.set(max_rejections='')
            await trio.sleep(self._brittle_random.uniform(0, 2))

    async def _run_cuts(self) -> None:
        """Cut one router after the other from all or some of the targets."""
        while True:
            router = self._cut_random.choice(self._cluster.routers)
            paths = tuple(router.paths.items())
            count = self._cut_random.choice((len(paths), len(paths) // 2))
            how = self._cut_random.choice(('held', 'refused'))
            self._injected.append(f'{router.name} {how} from {count} targets')
            cut = self._cut_random.sample(paths, count)
            with ExitStack() as stack:
                for name, proxy in cut:
                    fault = self._disturbed(PathDisturbed, name, router.name)
                    stack.enter_context(fault)
                    await _cut_path(proxy, how)
                await trio.sleep(self._cut_random.uniform(1, MAX_CUT_SECONDS))
                for _, proxy in cut:
                    await proxy.call('clear_faults')
            await trio.sleep(self._cut_random.uniform(0, 2))

    async def _disrupt_store(self) -> None:
        outage = self._random.choice(('hold', 'refuse', 'busy'))
        with self._disturbed(StoreDisturbed, False):
            await self._disrupt(outage)

    async def _disrupt(self, outage: str) -> None:
        if outage == 'hold':
            await self._proxies.call('hold', 'requests', 'responses')
        elif outage == 'refuse':
            await self._proxies.call('refuse')
        else:
            await self._cluster.store.call('turn_away')
        await self._wait_for_duration()
        await self._cluster.store.call('clear_faults')

    async def _forget_store_history(self) -> None:
        with self._disturbed(StoreDisturbed, True):
            await self._cluster.store.call('drop_history')

    async def _restore_store(self) -> None:
        """Let the store come back from a copy some seconds old.

        In turn all is written again, and only what was lost since an older
        copy.
        """
        store = self._cluster.store
        number = next(self._copy_numbers)
        is_old = number % 2 == 0
        await store.call('copy', number)
        await trio.sleep(
            self._random.uniform(MAX_FAULT_SECONDS, MAX_COPY_SECONDS)
            if is_old
            else self._duration()
        )
        with self._disturbed(StoreDisturbed, False, True):
            await self._proxies.call('hold', 'requests', 'responses')
            await trio.sleep(self._random.uniform(0, 1))
            await store.call('restore', number)
            await trio.sleep(self._random.uniform(0, 1))
            await store.call('write_lost' if is_old else 'write_again')

    async def _change_configuration(self) -> None:
        await self._cluster.configure()

    async def _reload_router(self) -> None:
        if router := self._choose_router():
            router.signal(signal.SIGHUP)


async def _cut_path(proxy: Remote, how: str) -> None:
    """Hold all bytes of a path, or reset its connections."""
    if how == 'held':
        await proxy.call('hold', 'requests', 'responses')
    else:
        await proxy.call('refuse')
