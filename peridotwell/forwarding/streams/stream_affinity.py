"""Keeps each resumable stream at the software version that began it.

That a router does not know of several versions is no evidence that there is
only one: it may have started since, or have lost its connections. Nor is the
answer of another router of which the same holds.
"""

from collections.abc import Iterable

import trio

from peridotwell.domain.target import Target
from peridotwell.errors import NoTarget
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.version_record import (
    VERSIONS_KEY,
    decode_versions,
)
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.streams.resumption_log import Basis, log_taken_up
from peridotwell.logs import log_event
from peridotwell.store.revisions import was_restored

__all__ = ('StreamAffinity',)

# News of a stream reaches the other routers in less.
RETRY_AFTER_SECONDS = 0.3
# A router that has heard neither the store nor another router for longer may
# lack a version that serves.
MAX_ISOLATION_SECONDS = 3.0
# The id in a question that is only about the versions of a service.
NO_STREAM = 0


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
        self._has_read_record = False
        directory.on_change(self._record_serving)

    def record_start(
        self, request: RoutedRequest, target: Target, now: float
    ) -> None:
        """Record that a target has sent the first event of a stream."""
        if not request.route.resumable or _is_unnamed(request):
            return
        stream = request.stream_id
        if self._versions.version(stream, now) is not None:
            return
        self._versions.record_own(stream, target.software_id, now)
        if self._versions.is_mixed(request.service, now):
            self._update_exchange.share_stream_versions(
                [(stream, target.software_id)]
            )

    async def learn_version(self, request: RoutedRequest) -> None:
        """Ask other routers for the version of a stream if it is unknown."""
        if request.resumed_stream is None:
            return
        now = trio.current_time()
        is_known = self._known_version(request, now) is not None
        may_lack = self._versions.may_lack(request.service, now)
        if not is_known and (may_lack or self._is_isolated(now)):
            await self._update_exchange.stream_lookup.find(
                request.stream_id, request.service
            )
        self._log_taken_up(request, trio.current_time())

    def required_software(
        self, request: RoutedRequest, now: float
    ) -> int | None:
        """Return the id of the version that must serve; None if any may.

        Raises NoTarget if it is unknown and several versions may have served.
        """
        if request.resumed_stream is None:
            return None
        software = self._known_version(request, now)
        if software is None and self._may_be_mixed(request.service, now):
            self._update_exchange.stream_lookup.count_unknown()
            raise NoTarget(
                'It is not known which software version began this stream, and '
                'several may serve: resume it again later, or start anew.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        return software

    async def confirm(self, services: Iterable[str]) -> tuple[str, ...]:
        """Return those of `services` whose recent versions are all known.

        Other routers are asked for the others first.
        """
        now = trio.current_time()
        for service in services:
            if not self._is_confirmed(service, now):
                await self._update_exchange.stream_lookup.find(
                    NO_STREAM, service
                )
        now = trio.current_time()
        return tuple(
            service for service in services if self._is_confirmed(service, now)
        )

    def _is_confirmed(self, service: str, now: float) -> bool:
        is_alone = self._update_exchange.peers.known_count() == 1
        return is_alone or self._versions.is_confirmed(service, now)

    def _may_be_mixed(self, service: str, now: float) -> bool:
        return (
            self._basis_without_version(service, now) is not Basis.one_version
        )

    def _is_isolated(self, now: float) -> bool:
        """Return whether neither the store nor another router is heard."""
        answered_at = self._directory.store_contact.answered_at
        if now - answered_at <= MAX_ISOLATION_SECONDS:
            return False
        peers = self._update_exchange.peers
        return peers.known_count() > 1 and not peers.live_ids(now)

    def _known_version(self, request: RoutedRequest, now: float) -> int | None:
        if _is_unnamed(request):
            return None
        return self._versions.version(request.stream_id, now)

    def _log_taken_up(self, request: RoutedRequest, now: float) -> None:
        service = request.service
        version = self._known_version(request, now)
        if version is None:
            basis = self._basis_without_version(service, now)
            evidence = self._versions.confirmation(service, now)
        else:
            basis = Basis.stream
            evidence = self._versions.evidence(request.stream_id, now)
        heard_seconds = self._directory.store_contact.answer_age(now)
        log_taken_up(request, version, basis, evidence, heard_seconds, now)

    def _basis_without_version(self, service: str, now: float) -> Basis:
        if self._versions.is_mixed(service, now):
            return Basis.several_versions
        if not self._is_confirmed(service, now):
            return Basis.not_confirmed
        if self._is_isolated(now):
            return Basis.isolated
        return Basis.one_version

    def _read_record(self) -> None:
        """Read which versions have served before this router started."""
        entry = self._directory.replica.entry(VERSIONS_KEY)
        recorded = decode_versions(entry.value) if entry else None
        if entry is None and not was_restored(self._directory.known_revision):
            self._versions.record_nothing_earlier()
        self._versions.record_earlier(recorded or {}, trio.current_time())
        log_event('versions.read', services=len(recorded or {}))

    def _record_serving(self) -> None:
        now = trio.current_time()
        serving: dict[str, set[int]] = {}
        for target in self._directory.all_targets():
            serving.setdefault(target.pool.name, set()).add(target.software_id)
        if not self._has_read_record:
            self._has_read_record = True
            self._read_record()
        has_become_mixed = self._versions.set_serving(
            {name: frozenset(ids) for name, ids in serving.items()}, now
        )
        if has_become_mixed:
            streams = tuple(self._versions.recent(now))
            self._update_exchange.share_stream_versions(streams)
            log_event('streams.shared', streams=len(streams))


def _is_unnamed(request: RoutedRequest) -> bool:
    """Return whether a stream is taken up without telling what began it.

    All such streams have the same id.
    """
    stream = request.resumed_stream
    return stream is not None and not stream.first_request
