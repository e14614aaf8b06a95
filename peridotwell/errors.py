"""Exceptions with stable error codes, whose messages say what to do."""

from enum import Enum

__all__ = (
    'RunState',
    'PeridotwellError',
    'SettingsError',
    'ListenError',
    'StoreError',
    'StoreUnavailable',
    'StoreResponseLost',
    'StoreConflict',
    'EntryError',
    'ChangeRefused',
    'RequestError',
    'BadRequest',
    'UnknownPath',
    'UnknownCredential',
    'NotConfigured',
    'RequestTooLarge',
    'RequestBodiesFull',
    'HeadersTooLarge',
    'IdempotencyKeyMissing',
    'IdempotencyKeyExpired',
    'IdempotencyKeyReused',
    'RequestInProgress',
    'OutcomeUnknown',
    'ClaimUnavailable',
    'NoTarget',
    'NoReachableTarget',
    'NoRoom',
    'Overloaded',
    'DeadlineExceeded',
    'RequestQuarantined',
    'ForwardedRequestQuarantined',
    'TargetFailed',
    'InstanceStopping',
)


class RunState(Enum):
    """Whether any target executed a request."""

    not_run = 'not_run'
    ran = 'ran'
    unknown = 'unknown'


class PeridotwellError(Exception):
    """Base class of all errors; `code` is stable across releases."""

    code = 'internal_error'


class SettingsError(PeridotwellError):
    """The settings file cannot be used."""

    code = 'settings_invalid'


class ListenError(PeridotwellError):
    """The daemon cannot listen on a configured address."""

    code = 'listen_failed'


class StoreError(PeridotwellError):
    """A call to the platform's key-value store failed."""

    code = 'store_error'


class StoreUnavailable(StoreError):
    """The store was unreachable or rejected the call, which had no effect."""

    code = 'store_unavailable'


class StoreResponseLost(StoreError):
    """No valid response arrived; the call may have taken effect."""

    code = 'store_answer_lost'


class StoreConflict(StoreError):
    """A compare-and-swap found another revision, or a lease has expired."""

    code = 'store_conflict'


class EntryError(StoreError):
    """An entry of the store cannot be decoded."""

    code = 'entry_invalid'


class ChangeRefused(PeridotwellError):
    """An operator's change was rejected and not stored."""

    code = 'change_refused'


class RequestError(PeridotwellError):
    """A caller's request failed and is answered with an error response.

    `status` is the HTTP status of the response, `run_state` says whether a
    target executed the request, and `retry_after_seconds` is how long the
    caller should wait before a retry (None: no Retry-After header).
    """

    code = 'call_failed'
    status = 500
    default_run_state = RunState.not_run

    def __init__(
        self,
        message: str,
        *,
        run_state: RunState | None = None,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(message)
        self.run_state = run_state or self.default_run_state
        self.retry_after_seconds = retry_after_seconds


class BadRequest(RequestError):
    """The request is malformed."""

    code = 'bad_request'
    status = 400


class UnknownPath(RequestError):
    """No service is configured for the path of the request."""

    code = 'unknown_path'
    status = 404


class UnknownCredential(RequestError):
    """The API key belongs to no customer."""

    code = 'unknown_credential'
    status = 401


class NotConfigured(RequestError):
    """The router has no configuration yet, or may lack the latest one."""

    code = 'not_configured'
    status = 503


class RequestTooLarge(RequestError):
    """The request body or a header exceeds its size limit."""

    code = 'too_large'
    status = 413


class RequestBodiesFull(RequestError):
    """The memory for the bodies of requests is full."""

    code = 'bodies_full'
    status = 503


class HeadersTooLarge(RequestError):
    """The header fields of the request exceed their total size limit."""

    code = 'headers_too_large'
    status = 431


class IdempotencyKeyMissing(RequestError):
    """A non-idempotent request has no idempotency key."""

    code = 'idempotency_key_missing'
    status = 400


class IdempotencyKeyExpired(RequestError):
    """The key's timestamp is outside the window in which claims are kept."""

    code = 'idempotency_key_expired'
    status = 400


class IdempotencyKeyReused(RequestError):
    """The idempotency key was already used for a different request."""

    code = 'idempotency_key_reused'
    status = 422


class RequestInProgress(RequestError):
    """An earlier request with the same key is still running."""

    code = 'in_progress'
    status = 409
    default_run_state = RunState.unknown


class OutcomeUnknown(RequestError):
    """The request may have been executed, so it is not retried."""

    code = 'outcome_unknown'
    status = 502
    default_run_state = RunState.unknown


class ClaimUnavailable(RequestError):
    """The claim could not be stored, so the request was not executed."""

    code = 'claim_unavailable'
    status = 503


class NoTarget(RequestError):
    """No live target can serve the request."""

    code = 'no_target'
    status = 503


class NoReachableTarget(NoTarget):
    """This router reaches no target that could serve the request.

    `may_try` tells that there are targets to which connections can be made,
    although they send nothing or several others cannot be reached.
    """

    code = 'no_path'

    def __init__(
        self,
        message: str,
        *,
        may_try: bool = False,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(message, retry_after_seconds=retry_after_seconds)
        self.may_try = may_try


class NoRoom(NoTarget):
    """No target has room for the request now.

    `room_seconds` is the time after which one is expected to have room again,
    by what it says itself; 0 if it says nothing.
    """

    code = 'no_room'

    def __init__(
        self,
        message: str,
        *,
        room_seconds: float = 0,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(message, retry_after_seconds=retry_after_seconds)
        self.room_seconds = room_seconds


class Overloaded(RequestError):
    """The customer's share or the pool's capacity is exhausted."""

    code = 'overloaded'
    status = 429


class DeadlineExceeded(RequestError):
    """The request's deadline has passed."""

    code = 'deadline_exceeded'
    status = 504


class RequestQuarantined(RequestError):
    """Several targets were lost while executing requests with this content."""

    code = 'quarantined'
    status = 422


class ForwardedRequestQuarantined(RequestQuarantined):
    """A forwarded request is quarantined; it may be retried later."""

    code = 'set_aside'
    status = 503


class TargetFailed(RequestError):
    """No target returned a complete response."""

    code = 'target_failed'
    status = 502
    default_run_state = RunState.unknown


class InstanceStopping(RequestError):
    """The instance is shutting down and accepts no new requests."""

    code = 'stopping'
    status = 503
