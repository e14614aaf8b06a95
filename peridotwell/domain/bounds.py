"""The limits that a deployment guarantees to its callers."""

from dataclasses import dataclass

__all__ = ('DeploymentBounds',)


@dataclass(frozen=True)
class DeploymentBounds:
    """The limits of one deployment; times are in seconds.

    `grace_seconds` is the time from the stop signal to the kill signal. In each
    `retry_window_seconds`, all routers together send a service at most
    `retry_ratio` retries for each request, plus `retry_slack`. The load of an
    engine is at most `load_factor` times the mean load of its service, plus
    a small constant. In any second, all routers together send a cold target at
    most `cold_overage` times the rate that its service states, plus
    `cold_slack` requests. Targets of an evacuated data centre get no request
    later than `evacuate_seconds` after the order; 0 is no such promise. A
    router's registration in the store expires `lease_seconds` after its last
    renewal.
    """

    grace_seconds: float = 8
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10
    retry_slack: float = 50
    load_factor: float = 2
    cold_overage: float = 1.5
    cold_slack: float = 5
    evacuate_seconds: float = 0
    lease_seconds: float = 4
