"""What the log tells of the end of a stream, and of the order of its events."""

from dataclasses import dataclass
from enum import Enum

from peridotwell.forwarding.streams.event_order import EventOrder
from peridotwell.logs import log_failure
from peridotwell.policy.evidence.end_verdict import EndVerdict
from peridotwell.serving.target_response import BodyEnd

__all__ = ('CUT', 'RestAsked', 'StreamEnd', 'log_unusual_end')

# In place of a mark: the body, or what the caller got of it, was not complete.
CUT = 'cut'
SOUND_ENDS = frozenset((BodyEnd.chunks.value, BodyEnd.length.value))


class RestAsked(Enum):
    """Whether the rest behind an end without a mark was asked for.

    And why it was not, or what came of it.
    """

    no_doubt = ''
    not_resumable = 'not_resumable'
    marks_unusual = 'marks_unusual'
    handed_over = 'handed_over'
    no_ids = 'no_ids'
    no_attempts = 'no_attempts'
    no_answer = 'no_answer'
    no_rest = 'no_rest'
    came = 'came'


@dataclass(frozen=True)
class StreamEnd:
    """How a stream ended.

    `target_end` and `passed_end` are what marked its end, as the target sent it
    and as the caller got it. `parts` is the number of targets that sent events,
    `rest` what came of the doubt about an end without a mark, `verdict` how one
    was judged that nobody checked.
    """

    target_end: str
    passed_end: str
    order: EventOrder
    parts: int
    is_handed_over: bool
    rest: RestAsked = RestAsked.no_doubt
    verdict: EndVerdict | None = None

    @property
    def is_usual(self) -> bool:
        """Whether nothing about the stream needs a line of its own."""
        return (
            {self.target_end, self.passed_end} <= SOUND_ENDS
            and self.parts <= 1
            and self.order.is_kept
        )

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log, the most important ones first."""
        return {
            'end': self.target_end,
            'passed_end': self.passed_end,
            'first': self.order.first_id,
            'last': self.order.last_id,
            'events': self.order.events,
            'missing': self.order.missing,
            'repeated': self.order.repeated,
            'parts': self.parts,
            'handed_over': self.is_handed_over,
            'rest': self.rest.value,
            'verdict': self.verdict.value if self.verdict else '',
        }


def log_unusual_end(request_id: str, end: StreamEnd) -> None:
    """Log the end of a stream that began, unless nothing is unusual."""
    if end.parts and not end.is_usual:
        log_failure('stream.ended', request=request_id, **end.log_fields())
