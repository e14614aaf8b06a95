"""Records the loads that targets report in their responses."""

import trio

from peridotwell.domain.target import Target
from peridotwell.forwarding.adapters import TargetAdapter
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.serving.target_response import TargetResponse

__all__ = ('LoadReports',)

MAX_LOGGED_TARGETS = 4096


class LoadReports:
    """Passes on what can be read of load reports, and counts what cannot.

    `adapter` decodes the responses.
    """

    def __init__(
        self, adapter: TargetAdapter, tracker: TargetTracker, metrics: Metrics
    ) -> None:
        self.adapter = adapter
        self._tracker = tracker
        self._metrics = metrics
        # Names of the targets whose unreadable reports have been logged.
        self._logged: set[str] = set()

    def record(self, target: Target, response: TargetResponse) -> None:
        """Record the load that a response of a target reports, if any."""
        unread = self.adapter.unread_load(response)
        if unread:
            self._record_unread(target, unread)
        reported = self.adapter.reported_load(response)
        if reported is not None:
            now = trio.current_time()
            self._tracker.record_report(target, reported, now)

    def _record_unread(self, target: Target, report: str) -> None:
        self._metrics.count('load.unreadable')
        name = target.name
        if name in self._logged or len(self._logged) >= MAX_LOGGED_TARGETS:
            return
        self._logged.add(name)
        log_event('load.unreadable', target=name, report=report)
