"""Errors of one attempt to have a target execute a request."""

from peridotwell.errors import PeridotwellError

__all__ = (
    'AttemptError',
    'ConnectionFailed',
    'RouterUnable',
    'TargetLeft',
    'TargetDoubted',
    'RequestTakenBack',
    'RefusedByTarget',
    'TargetReplaced',
    'ResponseLost',
    'ResponseTimeout',
    'ResponseTruncated',
    'ResponseOverBudget',
    'ResponseMismatch',
    'ResponseUnusable',
)


class AttemptError(PeridotwellError):
    """An attempt on a target did not return a complete response.

    `may_have_run` is False only if the target certainly did not execute the
    request.
    """

    code = 'link_error'
    may_have_run = True


class ConnectionFailed(AttemptError):
    """No connection could be established, so nothing was sent."""

    code = 'nothing_sent'
    may_have_run = False


class RouterUnable(AttemptError):
    """The router that was asked reaches no target either; nothing was run."""

    code = 'router_unable'
    may_have_run = False


class TargetLeft(AttemptError):
    """The target left before the request was sent; nothing was sent."""

    code = 'target_left'
    may_have_run = False


class TargetDoubted(TargetLeft):
    """The target may have started again; nothing was sent.

    It may have another software version than its entry tells.
    """

    code = 'target_doubted'


class RequestTakenBack(TargetLeft):
    """The target left after the request was sent, and was silent since.

    The connection has been reset.
    """

    code = 'request_taken_back'
    may_have_run = True


class RefusedByTarget(AttemptError):
    """The target responded that it will not execute the request."""

    code = 'refused_by_target'
    may_have_run = False


class TargetReplaced(RefusedByTarget):
    """Another target now listens at the address of the intended one."""

    code = 'target_replaced'


class ResponseLost(AttemptError):
    """The connection broke before the response began."""

    code = 'answer_lost'


class ResponseTimeout(AttemptError):
    """No data arrived in time on an open connection."""

    code = 'target_silent'


class ResponseTruncated(AttemptError):
    """The response ended before it was complete."""

    code = 'answer_cut'


class ResponseOverBudget(ResponseTruncated):
    """The response was ended because the memory for responses was full."""

    code = 'answer_over_budget'


class ResponseMismatch(AttemptError):
    """The response belongs to another request."""

    code = 'answer_crossed'


class ResponseUnusable(AttemptError):
    """The response of the target must not be passed on to the caller."""

    code = 'answer_unusable'
