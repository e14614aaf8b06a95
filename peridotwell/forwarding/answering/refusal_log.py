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
from peridotwell.serving.http_exchange import HttpExchange

__all__ = ('drop_log_fields', 'record_refusal', 'refusal_log_fields')

# By these, readers tell whether a newer version was told but not taken.
VERSION_FIELDS = ('seen', 'table')


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


def drop_log_fields(
    error: RequestError,
    exchange: HttpExchange,
    adapter: CallerAdapter,
    directory: ServiceDirectory,
    now: float,
) -> dict[str, object]:
    """Return the log fields on the version that dropped a path or a key.

    There are none if no known version ever had it.
    """
    dropped = directory.table_in_force.dropped
    drop = None
    if isinstance(error, UnknownPath):
        drop = dropped.find_path(
            exchange.headers.get('host', ''),
            exchange.raw_path.decode('latin-1'),
        )
    elif isinstance(error, UnknownCredential):
        drop = dropped.find_key(adapter.read(exchange).api_key)
    return drop.log_fields(now) if drop else {}


def refusal_log_fields(
    error: RequestError,
    knowledge: dict[str, object],
    *,
    dropped: dict[str, object] | None = None,
    after_seconds: float,
    has_begun: bool,
) -> dict[str, object]:
    """Return the log fields of a refusal, those first that explain it.

    `knowledge` holds the fields for what the router knows of the store: by it,
    paths and keys are known or not. `dropped` holds those on the version that
    dropped the path or the key.
    """
    versions = {
        name: knowledge[name] for name in VERSION_FIELDS if name in knowledge
    }
    outcome: dict[str, object] = {
        'status': error.status,
        'after_seconds': round(after_seconds, 4),
        'retry_after': error.retry_after_seconds,
        'cut': has_begun,
    }
    reason = {'reason': str(error)}
    if _is_by_configuration(error) or isinstance(error, NotConfigured):
        return versions | (dropped or {}) | knowledge | outcome | reason
    return outcome | knowledge | reason


def _is_by_configuration(error: RequestError) -> bool:
    return isinstance(error, UnknownPath | UnknownCredential)
