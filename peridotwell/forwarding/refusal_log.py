"""What the log tells of a refused request.

Readers may keep only the beginning of a line, so what decided comes first.
"""

from peridotwell.errors import (
    NotConfigured,
    RequestError,
    UnknownCredential,
    UnknownPath,
)

__all__ = ('refusal_log_fields',)


def refusal_log_fields(
    error: RequestError,
    knowledge: dict[str, object],
    *,
    after_seconds: float,
    has_begun: bool,
) -> dict[str, object]:
    """Return the log fields of a refusal, those first that explain it.

    `knowledge` holds the fields for what the router knows of the store: by it,
    paths and keys are known or not.
    """
    outcome: dict[str, object] = {
        'status': error.status,
        'after_seconds': round(after_seconds, 4),
        'retry_after': error.retry_after_seconds,
        'cut': has_begun,
    }
    reason = {'reason': str(error)}
    if isinstance(error, UnknownPath | UnknownCredential | NotConfigured):
        return knowledge | outcome | reason
    return outcome | knowledge | reason
