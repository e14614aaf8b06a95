"""Sending of requests to the routers that take them over."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RefusedByTarget,
    RouterUnable,
)
from peridotwell.domain.target import Target
from peridotwell.fleet.transport.peers import Peers
from peridotwell.forwarding.adapters import HeaderFields, RoutedRequest
from peridotwell.forwarding.handover.handover_protocol import (
    HandoverInfo,
    HandoverResult,
    encode_info,
    read_result,
    without_handover_fields,
)
from peridotwell.forwarding.handover.peer_paths import PeerPaths
from peridotwell.serving.response_buffers import ResponseBuffers
from peridotwell.serving.target_client import (
    ResponseTimeouts,
    StandardResponseReader,
    TargetClient,
)
from peridotwell.serving.target_response import TargetResponse

__all__ = ('HandoverClient', 'HandoverFailed')


class HandoverFailed(AttemptError):
    """The router that took over a request does not know its outcome."""

    code = 'handover_failed'


class _RouterResponseReader(StandardResponseReader):
    """Reads responses of other routers, which hold those of targets."""

    def refusal_reason(self, response: TargetResponse) -> str:
        """Return '': the result of a handover is read by HandoverClient."""
        return ''


class HandoverClient:
    """The connections from this router to those that take over requests."""

    def __init__(
        self, peers: Peers, peer_paths: PeerPaths, buffers: ResponseBuffers
    ) -> None:
        self._buffers = buffers
        self._own_name = peers.own.name
        self._peers = peers
        self._peer_paths = peer_paths
        self._clients: dict[tuple[str, str], TargetClient] = {}

    @asynccontextmanager
    async def send(
        self,
        request: RoutedRequest,
        router: Target,
        attempts: int,
        timeouts: ResponseTimeouts,
    ) -> AsyncIterator[TargetResponse]:
        """Hand over a request and yield the response. Raises AttemptError.

        `attempts` is the number of targets that may run the request.
        """
        now = trio.current_time()
        info = HandoverInfo(
            self._own_name,
            request.customer,
            request.priority,
            request.deadline_at - now,
            attempts,
            request.table_version,
            request.allowed_regions,
        )
        http_request = _build_request(request, router, info)
        response_context = self._client(router).send(
            http_request,
            timeouts,
            new_connection=not request.route.may_repeat,
        )
        try:
            async with response_context as response:
                self._check_result(router, response)
                yield response
        except ConnectionFailed as exc:
            self._peer_paths.record_unable(router.name, trio.current_time())
            raise RouterUnable(str(exc)) from exc

    async def close_gone(self) -> None:
        """Close the clients of routers that are gone or have moved."""
        known = {
            (peer.hello.name, peer.hello.handover_address)
            for peer in self._peers.known_peers()
        }
        for key in self._clients.keys() - known:
            if not self._clients[key].is_busy():
                await self._clients.pop(key).aclose()

    def _client(self, router: Target) -> TargetClient:
        key = (router.name, router.address)
        client = self._clients.get(key)
        if client is None:
            client = TargetClient(
                router, _RouterResponseReader(), buffers=self._buffers
            )
            self._clients[key] = client
        return client

    def _check_result(self, router: Target, response: TargetResponse) -> None:
        match read_result(response):
            case HandoverResult.unable:
                self._peer_paths.record_unable(router.name, trio.current_time())
                raise RouterUnable(f'{router.name} reaches no target either.')
            case HandoverResult.not_run:
                raise RefusedByTarget(f'status {response.status}')
            case HandoverResult.unknown:
                raise HandoverFailed(
                    f'{router.name} got no complete response, status '
                    f'{response.status}.'
                )


def _build_request(
    request: RoutedRequest, router: Target, info: HandoverInfo
) -> httpcore.Request:
    host, _, port = router.address.rpartition(':')
    length: HeaderFields = (
        (b'content-length', str(len(request.body)).encode()),
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
            *without_handover_fields(request.passed_fields),
            *encode_info(info),
            *length,
        ),
        content=request.body,
    )
