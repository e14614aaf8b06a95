"""What is known of each target, from requests and from other routers."""

import trio

from peridotwell.domain.routing_table import engine_properties
from peridotwell.domain.target import Target
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.fleet.update_exchange import ForwardingState, UpdateExchange
from peridotwell.forwarding.adapters import ReportedLoad, RoutedRequest
from peridotwell.logs import log_event
from peridotwell.policy.choice import Choice
from peridotwell.policy.data_centres import DataCentreMonitor
from peridotwell.policy.outlier_ejection import OutlierEjection
from peridotwell.policy.prefill_speed import PrefillSpeed
from peridotwell.policy.prompt_cache_index import cached_parts
from peridotwell.policy.silence import SilenceDetector
from peridotwell.policy.target_load import LoadReport, TargetLoad

__all__ = ('TargetTracker', 'tokens_to_read')


class TargetTracker:
    """Loads, silence, reading speeds and caches of all targets."""

    def __init__(
        self,
        directory: ServiceDirectory,
        ejection: OutlierEjection,
        sharing: UpdateExchange,
        knowledge: ForwardingState,
    ) -> None:
        self.directory = directory
        self.ejection = ejection
        self.silence = SilenceDetector()
        self.data_centres = DataCentreMonitor()
        self._sharing = sharing
        self._knowledge = knowledge
        self._loads: dict[str, TargetLoad] = {}
        self._starts: dict[str, str] = {}
        self._speeds: dict[str, PrefillSpeed] = {}
        directory.on_change(self._forget_gone)

    @property
    def caches_known(self) -> trio.Event:
        """Set when it is known what engines have cached."""
        return self._sharing.caches_known

    def record_start(
        self, call: RoutedRequest, choice: Choice, now: float
    ) -> None:
        """Count a request that is sent, and the prompt that it brings."""
        target = choice.target
        self._load(target).record_start()
        self.silence.record_request(target.name, now)
        self._sharing.running.add(target.wire_id, 1)
        if call.prompt is None:
            return
        to_read = tokens_to_read(call, choice)
        self._sharing.reading.add(target.wire_id, to_read)
        parts = cached_parts(call.prompt)
        if self._knowledge.caches.record_use(target.name, parts, now):
            self._sharing.prompt_sent(target.wire_id, parts)

    def record_prefill_end(self, call: RoutedRequest, choice: Choice) -> None:
        """Count a prompt as read, or as not to be read any more."""
        to_read = tokens_to_read(call, choice)
        self._sharing.reading.add(choice.target.wire_id, -to_read)

    def record_first_part(
        self,
        call: RoutedRequest,
        choice: Choice,
        seconds: float,
    ) -> None:
        """Learn from the time to the first part of an answer."""
        if call.prompt is None:
            return
        tokens = choice.tokens_ahead + tokens_to_read(call, choice)
        self.prefill_speed(choice.target.pool.name).record_prefill(
            tokens, seconds
        )

    def record_activity(self, target: Target, now: float) -> None:
        """Book that something arrived from a target."""
        self.silence.record_activity(target.name, now)
        self.data_centres.record_activity(target.pool.data_centre)

    def is_avoided(self, target: Target, now: float) -> bool:
        """Whether a target's data centre seems cut off."""
        return self.data_centres.is_avoided(target.pool.data_centre, now)

    def may_reuse_connection(
        self,
        call: RoutedRequest,
        target: Target,
        now: float,
    ) -> bool:
        """Whether a request may be sent on a connection that was kept.

        If that breaks, nobody knows whether the target saw the request; a
        new one that cannot be made leaves the request free to go elsewhere.
        """
        if call.route.may_repeat:
            return True
        has_recent_failures = self.data_centres.has_recent_failures(
            target.pool.data_centre, now
        )
        return not (
            has_recent_failures or self.silence.is_silent(target.name, now)
        )

    def record_end(self, target: Target) -> None:
        """Count the end of a request."""
        self._load(target).record_end()
        self.silence.record_end(target.name)
        self._sharing.running.add(target.wire_id, -1)

    def record_report(
        self, target: Target, load: ReportedLoad, now: float
    ) -> None:
        """Take over a load that a target reported."""
        report = LoadReport(load.running, load.waiting, now)
        self._load(target).record_report(report)

    def load(self, target: Target, now: float) -> float:
        """Return the requests that a target holds from all routers."""
        others = self._knowledge.loads.outstanding(target.wire_id)
        return self._load(target).estimate(now, others)

    def tokens_ahead(self, target: Target) -> int:
        """Return the prompt tokens that an engine has yet to read."""
        others = self._knowledge.reading.outstanding(target.wire_id)
        return self._sharing.reading.count(target.wire_id) + others

    def prefill_speed(self, service: str) -> PrefillSpeed:
        """Return how fast the engines of a service read."""
        return self._speeds.setdefault(service, PrefillSpeed())

    def is_ejected_or_silent(self, target: Target, now: float) -> bool:
        """Whether a target is set aside or silent."""
        name = target.name
        is_aside = self.ejection.is_ejected(name, now)
        return is_aside or self.silence.is_silent(name, now)

    def _load(self, target: Target) -> TargetLoad:
        return self._loads.setdefault(target.name, TargetLoad())

    def _set_memories(self) -> None:
        for target in self.directory.all_targets():
            engine = engine_properties(self.directory.table, target.pool.name)
            if engine is not None:
                self._knowledge.caches.set_capacity(
                    target.name,
                    engine.cache_tokens,
                )

    def _forget_gone(self) -> None:
        starts = {
            target.name: target.incarnation
            for target in self.directory.all_targets()
        }
        for name, incarnation in starts.items():
            if self._starts.get(name, incarnation) != incarnation:
                self._knowledge.caches.remove(name)
                log_event('target.restarted', target=name)
        self._starts = starts
        self._set_memories()
        self._knowledge.caches.keep_only(starts)
        self.ejection.keep_only(starts)
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in starts or load.own_requests
        }


def tokens_to_read(call: RoutedRequest, choice: Choice) -> int:
    """Return the prompt tokens that the chosen engine has to read."""
    own = call.prompt.own_tokens if call.prompt else 0
    return own + choice.missing_tokens - choice.fetched_tokens
