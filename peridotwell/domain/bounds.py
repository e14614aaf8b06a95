"""The promises that a deployment makes, as figures."""

from dataclasses import dataclass

__all__ = ('DeploymentBounds',)


@dataclass(frozen=True)
class DeploymentBounds:
    """Bounds of one deployment; times are seconds.

    `grace_seconds` is the time from the stop signal to the kill. In each
    `retry_window_seconds`, a service gets at most `retry_ratio` second sends
    for each request, plus `retry_slack`, over all routers. No engine holds
    more than `load_factor` times the mean of its service, plus a few.
    """

    grace_seconds: float = 8
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10
    retry_slack: float = 50
    load_factor: float = 2
    lease_seconds: float = 4
