"""How a request on one target can fail, by what the target may have done."""

from peridotwell.errors import PeridotwellError

__all__ = (
    'AttemptError',
    'ConnectionFailed',
    'RefusedByTarget',
    'TargetReplaced',
    'ResponseLost',
    'ResponseTimeout',
    'ResponseTruncated',
    'ResponseMismatch',
)


class AttemptError(PeridotwellError):
    """A request on one target did not bring a whole answer.

    `may_have_run` is False only if the target certainly did not run it.
    """

    code = 'link_error'
    may_have_run = True


class ConnectionFailed(AttemptError):
    """No connection could be made, so the target saw nothing."""

    code = 'nothing_sent'
    may_have_run = False


class RefusedByTarget(AttemptError):
    """The target said that it will not run the request."""

    code = 'refused_by_target'
    may_have_run = False


class TargetReplaced(RefusedByTarget):
    """Another target answered at the address; the one meant is gone."""

    code = 'target_replaced'


class ResponseLost(AttemptError):
    """The connection broke before the answer began."""

    code = 'answer_lost'


class ResponseTimeout(AttemptError):
    """Nothing arrived in time on an open connection."""

    code = 'target_silent'


class ResponseTruncated(AttemptError):
    """The answer ended before it was whole."""

    code = 'answer_cut'


class ResponseMismatch(AttemptError):
    """The answer belongs to another request."""

    code = 'answer_crossed'
