"""What the log tells of the streams that callers take up again."""

from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.versions.stream_versions import Provenance
from peridotwell.policy.versions.version_belief import Basis

__all__ = ('log_taken_up',)


def log_taken_up(
    request: RoutedRequest,
    version: int | None,
    basis: Basis,
    evidence: Provenance | None,
    store_heard_seconds: float | None,
    now: float,
) -> None:
    """Log a stream that is taken up; `version` must serve, None: any may.

    `store_heard_seconds` is the time since the store last answered this
    router, None before. The line tells the same of the router that the
    evidence comes from.
    """
    stream = request.resumed_stream
    log = log_event if basis.goes_on else log_failure
    log(
        'stream.taken_up',
        request=request.request_id,
        stream=stream.first_request if stream else '',
        basis=basis.value,
        version=version,
        evidence=evidence.source if evidence else None,
        age_seconds=evidence.age_seconds(now) if evidence else None,
        source_heard_seconds=(
            evidence.source_heard_seconds(now) if evidence else None
        ),
        store_heard_seconds=store_heard_seconds,
        after=stream.last_event_id if stream else '',
        service=request.service,
    )
