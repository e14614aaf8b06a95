"""Slots that targets state in their reports, and reports of being full.

A target may have work that no router counts. One that reports that it is full
while the routers count fewer requests than it has slots is avoided for a while,
longer each time that it says so again.
"""

from collections.abc import Collection
from dataclasses import dataclass

from peridotwell.policy.load.target_load import LoadReport

__all__ = ('FullReports',)

MIN_HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 16.0


@dataclass(frozen=True)
class _Report:
    slots: int
    hold_seconds: float = 0
    held_until: float = 0


class FullReports:
    """What targets last reported, by name; times are in seconds."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target states its slots."""
        return not self._reports

    def record(
        self, name: str, load: LoadReport, slots: int, counted: int
    ) -> None:
        """Record a report of `slots`, 0 if it states none.

        `counted` are the requests on the target that routers know of.
        """
        if not slots:
            return
        if load.running + load.waiting < slots or counted >= slots:
            self._reports[name] = _Report(slots)
            return
        now = load.received_at
        known = self._reports.get(name, _Report(slots))
        if now < known.held_until:
            return
        seconds = min(
            max(known.hold_seconds * 2, MIN_HOLD_SECONDS), MAX_HOLD_SECONDS
        )
        self._reports[name] = _Report(slots, seconds, now + seconds)

    def slots(self, name: str) -> int:
        """Return the slots that a target states, 0 if it states none."""
        report = self._reports.get(name)
        return report.slots if report else 0

    def is_held(self, name: str, now: float) -> bool:
        """Return whether a target is avoided while others have room."""
        report = self._reports.get(name)
        return report is not None and now < report.held_until

    def keep_only(self, names: Collection[str]) -> None:
        """Forget all other targets."""
        for name in self._reports.keys() - names:
            self._reports.pop(name)
