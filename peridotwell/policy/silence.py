"""Targets that have gone silent.

A target that has work and sends no byte, on any connection, gets no new work
long before its connections time out; the first byte ends that.
"""

__all__ = ('SilenceDetector',)

# Longer than an engine reads the longest usual prompt.
SILENT_SECONDS = 0.7


class _Expectation:
    def __init__(self) -> None:
        self.outstanding = 0
        self.since = float(0)


class SilenceDetector:
    """When each target with work was heard last, by name."""

    def __init__(self) -> None:
        self._targets: dict[str, _Expectation] = {}

    def record_request(self, name: str, now: float) -> None:
        """Count a request that the target is to answer."""
        expected = self._targets.setdefault(name, _Expectation())
        if not expected.outstanding:
            expected.since = now
        expected.outstanding += 1

    def record_activity(self, name: str, now: float) -> None:
        """Book that something arrived from the target."""
        expected = self._targets.get(name)
        if expected is not None:
            expected.since = now

    def record_end(self, name: str) -> None:
        """Count the end of a request, whatever its outcome."""
        expected = self._targets[name]
        expected.outstanding -= 1
        if not expected.outstanding:
            self._targets.pop(name)

    def is_silent(self, name: str, now: float) -> bool:
        """Whether the target has work but has not been heard for too long."""
        expected = self._targets.get(name)
        return expected is not None and now - expected.since > SILENT_SECONDS
