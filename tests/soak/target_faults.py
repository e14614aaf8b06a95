"""Faults of targets themselves: odd answers, sudden ends, changes of entries.

They are drawn apart from the other faults, so that seeds keep those.
"""

import random

import trio

from tests.soak.cluster import SoakCluster, Target
from tests.soak.records import TargetDisturbed, now

__all__ = ('TargetFaults',)

MAX_GAP_SECONDS = 1.5
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 1.0, 4.0
MAX_SLOW_SECONDS = 1.0
FAILING_SHARE = 0.4
# A target serves on for so long after its entry is removed.
MIN_SERVE_SECONDS, MAX_SERVE_SECONDS = 3.0, 6.0
MAX_CHANGE_GAP_SECONDS = 1.5
MAX_CHANGES_AT_ONCE = 3


class TargetFaults:
    """Injects faults of targets and changes of the configuration."""

    def __init__(self, cluster: SoakCluster, seed: int, min_ready: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f'targets {seed}')
        self._min_ready = min_ready
        self._faults = (
            self._stutter,
            self._cut_answers,
            self._fail_part,
            self._slow_down,
            self._remove_entry,
            self._restart,
        )

    async def run(self, injected: list[str]) -> None:
        """Inject faults until cancelled, and add their names to the list."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_changes)
            while True:
                fault = self._random.choice(self._faults)
                injected.append(fault.__name__.strip('_'))
                nursery.start_soon(fault)
                await trio.sleep(self._random.uniform(0.05, MAX_GAP_SECONDS))

    async def run_changes(self, injected: list[str]) -> None:
        """Only change entries and the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_changes)
            while True:
                injected.append('remove_entry')
                nursery.start_soon(self._remove_entry)
                await trio.sleep(self._random.uniform(0.05, MAX_GAP_SECONDS))

    async def _run_changes(self) -> None:
        while True:
            gap = self._random.uniform(0.05, MAX_CHANGE_GAP_SECONDS)
            await trio.sleep(gap)
            for _ in range(self._random.randint(1, MAX_CHANGES_AT_ONCE)):
                await self._cluster.configure()

    async def _stutter(self) -> None:
        await self._set_for_a_time('stutters', True, False)

    async def _cut_answers(self) -> None:
        await self._set_for_a_time('cuts', True, False)

    async def _fail_part(self) -> None:
        await self._set_for_a_time('failing_share', FAILING_SHARE, 0)

    async def _slow_down(self) -> None:
        seconds = self._random.uniform(0, MAX_SLOW_SECONDS)
        await self._set_for_a_time('slow_seconds', seconds, 0)

    async def _set_for_a_time(self, name: str, during, after) -> None:
        remote = self._random.choice(self._cluster.targets).remote
        seconds = self._random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        await remote.set_for(seconds, name, during, after)

    async def _remove_entry(self) -> None:
        """Remove a target's entry, while the target serves on."""
        target = self._choose_ready()
        if target is None:
            return
        await self._cluster.publish_target(target, 'gone')
        await trio.sleep(
            self._random.uniform(MIN_SERVE_SECONDS, MAX_SERVE_SECONDS)
        )
        await self._cluster.publish_target(target, 'ready')

    async def _restart(self) -> None:
        """End a target's connections, and start it anew under its name."""
        target = self._choose_ready()
        if target is not None:
            self._cluster.records.append(TargetDisturbed(now(), target.name))
            await target.proxy.call('reset_connections')
            await self._cluster.restart_target(target)

    def _choose_ready(self) -> Target | None:
        ready = self._cluster.ready_targets
        if len(ready) <= self._min_ready:
            return None
        return self._random.choice(ready)
