"""Probes targets that may be unreachable, by connecting to them.

Requests wait for no such connection while there are other targets, or other
routers that reach the target.
"""

import trio

from peridotwell.domain.target import Target
from peridotwell.forwarding.connection_check import can_connect
from peridotwell.forwarding.target_tracker import TargetTracker
from peridotwell.logs import log_event
from peridotwell.serving.target_client import CONNECT_TIMEOUT_SECONDS

__all__ = ('ReachabilityProber',)

POLL_SECONDS = 0.1
# Shortest time between two probes of a target that sends nothing.
SILENT_PROBE_SECONDS = 1.0


class ReachabilityProber:
    """Probes unreachable targets whose ejection has ended, and silent ones."""

    def __init__(self, tracker: TargetTracker) -> None:
        self._directory = tracker.directory
        self._ejection = tracker.ejection
        self._silence = tracker.silence
        self._probed_at: dict[str, float] = {}

    async def run(self) -> None:
        """Probe targets until cancelled."""
        while True:
            await trio.sleep(POLL_SECONDS)
            now = trio.current_time()
            names = {*self._ejection.to_probe(now), *self._silent(now)}
            if names:
                await self._probe_all(names)

    def _silent(self, now: float) -> set[str]:
        """Return the silent targets that are to be probed now."""
        self._probed_at = {
            name: probed_at
            for name, probed_at in self._probed_at.items()
            if now - probed_at < SILENT_PROBE_SECONDS
        }
        names = set(self._silence.silent_targets(now)) - self._probed_at.keys()
        self._probed_at.update(dict.fromkeys(names, now))
        return names

    async def _probe_all(self, names: set[str]) -> None:
        async with trio.open_nursery() as nursery:
            for target in self._directory.all_targets():
                if target.name in names:
                    nursery.start_soon(self._probe, target)

    async def _probe(self, target: Target) -> None:
        is_reachable = await can_connect(target, CONNECT_TIMEOUT_SECONDS)
        if not is_reachable:
            self._ejection.record_failure(
                target.name, trio.current_time(), is_unreachable=True
            )
        elif self._ejection.record_reachable(target.name):
            log_event('target.reached', target=target.name)
