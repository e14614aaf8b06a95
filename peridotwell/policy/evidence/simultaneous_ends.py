"""How many responses show that their target's process has ended.

Responses that began at different times and have all ended in one moment show
that. Short ones that also began together may take equally long, or end at any
time within that moment.
"""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from peridotwell.policy.evidence.process_evidence import ResponseTimes

__all__ = ('TellingEnds', 'count_burst', 'count_telling_ends')

# Younger responses may end together since they began together.
LONG_RESPONSE_SECONDS = 0.2
# Fewer responses may end in the same moment by chance.
MIN_ENDED_TOGETHER = 4
# The last responses of a batch, of which others have ended one by one, come
# together more often if young ones count too.
EARLIER_WEIGHT = 2


# Heads that come within such a time of each other belong to one group.
STEP_SECONDS = 0.1


@dataclass(frozen=True)
class TellingEnds:
    """Numbers of responses that chance would not let end together."""

    long: int = 0
    young: int = 0

    def show_end(self, earlier: int) -> bool:
        """Return whether they show that the process has ended.

        `earlier` is the number of ends shortly before.
        """
        if self.long >= max(MIN_ENDED_TOGETHER, earlier):
            return True
        needed = max(MIN_ENDED_TOGETHER, EARLIER_WEIGHT * earlier)
        return self.long + self.young >= needed


def count_telling_ends(
    starts: Iterable[float], ended_at: float, moment_seconds: float
) -> TellingEnds:
    """Return how many responses ended together that chance would not.

    `starts` are the times of their requests, `ended_at` is the beginning of the
    moment in which all have ended, `moment_seconds` its length. Each long
    response counts, and young ones once for each moment in which some began.
    """
    long = 0
    young = 0
    counted_at = -math.inf
    for started_at in sorted(starts):
        age = ended_at - started_at
        if age >= LONG_RESPONSE_SECONDS:
            long += 1
        elif min(age, started_at - counted_at) >= moment_seconds:
            young += 1
            counted_at = started_at
    return TellingEnds(long, young)


def count_burst(
    responses: Iterable[ResponseTimes], ended_at: float, moment_seconds: float
) -> TellingEnds:
    """Return how many responses ended together though they run on their own.

    A target that was silent begins all that have waited at once, and they run
    in step: one of them counts.
    """
    starts = (start for group in _groups(responses) for start in _starts(group))
    return count_telling_ends(starts, ended_at, moment_seconds)


def _groups(
    responses: Iterable[ResponseTimes],
) -> Iterator[Sequence[ResponseTimes]]:
    """Yield the responses whose heads came one shortly after the other."""
    group: list[ResponseTimes] = []
    for response in sorted(responses, key=lambda each: each.seen_at):
        if group and response.seen_at - group[-1].seen_at > STEP_SECONDS:
            yield group
            group = []
        group.append(response)
    yield group


def _starts(group: Sequence[ResponseTimes]) -> Sequence[float]:
    """Return when the responses of a group began that run on their own."""
    if any(response.has_waited for response in group):
        return (group[0].seen_at,)
    return tuple(response.sent_at for response in group)
