"""Keeps each resumable stream at the software version that began it.

That a router does not know of several versions is no evidence that there is
only one: it may have started since, or have lost its connections. Nor is the
answer of another router of which the same holds.
"""

import math
from collections.abc import Iterable
from dataclasses import replace

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
from peridotwell.forwarding.streams.resumption_log import log_taken_up
from peridotwell.forwarding.streams.unproven_starts import (
    UnprovenStart,
    UnprovenStarts,
)
from peridotwell.forwarding.targets.restart_watch import RestartWatch
from peridotwell.logs import log_event
from peridotwell.policy.versions.stream_versions import (
    MEMORY_SECONDS,
    STORE,
    Provenance,
)
from peridotwell.policy.versions.version_belief import (
    Basis,
    decide,
)
from peridotwell.store.revisions import was_restored

__all__ = ('StreamAffinity',)

# News of a stream reaches the other routers in less.
RETRY_AFTER_SECONDS = 0.3
# The id in a question that is only about the versions of a service.
NO_STREAM = 0


class StreamAffinity:
    """Knows which software version may resume a stream.

    While targets of several versions serve, routers tell each other which
    version began each stream, because a caller may resume at any router.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        update_exchange: UpdateExchange,
        restarts: RestartWatch,
    ) -> None:
        self._directory = directory
        self._update_exchange = update_exchange
        self._versions = update_exchange.state.stream_versions
        self._services = update_exchange.state.service_versions
        self._lookup = update_exchange.stream_lookup
        self._has_read_record = False
        # When another router was last known.
        self._had_others_at = -math.inf
        self._restarts = restarts
        self._unproven = UnprovenStarts(restarts)
        directory.on_change(self._record_serving)
        directory.sightings.on_gap(self._record_gap)
        directory.belief.on_evidence(self._record_proven)

    def record_start(
        self, request: RoutedRequest, target: Target, now: float
    ) -> None:
        """Record that a target has sent the first event of a stream."""
        if not request.route.resumable or _is_unnamed(request):
            return
        stream = request.stream_id
        if self._versions.version(stream, now) is not None:
            return
        found_at = self._restarts.found_at(target, now)
        start = UnprovenStart(stream, request.service, target, found_at)
        if not self._unproven.record(start):
            self._record_own(start, now)

    def is_unproven(self, request: RoutedRequest) -> bool:
        """Return whether it is unknown which version began a stream here."""
        return request.stream_id in self._unproven

    async def settle(self, request: RoutedRequest, target: Target) -> None:
        """Wait a short time for the store to tell which version began it."""
        if self.is_unproven(request):
            await self._restarts.settle(target)

    async def version_of(self, request: RoutedRequest) -> int | None:
        """Return the id of the version at which a stream goes on.

        It is None for a stream that begins. Other routers and the store are
        asked first if need be. Raises NoTarget if it is not known.
        """
        if request.resumed_stream is None:
            return None
        now = trio.current_time()
        if not self._basis(request, now).goes_on:
            await self._lookup.find(
                request.stream_id, request.service, request.arrived_at
            )
            now = trio.current_time()
        basis = self._basis(request, now)
        version = self._known_version(request, now)
        self._log_taken_up(request, basis, version, now)
        if not basis.goes_on:
            self._lookup.count_unknown()
            raise NoTarget(
                'It is not known which software version began this stream, and '
                'several may serve: resume it again later, or start anew.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        if version is None:
            version = self._services.only_version(request.service, now)
            self._keep(request, version, now)
        return version

    async def confirm(self, services: Iterable[str]) -> tuple[str, ...]:
        """Return those of `services` whose recent versions are all known.

        Other routers are asked for the others first.
        """
        now = trio.current_time()
        for service in services:
            if not self._is_confirmed(service, now):
                await self._lookup.find(NO_STREAM, service)
        now = trio.current_time()
        return tuple(
            service for service in services if self._is_confirmed(service, now)
        )

    def _is_confirmed(self, service: str, now: float) -> bool:
        services = self._services
        return services.is_confirmed(service, now) or (
            self._is_alone(now) and services.remembers(service, now)
        )

    def _is_alone(self, now: float) -> bool:
        """Return whether no other router can have begun a recent stream.

        Entries of others lapse in an outage of the store.
        """
        if self._update_exchange.peers.known_count() > 1:
            self._had_others_at = now
        return now - self._had_others_at > MEMORY_SECONDS

    def _known_version(self, request: RoutedRequest, now: float) -> int | None:
        if _is_unnamed(request):
            return None
        return self._versions.version(request.stream_id, now)

    def _basis(self, request: RoutedRequest, now: float) -> Basis:
        service = request.service
        known = replace(
            self._lookup.known_versions(service, now),
            stream=self._known_version(request, now),
            is_confirmed=self._is_confirmed(service, now),
        )
        if self.is_unproven(request) and known.stream is None:
            return Basis.unproven
        return decide(known, request.arrived_at)

    def _keep(
        self, request: RoutedRequest, version: int | None, now: float
    ) -> None:
        """Keep a version that is now known, before another one serves."""
        evidence = self._evidence(request, now)
        if version is not None and evidence and not _is_unnamed(request):
            self._versions.record(
                request.stream_id, version, replace(evidence, learned_at=now)
            )

    def _evidence(
        self, request: RoutedRequest, now: float
    ) -> Provenance | None:
        """Return what shows the version of a stream, or of its service."""
        if self._known_version(request, now) is not None:
            return self._versions.evidence(request.stream_id, now)
        answered_until = self._directory.belief.answered_until
        told = self._lookup.belief.evidence(request.service)
        if told is not None and told.learned_at >= answered_until:
            return told
        if math.isinf(answered_until):
            return told
        contact = self._directory.store_contact
        return Provenance(STORE, answered_until, contact.answered_at)

    def _log_taken_up(
        self,
        request: RoutedRequest,
        basis: Basis,
        version: int | None,
        now: float,
    ) -> None:
        heard_seconds = self._directory.store_contact.answer_age(now)
        evidence = self._evidence(request, now)
        log_taken_up(request, version, basis, evidence, heard_seconds, now)

    def _read_record(self) -> None:
        """Read which versions have served before this router started."""
        entry = self._directory.replica.entry(VERSIONS_KEY)
        recorded = decode_versions(entry.value) if entry else None
        if entry is None and not was_restored(self._directory.known_revision):
            self._services.record_nothing_earlier()
        self._services.record_earlier(recorded or {}, trio.current_time())
        log_event('versions.read', services=len(recorded or {}))

    def _record_proven(self, now: float) -> None:
        for start in self._unproven.pop_proven(now):
            self._record_own(start, now)

    def _record_own(self, start: UnprovenStart, now: float) -> None:
        """Record a stream that began here, and tell others if need be."""
        version = start.target.software_id
        self._versions.record_own(start.stream, version, now)
        if self._may_be_asked_for(start.service, now):
            self._update_exchange.share_stream_versions(
                [(start.stream, version)]
            )

    def _may_be_asked_for(self, service: str, now: float) -> bool:
        """Return whether others are told which version begins streams.

        In a small fleet that costs little, and they know it also when this
        router has died before a second version serves.
        """
        relays = self._update_exchange.relay_protocol
        return not relays.is_enabled() or self._services.is_mixed(service, now)

    def _record_serving(self) -> None:
        now = trio.current_time()
        self._is_alone(now)
        if not self._has_read_record:
            self._has_read_record = True
            self._read_record()
        serving = _versions_by_service(self._directory.all_targets())
        seen = _versions_by_service(self._directory.sightings.take())
        has_become_mixed = self._services.set_serving(serving, now)
        # A target may have registered and left in what came at once.
        has_become_mixed |= self._services.record_seen(seen, now)
        if has_become_mixed:
            streams = tuple(self._versions.recent(now))
            self._update_exchange.share_stream_versions(streams)
            log_event('streams.shared', streams=len(streams))

    def _record_gap(self) -> None:
        """Record that versions may have come and gone unseen."""
        self._services.record_gap(trio.current_time())


def _versions_by_service(
    targets: Iterable[Target],
) -> dict[str, frozenset[int]]:
    versions: dict[str, set[int]] = {}
    for target in targets:
        versions.setdefault(target.pool.name, set()).add(target.software_id)
    return {name: frozenset(ids) for name, ids in versions.items()}


def _is_unnamed(request: RoutedRequest) -> bool:
    """Return whether a stream is taken up without telling what began it.

    All such streams have the same id.
    """
    stream = request.resumed_stream
    return stream is not None and not stream.first_request
