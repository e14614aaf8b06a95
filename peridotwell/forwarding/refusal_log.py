"""What the log tells of a refused request.

Readers may keep only the beginning of a line, so what decided comes first.
"""

from peridotwell.errors import (
    NotConfigured,
    RequestError,
    UnknownCredential,
    UnknownPath,
)
from peridotwell.fleet.replica.recent_refusals import Refusal
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import CallerAdapter
from peridotwell.serving.asgi import HttpExchange

__all__ = ('record_refusal', 'refusal_log_fields')


def record_refusal(
    error: RequestError,
    exchange: HttpExchange,
    adapter: CallerAdapter,
    directory: ServiceDirectory,
    now: float,
) -> None:
    """Record the refusal of a path or a key that a newer table may allow."""
    if directory.table is None or not _is_by_configuration(error):
        return
    metadata = adapter.read(exchange)
    directory.refusals.record(
        Refusal(
            refused_at=now,
            request_id=metadata.request_id,
            host=exchange.headers.get('host', ''),
            path=exchange.raw_path.decode('latin-1'),
            api_key=metadata.api_key,
            version=directory.table.version,
            known_revision=directory.known_revision,
            knowledge_age=directory.belief.logged_age(now),
        )
    )


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
    if _is_by_configuration(error) or isinstance(error, NotConfigured):
        return knowledge | outcome | reason
    return outcome | knowledge | reason


def _is_by_configuration(error: RequestError) -> bool:
    return isinstance(error, UnknownPath | UnknownCredential)
