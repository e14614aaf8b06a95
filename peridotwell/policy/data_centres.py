"""Data centres that are cut off, judged by connections to their targets.

When a data centre is cut off, its targets would otherwise fail a request each
before all are avoided. Two that cannot be reached speak for the others, until
any of them is heard.
"""

__all__ = ('DataCentreMonitor',)

# Targets that could not be reached, with nothing heard in between.
UNREACHABLE_TARGETS = 2
# A data centre that is cut off is tried again after this time.
AVOIDANCE_SECONDS = 1.0
# After a connection broke, kept ones may be broken too for this time.
RECENT_FAILURE_SECONDS = 3.0


class _State:
    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.broke_at = float('-inf')
        self.avoided_until = float('-inf')


class DataCentreMonitor:
    """What happened to connections, by data centre."""

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}

    def record_connection_failure(
        self,
        data_centre: str,
        target: str,
        now: float,
        *,
        is_unreachable: bool,
    ) -> bool:
        """Book a broken connection; True if its data centre is avoided now.

        `is_unreachable` tells that no connection could be made.
        """
        state = self._states.setdefault(data_centre, _State())
        state.broke_at = now
        if not is_unreachable:
            return False
        state.unreachable.add(target)
        if len(state.unreachable) < UNREACHABLE_TARGETS:
            return False
        was_avoided = state.avoided_until > now
        state.avoided_until = now + AVOIDANCE_SECONDS
        return not was_avoided

    def record_activity(self, data_centre: str) -> None:
        """Book that something came from a target there."""
        state = self._states.get(data_centre)
        if state is not None and state.unreachable:
            state.unreachable.clear()
            state.avoided_until = float('-inf')

    def is_cut_off(self, data_centre: str, now: float) -> bool:
        """Whether a data centre seems cut off."""
        state = self._states.get(data_centre)
        return state is not None and state.avoided_until > now

    def has_recent_failures(self, data_centre: str, now: float) -> bool:
        """Whether a connection to a target there has broken lately."""
        state = self._states.get(data_centre)
        return (
            state is not None and now - state.broke_at <= RECENT_FAILURE_SECONDS
        )
