"""The state of each target, from own requests and from other routers."""

from collections.abc import Sequence

from peridotwell.domain.routing_table import engine_properties
from peridotwell.domain.target import Target
from peridotwell.fleet.relays.forwarding_state import ForwardingState
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import ReportedLoad, RoutedRequest
from peridotwell.forwarding.choosing.brittle_room import BrittleRoom
from peridotwell.forwarding.sending.silence_limits import SilenceLimits
from peridotwell.logs import log_event
from peridotwell.policy.health.contact_times import ContactTimes
from peridotwell.policy.health.data_centres import DataCentreMonitor
from peridotwell.policy.health.outlier_ejection import OutlierEjection
from peridotwell.policy.health.silence import SilenceDetector
from peridotwell.policy.load.request_lengths import RequestLengths
from peridotwell.policy.load.service_times import ServiceTimes
from peridotwell.policy.load.target_load import LoadReport, TargetLoad
from peridotwell.policy.placement.choice import Choice
from peridotwell.policy.placement.prompt_cache_index import cacheable_parts
from peridotwell.policy.placement.region_restriction import RegionTable
from peridotwell.policy.retries.return_spread import ReturnSpread
from peridotwell.policy.room.full_reports import FullReports

__all__ = ('TargetTracker', 'tokens_to_prefill')

# Time from a request until the router's next update, and until its relay sends
# it on. The time on the way is measured.
UNREPORTED_SECONDS = 0.15


class TargetTracker:
    """Tracks load, silence, prefill speed and caches of all targets."""

    def __init__(
        self,
        directory: ServiceDirectory,
        ejection: OutlierEjection,
        update_exchange: UpdateExchange,
        state: ForwardingState,
        regions: RegionTable | None = None,
    ) -> None:
        self.directory = directory
        self.regions = regions or RegionTable()
        self.ejection = ejection
        self.silence = SilenceDetector()
        self.contacts = ContactTimes()
        self.silence_limits = SilenceLimits()
        self.data_centres = DataCentreMonitor()
        self._update_exchange = update_exchange
        self._state = state
        self.notices = state.target_notices
        self.limits = state.target_limits
        self.cold = state.cold_targets
        self.paces = state.target_paces
        self.full_reports = FullReports()
        self.brittle = BrittleRoom(
            state.brittle_targets, update_exchange.own_requests, self.load
        )
        self.return_spread = ReturnSpread()
        self.lengths = RequestLengths()
        self._loads: dict[str, TargetLoad] = {}
        self._incarnations: dict[str, str] = {}
        self.times = ServiceTimes()
        directory.on_change(self._remove_gone_targets)

    def record_start(
        self, request: RoutedRequest, choice: Choice, now: float
    ) -> None:
        """Record that a request is sent, with its prompt if it has one."""
        target = choice.target
        self.limits.record_send(target, now)
        self.cold.record_send(target, now)
        self.brittle.record_send(target, now)
        self.return_spread.record_sent(target.pool.name, now)
        self._load(target).record_start()
        self.silence.record_request(target.name, now)
        self._update_exchange.own_requests.add(target.wire_id, 1)
        if request.prompt is None:
            return
        prefill_tokens = tokens_to_prefill(request, choice)
        self._update_exchange.own_prefill_tokens.add(
            target.wire_id, prefill_tokens
        )
        parts = cacheable_parts(request.prompt)
        if self._state.cache_index.record_use(target.name, parts, now):
            self._update_exchange.record_prompt_sent(target.wire_id, parts)

    def record_prefill_end(
        self, request: RoutedRequest, choice: Choice
    ) -> None:
        """Record that a prompt is prefilled, or that its request has ended."""
        prefill_tokens = tokens_to_prefill(request, choice)
        self._update_exchange.own_prefill_tokens.add(
            choice.target.wire_id, -prefill_tokens
        )

    def record_first_part(
        self,
        request: RoutedRequest,
        choice: Choice,
        seconds: float,
    ) -> None:
        """Update the prefill speed with the time to the first response part."""
        if request.prompt is None:
            return
        tokens = choice.tokens_ahead + tokens_to_prefill(request, choice)
        self.times.prefill_speed(choice.target.pool.name).record_prefill(
            tokens, seconds
        )

    def record_activity(self, target: Target, now: float) -> None:
        """Record that data arrived from a target."""
        self.contacts.record(target.name, now)
        self.silence.record_activity(target.name, now)
        self.silence_limits.record_activity(target.name, now)
        self.data_centres.record_activity(target.pool.data_centre)

    def may_reuse_connection(
        self,
        request: RoutedRequest,
        target: Target,
        now: float,
    ) -> bool:
        """Return whether a request may use an idle pooled connection.

        If such a connection breaks, it is unknown whether the target received
        the request. If a new connection cannot be made, the target has not
        received it, and it may be sent to another target. Data of a moment ago
        show that the path is whole. Requests that may be repeated use idle
        connections while no target is unreachable.
        """
        is_old = self.contacts.is_old(target.name, now)
        if request.route.may_repeat:
            return not (is_old and self.ejection.unreachable_targets())
        has_recent_failures = self.data_centres.has_recent_failures(
            target.pool.data_centre, now
        )
        return not (
            has_recent_failures
            or is_old
            or self.silence.is_silent(target.name, now)
        )

    def record_end(self, target: Target, seconds: float) -> None:
        """Record the end of a request that took this time."""
        self._load(target).record_end()
        self.times.duration(target.pool.name).record(seconds)
        self.silence.record_end(target.name)
        self._update_exchange.own_requests.add(target.wire_id, -1)

    def record_report(
        self, target: Target, load: ReportedLoad, now: float
    ) -> None:
        """Record the load that a target reported."""
        report = LoadReport(load.running, load.waiting, now)
        self._load(target).record_report(report)
        if load.pace is None:
            return
        counted = self._load(target).own_requests
        counted += self._state.peer_requests.outstanding(target.wire_id)
        self.full_reports.record(target.name, report, load.slots, counted)
        changed = self.paces.record(target, load.pace, now)
        if changed is not None:
            self._update_exchange.pace_sync.share((changed,))

    def load(self, target: Target, now: float) -> float:
        """Return the estimated number of requests on a target.

        Requests of all routers are counted.
        """
        others = self._state.peer_requests.outstanding(target.wire_id)
        return self._load(target).estimate(now, others)

    def loads(self, targets: Sequence[Target], now: float) -> Sequence[float]:
        """Return the loads of targets, as `load` does."""
        others = self._state.peer_requests.outstanding_of(
            target.wire_id for target in targets
        )
        known = self._loads
        return [
            float(count) if load is None else load.estimate(now, count)
            for load, count in zip(
                [known.get(target.name) for target in targets],
                others,
                strict=True,
            )
        ]

    def tokens_ahead(self, targets: Sequence[Target]) -> Sequence[int]:
        """Return the prompt tokens that engines have not prefilled yet."""
        ids = [target.wire_id for target in targets]
        own = self._update_exchange.own_prefill_tokens.counts(ids)
        others = self._state.peer_prefill_tokens.outstanding_of(ids)
        return [mine + rest for mine, rest in zip(own, others, strict=True)]

    def unseen_requests(
        self, service: str, outstanding: float, now: float
    ) -> float:
        """Return the requests that others have sent and not reported yet.

        This is an estimate from the `outstanding` requests of the service.
        """
        delay = self._update_exchange.update_delay.seconds(now)
        return self.times.duration(service).arrivals(
            outstanding, UNREPORTED_SECONDS + delay
        )

    def accepts(self, target: Target, now: float) -> bool:
        """Return whether a target takes work, by what it says itself."""
        own_requests = self._load(target).own_requests
        return (
            self.notices.accepts(target, own_requests, now)
            and self.limits.accepts(target, now)
            and self.cold.accepts(target, now)
            and self.brittle.accepts(target, now)
        )

    def wait_seconds(self, target: Target, now: float) -> float | None:
        """Return when a target may take work, by what it says itself.

        Returns None if that is unknown, or if it leaves.
        """
        limit_wait = self.limits.wait_seconds(target, now)
        pause = self.notices.next_return_seconds((target,), now)
        cold_wait = self.cold.wait_seconds(target, now)
        if limit_wait is None or pause is None or cold_wait is None:
            return None
        room_wait = self.brittle.wait_seconds(target, now)
        return max(limit_wait, pause, cold_wait, room_wait)

    def is_ejected_or_silent(self, target: Target, now: float) -> bool:
        """Return whether a target is ejected or silent."""
        name = target.name
        is_ejected = self.ejection.is_ejected(name, now)
        return is_ejected or self.silence.is_silent(name, now)

    def _load(self, target: Target) -> TargetLoad:
        load = self._loads.get(target.name)
        if load is None:
            load = self._loads[target.name] = TargetLoad()
        return load

    def _set_cache_capacities(self) -> None:
        for target in self.directory.all_targets():
            engine = engine_properties(self.directory.table, target.pool.name)
            if engine is not None:
                self._state.cache_index.set_capacity(
                    target.name,
                    engine.cache_tokens,
                )

    def _remove_gone_targets(self) -> None:
        incarnations = {
            target.name: target.incarnation
            for target in self.directory.all_targets()
        }
        for name, incarnation in incarnations.items():
            if self._incarnations.get(name, incarnation) != incarnation:
                self._state.cache_index.remove(name)
                log_event('target.restarted', target=name)
        self._incarnations = incarnations
        self._set_cache_capacities()
        self._state.cache_index.keep_only(incarnations)
        self.ejection.keep_only(incarnations)
        self.contacts.keep_only(incarnations)
        self.full_reports.keep_only(incarnations.keys())
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in incarnations or load.own_requests
        }


def tokens_to_prefill(request: RoutedRequest, choice: Choice) -> int:
    """Return the prompt tokens that the chosen engine has to prefill."""
    own_tokens = request.prompt.own_tokens if request.prompt else 0
    return own_tokens + choice.missing_tokens - choice.fetched_tokens
