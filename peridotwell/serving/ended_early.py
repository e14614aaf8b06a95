"""The error of a response that its target ends early, in the ordinary way."""

from peridotwell.attempt_errors import ResponseTruncated

__all__ = ('ResponseEndedEarly',)


class ResponseEndedEarly(ResponseTruncated):
    """The target closed the connection amid the response."""
