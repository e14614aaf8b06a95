"""The background tasks of a forwarding router.

An unexpected error ends one run of a task and is logged. It never ends the
process.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from peridotwell.errors import StoreError, StoreResponseLost
from peridotwell.fleet.replica.version_record import VERSIONS_KEY
from peridotwell.forwarding.assembly import RouterComponents
from peridotwell.logs import log_failure

__all__ = ('ForwardingBackgroundTasks',)

Task = Callable[[], Awaitable[None]]

CLEANUP_SECONDS = 0.6
# Longest and shortest time between two updates to the peers. An update is sent
# early if there are changes to send.
UPDATE_SECONDS = 0.1
MIN_UPDATE_SECONDS = 0.03
RENEWALS_PER_LEASE = 3
RECORD_SECONDS = 0.6
PAUSE_AFTER_FAILURE_SECONDS = 0.2


@dataclass(frozen=True)
class ForwardingBackgroundTasks:
    """Starts and runs the background tasks of one router."""

    components: RouterComponents
    lease_seconds: float

    def start(self, nursery: trio.Nursery) -> None:
        """Start every task."""
        components = self.components
        nursery.start_soon(self._run_once, components.recovery.run)
        for period, task in (
            (0, components.follower.run),
            (0, components.store_check.run),
            (0, components.continuity_check.run),
            (0, components.evacuation_check.run),
            (0, components.forwarding.table_check.run),
            (0, components.forwarding.crash_tracker.run),
            (0, components.forwarding.silence_limits.run),
            (0, components.forwarding.prober.run),
            (0, components.forwarding.request_recall.run),
            (0, components.forwarding.waiting_room.run),
            (0, components.clients.witness_keeper.run),
            (0, self._receive),
            (0, self._update),
            (CLEANUP_SECONDS, self._remove_gone),
            (self.lease_seconds / RENEWALS_PER_LEASE, self._register),
            (RECORD_SECONDS, self._record_versions),
        ):
            nursery.start_soon(self._repeat, period, task)

    async def _repeat(self, period_seconds: float, task: Task) -> None:
        while True:
            await self._run_once(task)
            await trio.sleep(period_seconds)

    async def _run_once(self, task: Task) -> None:
        try:
            await task()
        except Exception as exc:
            self.components.metrics.count('task.failed')
            log_failure('task.failed', task=repr(task), error=repr(exc))
            await trio.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    async def _receive(self) -> None:
        async for frame in self.components.transport.received_frames():
            now = trio.current_time()
            self.components.update_exchange.receive(frame, now)

    async def _update(self) -> None:
        update_exchange = self.components.update_exchange
        while True:
            await self._wait_for_tick(trio.current_time())
            update_exchange.tick(trio.current_time())

    async def _wait_for_tick(self, last_at: float) -> None:
        """Wait until the next update may be due.

        Without updates the event loop wakes up once for that.
        """
        has_updates = self.components.update_exchange.has_updates
        soonest_at = last_at + MIN_UPDATE_SECONDS
        if not has_updates.is_set():
            due_at = last_at + UPDATE_SECONDS
            with trio.move_on_at(due_at) as waiting:
                await has_updates.wait()
            if waiting.cancelled_caught:
                self._record_loop_delay(due_at)
                return
            if trio.current_time() >= soonest_at:
                return
        await trio.sleep_until(soonest_at)
        self._record_loop_delay(soonest_at)

    def _record_loop_delay(self, due_at: float) -> None:
        monitor = self.components.update_exchange.delay_monitor
        monitor.record_loop_delay(trio.current_time() - due_at)

    async def _register(self) -> None:
        """Keep this router's entry in the store.

        If a call gets no answer, its connection may have gone silent alone, or
        the store may have returned: another call tells at once. If it is
        answered, the watch may have gone silent as well.
        """
        try:
            await self._renew()
        except StoreResponseLost:
            with suppress(StoreError):
                await self._renew()
                self.components.follower.restart_watch()
        except StoreError:
            return

    async def _renew(self) -> None:
        contact = self.components.directory.store_contact
        try:
            await self.components.registration.renew()
        except StoreError as exc:
            self.components.metrics.count('store.errors')
            contact.record_failure()
            log_failure('registration.failed', code=exc.code, error=str(exc))
            raise
        contact.record_call(trio.current_time())

    async def _record_versions(self) -> None:
        """Keep the record of the software versions of resumable streams."""
        directory = self.components.directory
        record = self.components.version_record
        now = trio.current_time()
        if directory.table is None or not record.is_due(now):
            return
        services = directory.table.resumable_services
        affinity = self.components.forwarding.stream_affinity
        try:
            await record.update(
                await affinity.confirm(services),
                directory.replica.entry(VERSIONS_KEY),
                directory.known_revision,
                now,
            )
        except StoreError as exc:
            self.components.metrics.count('store.errors')
            log_failure('versions.not_recorded', code=exc.code, error=str(exc))

    def _record_versions_seen(self) -> None:
        metrics = self.components.metrics
        in_force = self.components.directory.table_in_force
        metrics.record_total('table.not_taken', in_force.not_taken.count)
        metrics.gauge('table.behind', in_force.behind())

    def _record_evacuations(self) -> None:
        metrics = self.components.metrics
        evacuations = self.components.directory.evacuations
        metrics.record_total('attempt.diverted', evacuations.diverted)
        metrics.gauge('data_centres.evacuated', len(evacuations.data_centres))

    async def _remove_gone(self) -> None:
        now = trio.current_time()
        directory = self.components.directory
        directory.remove_expired(now)
        self.components.metrics.record_total(
            'entries.invalid',
            directory.invalid_entries
            + directory.table_in_force.invalid_entries,
        )
        self._record_versions_seen()
        self._record_evacuations()
        update_exchange = self.components.update_exchange
        update_exchange.discovery.remove_gone(directory.routers(), now)
        state = update_exchange.state
        for soft_state in (
            state.crash_blame,
            state.crashed_requests,
            state.target_limits,
            state.brittle_targets,
            state.target_notices,
            state.event_steps,
            state.target_paces,
        ):
            soft_state.expire(now)
        self.components.forwarding.crash_tracker.log_changes()
        self.components.cold_watch.log_changes(now)
        await self.components.clients.close_gone()
        await self.components.forwarding.handover_client.close_gone()
