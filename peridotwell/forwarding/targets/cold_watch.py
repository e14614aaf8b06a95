"""Follows which targets are cold, from their entries and the configuration."""

import time

import trio

from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.logs import log_event, log_failure
from peridotwell.metrics import Metrics
from peridotwell.policy.limits.cold_targets import ColdTargets

__all__ = ('ColdWatch',)

MILLISECONDS_PER_SECOND = 1000
MAX_LOGGED_NAMES = 4096


class ColdWatch:
    """Tells the cold targets what the directory lists; logs what changes."""

    def __init__(
        self,
        directory: ServiceDirectory,
        cold: ColdTargets,
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._cold = cold
        self._metrics = metrics
        # Targets whose entries have fields that cannot be used.
        self._odd_names: set[str] = set()
        # By data centre: the end of its evacuation that was passed on last.
        self._restored_at: dict[str, float] = {}
        directory.on_change(self._update)

    def log_changes(self, now: float) -> None:
        """Log which targets have become cold or warm, and record counts."""
        self._cold.expire(now)
        for change in self._cold.take_changes(now):
            if change.seconds > 0:
                self._metrics.count('target.cold')
                log_event(
                    'target.cold',
                    target=change.target,
                    seconds=round(change.seconds, 3),
                )
            else:
                log_event('target.warm', target=change.target)
        self._metrics.record_total(
            'request.diverted_from_cold', self._cold.diverted
        )
        if self._cold.needs_routers:
            self._metrics.gauge('targets.cold', self._cold.count)

    def _update(self) -> None:
        directory = self._directory
        table = directory.table
        if table is None or not directory.is_loaded:
            return
        if not (
            self._cold.needs_routers
            or any(each.may_be_cold for each in table.services.values())
        ):
            return
        self._pass_on_restored()
        targets = directory.all_targets()
        self._cold.update(
            targets,
            table.services,
            trio.current_time(),
            time.time() * MILLISECONDS_PER_SECOND,
        )
        for target in targets:
            if target.odd_fields and target.name not in self._odd_names:
                self._record_odd(target.name, target.odd_fields)

    def _pass_on_restored(self) -> None:
        """Let targets count as cold after the evacuation of a data centre."""
        restored = self._directory.evacuations.restored
        for data_centre, restored_at in restored.items():
            if self._restored_at.get(data_centre) != restored_at:
                self._restored_at[data_centre] = restored_at
                self._cold.record_returned(data_centre, restored_at)

    def _record_odd(self, name: str, fields: tuple[str, ...]) -> None:
        self._metrics.count('target.odd_entry')
        if len(self._odd_names) < MAX_LOGGED_NAMES:
            self._odd_names.add(name)
            log_failure('target.odd_entry', target=name, fields=fields)
