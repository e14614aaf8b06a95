"""How much work a target holds, from its own reports and this router's.

A report tells the work of all routers but is old when it arrives; this
router's own count is exact but only its part. The estimate is the last report
corrected by what this router has sent and got back since.
"""

from dataclasses import dataclass

__all__ = ('LoadReport', 'TargetLoad')

REPORT_FRESH_SECONDS = 3.0


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

    def began(self) -> None:
        """Count a request that this router sends."""
        self.own += 1

    def ended(self) -> None:
        """Count the end of a request."""
        self.own -= 1

    def reported(self, report: LoadReport) -> None:
        """Take over the target's own word."""
        self.report = report
        self._own_at_report = self.own

    def estimate(self, now: float, routers: int) -> float:
        """Return the requests that the target holds from all routers."""
        report = self.report
        if report is None or now - report.at > REPORT_FRESH_SECONDS:
            return float(self.own * routers)
        since = self.own - self._own_at_report
        total = report.running + report.waiting + since
        return float(max(self.own, total))
