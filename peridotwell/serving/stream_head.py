"""Whether the response of a further target goes on with a begun stream.

A stream that breaks off is resumed at another target. What that target answers
is the rest of the stream only if it is a response of the same kind. Anything
else is an error or a document, which must not reach the caller as events, nor
end the stream as if it were complete.
"""

from dataclasses import dataclass

from peridotwell.attempt_errors import ResponseUnusable
from peridotwell.serving.target_response import TargetResponse

__all__ = ('StreamHead',)


@dataclass(frozen=True)
class StreamHead:
    """The status and the media type that a caller has received."""

    status: int
    media_type: str

    @classmethod
    def of(cls, response: TargetResponse) -> 'StreamHead':
        """Return the head of a response."""
        content_type = response.headers.get('content-type', '')
        media_type = content_type.partition(';')[0].strip().lower()
        return cls(response.status, media_type)

    def check_continuation(self, response: TargetResponse) -> None:
        """Raise ResponseUnusable unless a response goes on with the stream."""
        head = StreamHead.of(response)
        if head != self:
            raise ResponseUnusable(
                f'Status {head.status} with {head.media_type or "no type"} '
                'instead of the rest of a stream.'
            )
