"""Whether the ids of the events of a service go up by one from 1.

Ids need only increase: they may count tokens, of which an event has several.
Where those of nearly all streams go up by one, a step over an id is an event
that a faulty target has left out.
"""

from dataclasses import dataclass, field

__all__ = ('EventSteps',)

# Share of a stream in the mean of its service.
WEIGHT = 0.02
# A faulty target leaves out events of few of its streams.
USUAL_SHARE = 0.95
# Streams of a service that are seen before anything is concluded from them.
MIN_STREAMS = 10
# Targets of a service that are counted apart, for the log.
MAX_TARGETS = 16


@dataclass
class _Service:
    streams: int = 0
    share: float = 1.0
    # By target: its streams that go up by one, and those with a step.
    targets: dict[str, tuple[int, int]] = field(default_factory=dict)

    def count(self, target: str, *, is_by_one: bool) -> None:
        if target not in self.targets and len(self.targets) >= MAX_TARGETS:
            return
        by_one, with_step = self.targets.get(target, (0, 0))
        self.targets[target] = (by_one + is_by_one, with_step + (not is_by_one))


class EventSteps:
    """The share of streams whose ids go up by one, for each service."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record(
        self, service: str, *, is_by_one: bool, target: str = ''
    ) -> None:
        """Record a stream, complete or with a step over an id."""
        known = self._services.setdefault(service, _Service())
        known.count(target, is_by_one=is_by_one)
        known.streams += 1
        known.share += (is_by_one - known.share) * WEIGHT

    def are_by_one(self, service: str) -> bool:
        """Return whether the ids of nearly all streams go up by one."""
        known = self._services.get(service)
        if known is None or known.streams < MIN_STREAMS:
            return False
        return known.share > USUAL_SHARE

    def evidence(self, service: str) -> dict[str, object]:
        """Return the log fields for what is known of a service.

        For each target the streams that go up by one and those with a step.
        """
        known = self._services.get(service, _Service())
        targets = sorted(known.targets.items())
        counts = ' '.join(
            f'{name}:{by_one}/{with_step}'
            for name, (by_one, with_step) in targets
        )
        return {
            'streams': known.streams,
            'share': round(known.share, 3),
            'by_target': counts,
        }
