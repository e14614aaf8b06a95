"""The tasks that keep a forwarding router's knowledge fresh.

A failure that nobody foresaw ends one turn of a task, with a log line, and
never the process.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from peridotwell.errors import StoreError
from peridotwell.forwarding.assembly import RouterComponents
from peridotwell.logs import log_failure

__all__ = ('ForwardingBackgroundTasks',)

Step = Callable[[], Awaitable[None]]

SETTLE_SECONDS = 0.5
# News hurries, the rest is looked at this often.
UPDATE_SECONDS = 0.1
LEAST_UPDATE_SECONDS = 0.03
LEASE_RENEWALS = 3
PAUSE_AFTER_FAILURE_SECONDS = 0.2


@dataclass(frozen=True)
class ForwardingBackgroundTasks:
    """The background tasks of one router."""

    parts: RouterComponents
    lease_seconds: float

    def start(self, nursery: trio.Nursery) -> None:
        """Start every task."""
        parts = self.parts
        nursery.start_soon(self._once, parts.recovery.run)
        for period, step in (
            (0, parts.follower.run),
            (0, parts.forwarding.suspects.run),
            (0, self._receive),
            (0, self._update),
            (SETTLE_SECONDS, self._settle),
            (self.lease_seconds / LEASE_RENEWALS, self._register),
        ):
            nursery.start_soon(self._repeat, period, step)

    async def _repeat(self, period_seconds: float, step: Step) -> None:
        while True:
            await self._once(step)
            await trio.sleep(period_seconds)

    async def _once(self, step: Step) -> None:
        try:
            await step()
        except Exception as exc:
            self.parts.metrics.count('task.failed')
            log_failure('task.failed', task=repr(step), error=repr(exc))
            await trio.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    async def _receive(self) -> None:
        async for content in self.parts.bus.received_frames():
            now = trio.current_time()
            self.parts.sharing.receive(content, now, time.time())

    async def _update(self) -> None:
        sharing = self.parts.sharing
        await trio.sleep(LEAST_UPDATE_SECONDS)
        with trio.move_on_after(UPDATE_SECONDS - LEAST_UPDATE_SECONDS):
            await sharing.has_updates.wait()
        sharing.tick(trio.current_time())

    async def _register(self) -> None:
        try:
            await self.parts.registration.renew()
        except StoreError as exc:
            self.parts.metrics.count('store.errors')
            log_failure('registration.failed', code=exc.code, error=str(exc))

    async def _settle(self) -> None:
        now = trio.current_time()
        directory = self.parts.directory
        directory.remove_expired(now)
        discovery = self.parts.sharing.discovery
        discovery.forget_gone(directory.routers(), now)
        await self.parts.links.close_gone()
