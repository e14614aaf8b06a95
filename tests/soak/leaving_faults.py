"""Targets that leave while requests lie there, and then go on.

A target stands still, or bytes to and from it are held. Its entry is removed
or says that it leaves, before or meanwhile; or it starts anew. When it goes on,
it reads what lay there. The faults overlap, at different targets.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import asynccontextmanager

import trio

from tests.soak.cluster import SoakCluster, Target
from tests.soak.records import PathDisturbed, TargetDisturbed, now

__all__ = ('LEAVING_FAULTS', 'LeavingFaults')

Fault = Callable[[Target], Awaitable[None]]

LEAVING_FAULTS = (
    'lapse',
    'drain_then_stop',
    'stop_then_drain',
    'leave_by_answers_then_stop',
    'stop_then_restart',
)
MIN_GAP_SECONDS, MAX_GAP_SECONDS = 0.3, 1.5
# An entry is removed after so many heartbeats of silence.
SILENT_BEATS = 3
BEAT_SECONDS = 1.0
# A target goes on so long after the store has said that it leaves: later than
# the bound of routers.
MIN_LYING_SECONDS, MAX_LYING_SECONDS = 2.3, 5.0
MAX_BETWEEN_SECONDS = 1.0
# It reads what lay there, before it starts anew.
READING_SECONDS = 1.0
HELD_SHARE = 0.25
# Targets that always stay as they are.
MIN_READY = 2


class LeavingFaults:
    """Lets targets stand still, leave and go on, until cancelled."""

    def __init__(
        self, cluster: SoakCluster, seed: int, names: Collection[str]
    ) -> None:
        self._cluster = cluster
        self._names = [name for name in LEAVING_FAULTS if name in names]
        self._random = random.Random(f'leaving {seed}')
        # The names of targets that have such a fault.
        self._busy: set[str] = set()

    async def run(self, injected: list[str]) -> None:
        """Start one fault after the other, and add their names to the list."""
        if not self._names:
            return
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    self._random.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
                )
                name = self._random.choice(self._names)
                if target := self._choose_target():
                    injected.append(f'{name} {target.name}')
                    fault: Fault = getattr(self, f'_{name}')
                    nursery.start_soon(self._inject, fault, target)

    async def _inject(self, fault: Fault, target: Target) -> None:
        self._busy.add(target.name)
        try:
            await fault(target)
        finally:
            self._busy.remove(target.name)

    def _choose_target(self) -> Target | None:
        ready = [
            target
            for target in self._cluster.ready_targets
            if target.name not in self._busy
        ]
        return self._random.choice(ready) if len(ready) > MIN_READY else None

    async def _lapse(self, target: Target) -> None:
        """Stand still; the entry is removed after some heartbeats."""
        async with self._stopped(target):
            await trio.sleep(SILENT_BEATS * BEAT_SECONDS)
            await self._leave(target, 'gone')
            await self._lie()
        await self._return(target)

    async def _drain_then_stop(self, target: Target) -> None:
        await self._leave(target, 'draining')
        await self._wait_between()
        async with self._stopped(target):
            await self._lie()
        await self._return(target)

    async def _stop_then_drain(self, target: Target) -> None:
        async with self._stopped(target):
            await self._wait_between()
            await self._leave(target, 'draining')
            await self._lie()
        await self._return(target)

    async def _leave_by_answers_then_stop(self, target: Target) -> None:
        target.says_leaving = True
        await target.remote.set(says_leaving=True)
        await self._wait_between()
        async with self._stopped(target):
            await trio.sleep(SILENT_BEATS * BEAT_SECONDS)
            await self._leave(target, 'gone')
            await self._lie()
        await target.remote.set(says_leaving=False)
        await self._return(target)

    async def _stop_then_restart(self, target: Target) -> None:
        """Stand still, then start again under the same name."""
        async with self._stopped(target):
            await self._wait_between()
            # The connections of a process end with it.
            self._cluster.records.append(TargetDisturbed(now(), target.name))
            await target.proxy.call('reset_connections')
        await self._cluster.restart_target(target)

    async def _leave(self, target: Target, state: str) -> None:
        await self._cluster.publish_target(target, state)

    async def _lie(self) -> None:
        await trio.sleep(
            self._random.uniform(MIN_LYING_SECONDS, MAX_LYING_SECONDS)
        )

    async def _wait_between(self) -> None:
        await trio.sleep(self._random.uniform(0, MAX_BETWEEN_SECONDS))

    async def _return(self, target: Target) -> None:
        await trio.sleep(READING_SECONDS)
        await self._cluster.publish_target(target, 'ready')

    @asynccontextmanager
    async def _stopped(self, target: Target) -> AsyncIterator[None]:
        """Let a target stand still meanwhile, or hold all bytes of its path."""
        if self._random.random() < HELD_SHARE:
            with self._cluster.disturbed(PathDisturbed, target.name):
                await target.proxy.call('hold', 'requests', 'responses')
                yield
                await target.proxy.call('release', 'requests', 'responses')
        else:
            disturbed = TargetDisturbed(now(), target.name)
            self._cluster.records.append(disturbed)
            await target.remote.call('stand_still')
            await self._cluster.store.call('stop_reports', target.name)
            yield
            await target.remote.call('go_on')
            await self._cluster.store.call('resume_reports', target.name)
