"""Keeps each resumable stream at the software version that began it."""

import trio

from peridotwell.domain.target import Target
from peridotwell.errors import NoTarget
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.logs import log_event

__all__ = ('StreamAffinity',)

# News of a stream reaches the other routers in less.
RETRY_AFTER_SECONDS = 0.3


class StreamAffinity:
    """Knows which software version may resume a stream.

    While targets of several versions serve, routers tell each other which
    version began each stream, because a caller may resume at any router.
    """

    def __init__(
        self, directory: ServiceDirectory, update_exchange: UpdateExchange
    ) -> None:
        self._directory = directory
        self._update_exchange = update_exchange
        self._versions = update_exchange.state.stream_versions
        directory.on_change(self._record_serving)

    def record_start(
        self, request: RoutedRequest, target: Target, now: float
    ) -> None:
        """Record that a target has sent the first event of a stream."""
        if not request.route.resumable:
            return
        stream = request.stream_id
        if self._versions.version(stream, now) is not None:
            return
        self._versions.record(stream, target.software_id, now)
        if self._versions.is_mixed(request.service, now):
            self._update_exchange.share_stream_versions(
                [(stream, target.software_id)]
            )

    async def learn_version(self, request: RoutedRequest) -> None:
        """Ask other routers for the version of a stream if it is unknown."""
        if request.resumed_stream is None:
            return
        now = trio.current_time()
        is_known = self._versions.version(request.stream_id, now) is not None
        if is_known or not self._versions.may_lack(request.service, now):
            return
        await self._update_exchange.stream_lookup.find(
            request.stream_id, request.service
        )

    def required_software(
        self, request: RoutedRequest, now: float
    ) -> int | None:
        """Return the id of the version that must serve; None if any may.

        Raises NoTarget if it is unknown and several versions serve.
        """
        if request.resumed_stream is None:
            return None
        software = self._versions.version(request.stream_id, now)
        if software is None and self._versions.is_mixed(request.service, now):
            raise NoTarget(
                'It is not known which software version began this stream, and '
                'several serve: resume it again later, or start anew.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        return software

    def _record_serving(self) -> None:
        now = trio.current_time()
        serving: dict[str, set[int]] = {}
        for target in self._directory.all_targets():
            serving.setdefault(target.pool.name, set()).add(target.software_id)
        has_become_mixed = self._versions.set_serving(
            {name: frozenset(ids) for name, ids in serving.items()}, now
        )
        if has_become_mixed:
            streams = tuple(self._versions.recent(now))
            self._update_exchange.share_stream_versions(streams)
            log_event('streams.shared', streams=len(streams))
