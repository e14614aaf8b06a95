"""Sending of one attempt to its target, as an HTTP request."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import trio

from peridotwell.forwarding.adapters import (
    HeaderFields,
    RoutedRequest,
    TargetRequest,
)
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.forwarding.sending.attempt_limits import (
    max_silence_seconds,
    response_timeouts,
    source_before_response,
)
from peridotwell.forwarding.sending.limited_responses import limit_silence
from peridotwell.forwarding.sending.send_check import SendCheck
from peridotwell.forwarding.sending.target_clients import TargetClients
from peridotwell.forwarding.targets.load_reports import LoadReports
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.serving.outstanding_requests import (
    OutstandingRequest,
    OutstandingRequests,
)
from peridotwell.serving.target_response import TargetResponse

__all__ = ('TargetSender',)

BODILESS_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE', 'TRACE'))


class TargetSender:
    """Sends requests to targets. The caller records the outcomes.

    The adapter of `reports` encodes the requests; `reports` records the loads
    in the responses.
    """

    def __init__(
        self,
        clients: TargetClients,
        tracker: TargetTracker,
        reports: LoadReports,
        outstanding: OutstandingRequests,
    ) -> None:
        self._clients = clients
        self._tracker = tracker
        self._reports = reports
        self._outstanding = outstanding

    @asynccontextmanager
    async def open(self, attempt: Attempt) -> AsyncIterator[TargetResponse]:
        """Send the request and yield the response. Raises AttemptError.

        Raises RequestTakenBack if the request is taken back before.
        """
        request = attempt.request
        with self._outstanding.track(
            attempt.target,
            request.request_id,
            _kind(request),
            attempt.number,
        ) as outstanding:
            async with self._open_tracked(attempt, outstanding) as response:
                yield response

    @asynccontextmanager
    async def _open_tracked(
        self, attempt: Attempt, outstanding: OutstandingRequest
    ) -> AsyncIterator[TargetResponse]:
        request = attempt.request
        target = attempt.target
        client = self._clients.client(target)
        if attempt.goes_on:
            await client.close_unusable()
            await self._clients.restarts.settle(target)
        now = trio.current_time()
        response_context = client.send(
            self._http_request(attempt, now),
            response_timeouts(attempt, now),
            new_connection=not self._tracker.may_reuse_connection(
                request, target, now
            ),
            require_request_id=True,
            before_send=SendCheck(
                self._tracker, self._clients.restarts, attempt, outstanding
            ),
        )
        async with limit_silence(
            self._tracker.silence_limits,
            attempt,
            outstanding.open(response_context),
            source_before_response(attempt),
            max_silence_seconds(request, now),
        ) as response:
            self._reports.record(target, response)
            yield response

    def _http_request(self, attempt: Attempt, now: float) -> httpcore.Request:
        """Return the request as this attempt sends it."""
        request = attempt.request
        host, _, port = attempt.target.address.rpartition(':')
        target_request = TargetRequest(
            request,
            attempt.target,
            now,
            attempt.resume_after,
            attempt.choice.fetch_from,
        )
        return httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b'http',
                host=host.encode(),
                port=int(port),
                target=request.target_path,
            ),
            headers=(
                *self._reports.adapter.request_fields(target_request),
                *_length_field(request),
            ),
            content=request.body,
        )


def _kind(request: RoutedRequest) -> str:
    """Return the kind of a request for the logs."""
    kind = request.route.kind.value
    return f'{kind}_resumable' if request.route.resumable else kind


def _length_field(request: RoutedRequest) -> HeaderFields:
    if not request.body and request.method in BODILESS_METHODS:
        return ()
    return ((b'content-length', str(len(request.body)).encode()),)
