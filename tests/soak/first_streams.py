"""The first streams of a fleet that knows nothing yet of its targets.

Nothing tells an event that a target has left out from ids that jump, before
some streams have shown how ids go up. Routers tell each other of that, so that
the first streams are those of the whole fleet, not of a router that starts.
"""

from bisect import bisect, bisect_left
from collections import defaultdict
from collections.abc import Iterable

from tests.soak.events import numbered_events, numbers_missing
from tests.soak.records import Answered, Record, RouterStarted, select

__all__ = ('FirstStreams',)

STREAM_KINDS = ('-draft', '-ask')
# So many sound streams show how ids go up, and all routers have heard of it.
SOUND_STREAMS = 10
HEARD_SECONDS = 1.0


class FirstStreams:
    """Tells the first streams since no router runs that was there before."""

    def __init__(self, records: Iterable[Record]) -> None:
        records = tuple(records)
        self._starts: dict[str, list[float]] = defaultdict(list)
        for start in select(records, RouterStarted):
            self._starts[start.router].append(start.at)
        self._sound = sorted(
            answer.at
            for answer in select(records, Answered)
            if _is_sound(answer)
        )

    def has(self, answer: Answered) -> bool:
        """Whether a stream is one of the first ones."""
        oldest = min(
            (
                starts[bisect(starts, answer.at) - 1]
                for starts in self._starts.values()
                if starts[0] <= answer.at
            ),
            default=float('-inf'),
        )
        heard = bisect(self._sound, answer.at - HEARD_SECONDS)
        return heard - bisect_left(self._sound, oldest) < SOUND_STREAMS


def _is_sound(answer: Answered) -> bool:
    if not answer.request_id.endswith(STREAM_KINDS) or not answer.ended:
        return False
    numbers = [number for number, _ in numbered_events(answer.body)]
    missing = numbers_missing(numbers, answer.after, is_whole=True)
    return bool(answer.receipt) and not missing
