"""Faults as deployments of users have them, and the strike that ends a run.

They are drawn apart from the other faults, so that seeds keep those.
"""

import random
import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import trio

from tests.soak.cluster import Router, SoakCluster
from tests.soak.control import Remote
from tests.soak.records import RouterDisturbed, StoreDisturbed

__all__ = ('FieldFaults',)

MAX_GAP_SECONDS = 4.0
# The store turns away this part of the routers.
TURNED_AWAY_SHARE = 0.35
MIN_SECONDS, MAX_SECONDS = 0.3, 6.0
# Watches hear nothing for so long before the history is lost.
MUTE_SECONDS = 1.0
DOWN_SECONDS = 1.0
REFUSALS = (429, 503)


class FieldFaults:
    """Injects faults of the store that concern some routers or calls."""

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f'field {seed}')
        self._faults = (
            self._turn_away,
            self._lose_history,
            self._silence_connections,
        )

    async def run(self, injected: list[str]) -> None:
        """Inject one fault after the other until cancelled."""
        while True:
            fault = self._random.choice(self._faults)
            injected.append(fault.__name__.strip('_'))
            await fault()
            await trio.sleep(self._random.uniform(1, MAX_GAP_SECONDS))

    async def strike(self) -> None:
        """Kill all routers right after a change, and start them again."""
        await self._cluster.configure()
        with self._disturbed(self._cluster.routers):
            for router in self._cluster.routers:
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
            await trio.sleep(DOWN_SECONDS)
            for router in self._cluster.routers:
                router.process.wait()
                self._cluster.start_router(router)

    async def run_changes(self, injected: list[str]) -> None:
        """Add nothing to the changes that all runs have after the strike."""

    async def _turn_away(self) -> None:
        """Let the store serve some routers only, and the operator."""
        routers = self._cluster.routers
        count = max(1, int(len(routers) * TURNED_AWAY_SHARE))
        chosen = self._random.sample(routers, count)
        how = self._random.choice(('refuse', 'hold', *REFUSALS))
        with self._disturbed(chosen):
            for router in chosen:
                await self._begin(router, how)
            await trio.sleep(self._random.uniform(MIN_SECONDS, MAX_SECONDS))
            for router in chosen:
                await self._remote('view', router).set(refusal=0)
                await self._remote('way', router).call('clear_faults')

    async def _begin(self, router: Router, how: str | int) -> None:
        way = self._remote('way', router)
        if how == 'refuse':
            await way.call('refuse')
        elif how == 'hold':
            await way.call('hold', 'requests', 'responses')
        else:
            await self._remote('view', router).set(refusal=how)

    async def _lose_history(self) -> None:
        """Let watches hear nothing for a time, then forget the changes."""
        with self._cluster.disturbed(StoreDisturbed, True):
            await self._cluster.store.call('mute_watches')
            await self._cluster.configure()
            await trio.sleep(MUTE_SECONDS)
            await self._cluster.store.call('drop_history')

    async def _silence_connections(self) -> None:
        """Let all connections to the store go silent for good."""
        with self._disturbed(self._cluster.routers):
            for router in self._cluster.routers:
                await self._remote('way', router).call('silence')
            await trio.sleep(self._random.uniform(0, MAX_SECONDS / 2))
            for router in self._cluster.routers:
                await self._remote('way', router).call('clear_faults')

    def _remote(self, part: str, router: Router) -> Remote:
        return Remote(self._cluster.workers[0], f'{part} {router.name}')

    @contextmanager
    def _disturbed(self, routers: list[Router]) -> Iterator[None]:
        with ExitStack() as stack:
            for router in routers:
                stack.enter_context(
                    self._cluster.disturbed(RouterDisturbed, router.name)
                )
            yield
