"""Faults of one target that come in bursts: for some seconds, to many streams.

Each leaves the other targets sound. While some of them last, a router is killed
and started again, so that it knows nothing of its own.
"""

import random
import signal
from collections.abc import Collection

import trio

from tests.soak.cluster import SoakCluster, Target
from tests.soak.records import RouterDisturbed, now
from tests.soak.site import STREAMING

__all__ = ('BURST_FAULTS', 'BurstFaults')

# What the target's answers are like meanwhile.
ODDITIES = {
    'leave_out': 'leave_out',
    'break_off': 'break_off',
    'die_unmarked': 'unmarked',
    'die': '',
}
BURST_FAULTS = tuple(ODDITIES)
MIN_GAP_SECONDS, MAX_GAP_SECONDS = 0.3, 2.0
MIN_SECONDS, MAX_SECONDS = 1.0, 4.0
SHARES = (0.1, 0.3, 1.0)
NEW_ROUTER_SHARE = 0.3
# A killed target is there again at once, or after its port was closed so long.
DEAD_SECONDS = (0, 0, 0.3)


class BurstFaults:
    """Injects bursts, one after the other, until cancelled."""

    def __init__(
        self, cluster: SoakCluster, seed: int, names: Collection[str]
    ) -> None:
        self._cluster = cluster
        self._names = [name for name in BURST_FAULTS if name in names]
        self._random = random.Random(f'bursts {seed}')

    async def run(self, injected: list[str]) -> None:
        """Start one burst after the other, and add their names to the list."""
        while self._names:
            await trio.sleep(
                self._random.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
            )
            name = self._random.choice(self._names)
            target = self._random.choice(self._streaming_targets())
            injected.append(f'{name} {target.name} at {now():.1f}')
            await self._burst(name, target)

    def _streaming_targets(self) -> list[Target]:
        service = self._cluster.site.service_of(STREAMING)
        return [
            target
            for target in self._cluster.targets
            if target.service == service
        ]

    async def _burst(self, name: str, target: Target) -> None:
        share = self._random.choice(SHARES)
        dies = name.startswith('die')
        await target.remote.set(
            oddity=ODDITIES[name], oddity_share=1.0 if dies else share
        )
        seconds = self._random.uniform(MIN_SECONDS, MAX_SECONDS)
        if self._random.random() < NEW_ROUTER_SHARE:
            await self._start_router_anew()
        await trio.sleep(seconds)
        if dies:
            dead_seconds = self._random.choice(DEAD_SECONDS)
            await target.remote.call('die', dead_seconds)
            await trio.sleep(dead_seconds)
        await target.remote.set(oddity='')
        if dies:
            await self._cluster.restart_target(target)

    async def _start_router_anew(self) -> None:
        router = self._random.choice(self._cluster.routers)
        if router.is_stopping or router.process.poll() is not None:
            return
        # Nobody else stops it, or starts it again, meanwhile.
        router.is_stopping = True
        with self._cluster.disturbed(RouterDisturbed, router.name):
            router.signal(signal.SIGKILL)
            router.process.wait()
            router.disturbed_at = now()
            self._cluster.start_router(router)
