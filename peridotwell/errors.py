"""Typed errors with stable codes, whose messages name the remedy."""

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
    'HeadersTooLarge',
    'IdempotencyKeyMissing',
    'IdempotencyKeyExpired',
    'IdempotencyKeyReused',
    'RequestInProgress',
    'OutcomeUnknown',
    'ClaimUnavailable',
    'NoTarget',
    'Overloaded',
    'DeadlineExceeded',
    'RequestQuarantined',
    'ForwardedRequestQuarantined',
    'TargetFailed',
    'InstanceStopping',
)


class RunState(Enum):
    """Whether any target executed a call."""

    not_run = 'not_run'
    ran = 'ran'
    unknown = 'unknown'


class PeridotwellError(Exception):
    """Base of all errors; `code` is stable across releases."""

    code = 'internal_error'


class SettingsError(PeridotwellError):
    """The settings file cannot be used."""

    code = 'settings_invalid'


class ListenError(PeridotwellError):
    """An address to listen on cannot be used."""

    code = 'listen_failed'


class StoreError(PeridotwellError):
    """A call to the platform's key-value service did not succeed."""

    code = 'store_error'


class StoreUnavailable(StoreError):
    """The service refused the call or could not be reached; not applied."""

    code = 'store_unavailable'


class StoreResponseLost(StoreError):
    """The answer did not arrive; the call may have been applied."""

    code = 'store_answer_lost'


class StoreConflict(StoreError):
    """The compare-and-swap lost against another write."""

    code = 'store_conflict'


class EntryError(StoreError):
    """An entry of the store cannot be read."""

    code = 'entry_invalid'


class ChangeRefused(PeridotwellError):
    """An operator's change was refused and not written."""

    code = 'change_refused'


class RequestError(PeridotwellError):
    """A caller's request ends with an explicit failure.

    `status` is the HTTP status, `run_state` tells whether a target ran the
    request, `retry_after_seconds` is the wait in seconds before a retry helps.
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
    """The request itself is malformed."""

    code = 'bad_request'
    status = 400


class UnknownPath(RequestError):
    """No service is configured for the path."""

    code = 'unknown_path'
    status = 404


class UnknownCredential(RequestError):
    """No customer holds the API key."""

    code = 'unknown_credential'
    status = 401


class NotConfigured(RequestError):
    """The router knows no configuration yet."""

    code = 'not_configured'
    status = 503


class RequestTooLarge(RequestError):
    """The request body or a header is over its limit."""

    code = 'too_large'
    status = 413


class HeadersTooLarge(RequestError):
    """The request's header fields are over their limit."""

    code = 'headers_too_large'
    status = 431


class IdempotencyKeyMissing(RequestError):
    """A non-idempotent request came without an idempotency key."""

    code = 'idempotency_key_missing'
    status = 400


class IdempotencyKeyExpired(RequestError):
    """The key's own time lies outside the window in which it is kept."""

    code = 'idempotency_key_expired'
    status = 400


class IdempotencyKeyReused(RequestError):
    """The key was used before with another request."""

    code = 'idempotency_key_reused'
    status = 422


class RequestInProgress(RequestError):
    """An earlier request with this key is still running."""

    code = 'in_progress'
    status = 409
    default_run_state = RunState.unknown


class OutcomeUnknown(RequestError):
    """The request may have run; it will not be run again."""

    code = 'outcome_unknown'
    status = 502
    default_run_state = RunState.unknown


class ClaimUnavailable(RequestError):
    """The claim could not be made, so the request was not run."""

    code = 'claim_unavailable'
    status = 503


class NoTarget(RequestError):
    """No live target can serve the request."""

    code = 'no_target'
    status = 503


class Overloaded(RequestError):
    """The customer's share or the pool is used up."""

    code = 'overloaded'
    status = 429


class DeadlineExceeded(RequestError):
    """The request's deadline has passed."""

    code = 'deadline_exceeded'
    status = 504


class RequestQuarantined(RequestError):
    """The request's content has lost several targets that ran it."""

    code = 'quarantined'
    status = 422


class ForwardedRequestQuarantined(RequestQuarantined):
    """The same, for a forwarded request; it may be sent again later."""

    code = 'set_aside'
    status = 503


class TargetFailed(RequestError):
    """Targets failed to give a whole answer."""

    code = 'target_failed'
    status = 502
    default_run_state = RunState.unknown


class InstanceStopping(RequestError):
    """The instance is stopping and takes no new requests."""

    code = 'stopping'
    status = 503
