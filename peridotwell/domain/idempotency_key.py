"""Idempotency keys and their embedded timestamps.

Callers identify a request that must not run twice by the Idempotency-Key header
(IETF draft "The Idempotency-Key HTTP Header Field").
"""

import uuid
from datetime import UTC, datetime

from peridotwell.errors import BadRequest, IdempotencyKeyExpired

__all__ = ('check_idempotency_key', 'key_timestamp')

MAX_CLOCK_SKEW_SECONDS = 300
UUID_VERSION_WITH_TIME = 7
UUID_TIME_SHIFT = 80
MILLISECONDS_PER_SECOND = 1000
DATE_PREFIX_LENGTH = 16
MAX_KEY_LENGTH = 200


def key_timestamp(key: str) -> float | None:
    """Return the time in a key, in seconds since the epoch, or None.

    UUIDs of version 7 (RFC 9562) contain a time, and so do keys that start
    with a UTC time such as 20261203T203335Z.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return _prefix_timestamp(key)
    if parsed.version == UUID_VERSION_WITH_TIME:
        return (parsed.int >> UUID_TIME_SHIFT) / MILLISECONDS_PER_SECOND
    return None


def check_idempotency_key(
    key: str, window_seconds: float, wall_time: float
) -> None:
    """Reject a key that is too long, too old or dated in the future.

    A key is too old if its time is more than `window_seconds` ago: its claim
    may have expired. Only the length of a key without a time is checked.
    `wall_time` is the current time in seconds since the epoch. Raises
    BadRequest and IdempotencyKeyExpired.
    """
    if len(key) > MAX_KEY_LENGTH:
        raise BadRequest(
            'The idempotency key is too long: use at most '
            f'{MAX_KEY_LENGTH} characters.'
        )
    created_at = key_timestamp(key)
    if created_at is None:
        return
    if created_at < wall_time - window_seconds:
        raise IdempotencyKeyExpired(
            'The idempotency key is older than the time for which keys are '
            'stored: check whether the request took effect, then send it with '
            'a new key if it did not.',
        )
    if created_at > wall_time + MAX_CLOCK_SKEW_SECONDS:
        raise IdempotencyKeyExpired(
            'The time in the idempotency key is in the future: correct the '
            'clock and create a new key.',
        )


def _prefix_timestamp(key: str) -> float | None:
    try:
        parsed = datetime.strptime(key[:DATE_PREFIX_LENGTH], '%Y%m%dT%H%M%SZ')
    except ValueError:
        return None
    return parsed.replace(tzinfo=UTC).timestamp()
