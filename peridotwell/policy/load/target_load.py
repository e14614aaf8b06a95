"""Estimate of a target's load from its reports and the routers' counts.

A report covers the requests of all routers but is old when it arrives. This
router's count is exact but covers only its own requests. The estimate is the
last report, corrected by the requests of this router that began or ended
since.
"""

from dataclasses import dataclass

__all__ = ('LoadReport', 'TargetLoad')

# Reports are ignored after this time, because they then say less than the
# routers' own counts.
REPORT_TTL_SECONDS = 0.5


@dataclass(frozen=True)
class LoadReport:
    """The requests that a target reported.

    `received_at` is a time of the router's clock in seconds.
    """

    running: int
    waiting: int
    received_at: float


class TargetLoad:
    """The load of one target, in requests."""

    def __init__(self) -> None:
        self.own_requests = 0
        self.report: LoadReport | None = None
        self._own_at_report = 0

    def record_start(self) -> None:
        """Record a request that this router sends."""
        self.own_requests += 1

    def record_end(self) -> None:
        """Record the end of a request."""
        self.own_requests -= 1

    def record_report(self, report: LoadReport) -> None:
        """Record a load report of the target."""
        self.report = report
        self._own_at_report = self.own_requests

    def estimate(self, now: float, other_requests: int) -> float:
        """Return the estimated number of requests from all routers.

        It is the larger of the routers' counts and the corrected report.
        `other_requests` is the sum of the other routers' outstanding requests.
        """
        counted = self.own_requests + other_requests
        report = self.report
        if report is None or now - report.received_at > REPORT_TTL_SECONDS:
            return float(counted)
        change_since_report = self.own_requests - self._own_at_report
        return float(
            max(counted, report.running + report.waiting + change_since_report)
        )
