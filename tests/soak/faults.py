"""Faults drawn from a seed: one after the other, in series and overlapping."""

import random
import signal
from collections.abc import Awaitable, Callable

import trio

from tests.soak.cluster import Router, SoakCluster, SoakTarget

__all__ = ('FaultInjector',)

Fault = Callable[[], Awaitable[None]]

# Time between the beginnings of two faults; most last longer.
LONGEST_GAP_SECONDS = 1.2
LONGEST_FAULT_SECONDS = 2.5
STOP_SECONDS = 5.5
SERIES = 3
LEAST_TARGETS = 2


class FaultInjector:
    """Plays faults on a site until it is cancelled."""

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        self.played: list[str] = []
        self._cluster = cluster
        self._random = random.Random(f'faults {seed}')
        self._faults: tuple[Fault, ...] = (
            self._kill,
            self._stop,
            self._pause,
            self._delay,
            self._hold_requests,
            self._hold_answers,
            self._reset,
            self._refuse,
            self._fail,
            self._leave,
            self._lose_store,
            self._forget_history,
            self._change,
            self._reload,
        )

    async def run(self) -> None:
        """Begin one fault after the other; they overlap."""
        async with trio.open_nursery() as nursery:
            while True:
                fault = self._random.choice(self._faults)
                name = fault.__name__.strip('_')
                self.played.append(name)
                for _ in range(self._random.randint(1, SERIES)):
                    nursery.start_soon(fault)
                    await trio.sleep(self._gap())

    def _gap(self) -> float:
        return self._random.uniform(0.05, LONGEST_GAP_SECONDS)

    async def _last(self) -> None:
        await trio.sleep(self._random.uniform(0.3, LONGEST_FAULT_SECONDS))

    def _router(self) -> Router | None:
        """Return a router that runs, unless it is the last one."""
        running = [
            router
            for router in self._cluster.routers
            if router.process is not None
            and router.process.poll() is None
            and not router.is_stopping
            and trio.current_time() - router.disturbed_at > STOP_SECONDS
        ]
        return self._random.choice(running) if len(running) > 1 else None

    def _target(self) -> SoakTarget:
        return self._random.choice(self._cluster.targets)

    async def _kill(self) -> None:
        router = self._router()
        if router is None:
            return
        router.disturbed_at = trio.current_time()
        router.signal(signal.SIGKILL)
        await self._last()
        self._restart(router)

    async def _stop(self) -> None:
        router = self._router()
        if router is None:
            return
        router.is_stopping = True
        router.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_SECONDS):
            while router.process.poll() is None:
                await trio.sleep(0.05)
        if router.process.poll() is None:
            self._cluster.checker.violations.append(
                f'{router.name} did not stop'
            )
            router.signal(signal.SIGKILL)
        self._restart(router)

    async def _pause(self) -> None:
        router = self._router()
        if router is None:
            return
        router.disturbed_at = trio.current_time()
        router.signal(signal.SIGSTOP)
        await self._last()
        router.signal(signal.SIGCONT)
        router.disturbed_at = trio.current_time()

    def _restart(self, router: Router) -> None:
        router.process.wait()
        router.disturbed_at = trio.current_time()
        router.start(self._cluster.log(router))

    async def _delay(self) -> None:
        link = self._target().link
        link.delay_seconds = self._random.uniform(0.02, 0.4)
        await self._last()
        link.heal()

    async def _hold_requests(self) -> None:
        link = self._target().link
        link.hold('requests')
        await self._last()
        link.heal()

    async def _hold_answers(self) -> None:
        link = self._target().link
        link.hold('answers')
        await self._last()
        link.heal()

    async def _reset(self) -> None:
        self._target().link.reset_all()

    async def _refuse(self) -> None:
        link = self._target().link
        link.refuses = True
        link.reset_all()
        await self._last()
        link.heal()

    async def _fail(self) -> None:
        target = self._target()
        target.fails = True
        await self._last()
        target.fails = False

    async def _leave(self) -> None:
        staying = [
            target
            for target in self._cluster.targets
            if trio.current_time() < target.left_at
        ]
        if len(staying) <= LEAST_TARGETS:
            return
        target = self._random.choice(staying)
        self._cluster.list_target(target, 'draining')
        await trio.sleep(LONGEST_FAULT_SECONDS + 1.5)
        self._cluster.list_target(target, 'ready')

    async def _lose_store(self) -> None:
        link = self._cluster.store_proxy
        how = self._random.choice(('hold', 'refuse', 'busy'))
        if how == 'hold':
            link.hold('requests', 'answers')
        elif how == 'refuse':
            link.refuses = True
            link.reset_all()
        else:
            self._cluster.store.faults.extend([503] * 20)
        await self._last()
        link.heal()
        self._cluster.store.faults.clear()

    async def _forget_history(self) -> None:
        self._cluster.store.forget_history()

    async def _change(self) -> None:
        self._cluster.configure()

    async def _reload(self) -> None:
        router = self._router()
        if router is not None:
            router.signal(signal.SIGHUP)
