"""Detection of targets that have requests but send no data.

Such a target stops getting new requests long before its connections time out.
It gets requests again as soon as a byte arrives on any of its connections.
"""

from collections.abc import Callable, Iterator

__all__ = ('SilenceDetector',)

# Time without data after which a target with requests counts as silent. It is
# longer than an engine takes to prefill the longest usual prompt.
SILENT_SECONDS = 0.7


class _PendingRequests:
    def __init__(self) -> None:
        self.count = 0
        self.silent_since = float(0)


class SilenceDetector:
    """The time of the last data from each target with requests, by name."""

    def __init__(self) -> None:
        self._targets: dict[str, _PendingRequests] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_request(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a target without requests gets one."""
        self._listeners.append(listener)

    def has_requests(self) -> bool:
        """Return whether any target has requests."""
        return bool(self._targets)

    def record_request(self, name: str, now: float) -> None:
        """Record a request sent to a target."""
        pending = self._targets.setdefault(name, _PendingRequests())
        if not pending.count:
            pending.silent_since = now
            for listener in self._listeners:
                listener()
        pending.count += 1

    def record_activity(self, name: str, now: float) -> None:
        """Record that data arrived from a target."""
        pending = self._targets.get(name)
        if pending is not None:
            pending.silent_since = now

    def record_end(self, name: str) -> None:
        """Record the end of a request, whatever its outcome."""
        pending = self._targets[name]
        pending.count -= 1
        if not pending.count:
            self._targets.pop(name)

    def quiet_targets(self, now: float, seconds: float) -> Iterator[str]:
        """Yield the targets that have requests and send nothing so long."""
        return (
            name
            for name, pending in self._targets.items()
            if now - pending.silent_since > seconds
        )

    def silent_targets(self, now: float) -> Iterator[str]:
        """Yield the targets that have requests but send no data."""
        return self.quiet_targets(now, SILENT_SECONDS)

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether a target has requests but sends no data."""
        pending = self._targets.get(name)
        return (
            pending is not None and now - pending.silent_since > SILENT_SECONDS
        )
