"""How much work a target holds, from its own reports and this router's.

A report tells the work of all routers but is old when it arrives; this
router's own count is exact but only its part. The estimate is the last report
corrected by what this router has sent and got back since.
"""

from dataclasses import dataclass

__all__ = ('LoadReport', 'TargetLoad')

# Older reports say less than the routers' own counts.
REPORT_FRESH_SECONDS = 0.5


@dataclass(frozen=True)
class LoadReport:
    """Work that a target reported `at` a time of the router's clock."""

    running: int
    waiting: int
    at: float


class TargetLoad:
    """The work of one target."""

    def __init__(self) -> None:
        self.own = 0
        self.report: LoadReport | None = None
        self._own_at_report = 0

    def record_start(self) -> None:
        """Count a request that this router sends."""
        self.own += 1

    def record_end(self) -> None:
        """Count the end of a request."""
        self.own -= 1

    def record_report(self, report: LoadReport) -> None:
        """Take over the target's own word."""
        self.report = report
        self._own_at_report = self.own

    def estimate(self, now: float, others: int) -> float:
        """Return the requests that the target holds from all routers.

        `others` is what the other routers say that they have outstanding.
        """
        counted = self.own + others
        report = self.report
        if report is None or now - report.at > REPORT_FRESH_SECONDS:
            return float(counted)
        since = self.own - self._own_at_report
        return float(max(counted, report.running + report.waiting + since))
