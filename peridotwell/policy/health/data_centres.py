"""Detection of unreachable data centres from connections to their targets.

If each target were judged alone, each target of an unreachable data centre
would fail a request before all of them are avoided. Instead, two unreachable
targets make the whole data centre count as unreachable for a short time, or
until data arrives from any of its targets.
"""

__all__ = ('DataCentreMonitor',)

# Number of unreachable targets, with no data from the data centre in between,
# that make the data centre count as unreachable.
UNREACHABLE_TARGETS = 2
# An unreachable data centre is tried again after this time.
AVOIDANCE_SECONDS = 1.0
# For this time after a connection failed, idle pooled connections to the same
# data centre may be broken too.
RECENT_FAILURE_SECONDS = 3.0


class _DataCentreState:
    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.failed_at = float('-inf')
        self.avoided_until = float('-inf')


class DataCentreMonitor:
    """Connection failures and activity, by data centre."""

    def __init__(self) -> None:
        self._states: dict[str, _DataCentreState] = {}

    def record_connection_failure(
        self,
        data_centre: str,
        target: str,
        now: float,
        *,
        is_unreachable: bool,
    ) -> bool:
        """Record a failed connection to a target.

        `is_unreachable` is true if no connection could be made. Returns
        whether the data centre is avoided from now on and was not before.
        """
        state = self._states.setdefault(data_centre, _DataCentreState())
        state.failed_at = now
        if not is_unreachable:
            return False
        state.unreachable.add(target)
        if len(state.unreachable) < UNREACHABLE_TARGETS:
            return False
        was_avoided = state.avoided_until > now
        state.avoided_until = now + AVOIDANCE_SECONDS
        return not was_avoided

    def record_activity(self, data_centre: str) -> None:
        """Record that data arrived from a target in a data centre."""
        state = self._states.get(data_centre)
        if state is not None and state.unreachable:
            state.unreachable.clear()
            state.avoided_until = float('-inf')

    def is_avoided(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre counts as unreachable."""
        return data_centre in self.avoided(now)

    def avoided(self, now: float) -> frozenset[str]:
        """Return the data centres that count as unreachable."""
        return frozenset(
            name
            for name, state in self._states.items()
            if state.avoided_until > now
        )

    def has_recent_failures(self, data_centre: str, now: float) -> bool:
        """Return whether a connection to the data centre failed recently."""
        state = self._states.get(data_centre)
        return (
            state is not None
            and now - state.failed_at <= RECENT_FAILURE_SECONDS
        )
