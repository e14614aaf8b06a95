"""Which target runs a request."""

from collections.abc import Collection, Sequence

import trio

from peridotwell.errors import NoTarget
from peridotwell.fleet.directory import Directory
from peridotwell.fleet.sharing import Knowledge, Sharing
from peridotwell.forwarding.dialect import ForwardCall, ReportedLoad
from peridotwell.logs import log_event
from peridotwell.policy.cache_map import CachedPart, cached_parts
from peridotwell.policy.choice import Candidate, Choice, choose_least
from peridotwell.policy.ejection import Ejection
from peridotwell.policy.engine_choice import (
    EngineCandidate,
    PromptNeeds,
    Source,
    choose_engine,
)
from peridotwell.policy.reading_speed import ReadingSpeed
from peridotwell.policy.silence import TargetSilence
from peridotwell.policy.target_load import LoadReport, TargetLoad
from peridotwell.world.bounds import Bounds
from peridotwell.world.prompt import Prompt
from peridotwell.world.routes import EngineFacts
from peridotwell.world.target import Target

__all__ = ('Placement', 'tokens_to_read')

# A target that registers or is let back is known about this soon.
RETRY_AFTER_SECONDS = 0.5


class Placement:
    """The load of every target, and the choice among them."""

    def __init__(
        self,
        directory: Directory,
        ejection: Ejection,
        data_centre: str,
        bounds: Bounds,
        sharing: Sharing,
        knowledge: Knowledge,
    ) -> None:
        self._directory = directory
        self._ejection = ejection
        self._data_centre = data_centre
        self._bounds = bounds
        self._sharing = sharing
        self._knowledge = knowledge
        self._loads: dict[str, TargetLoad] = {}
        self._starts: dict[str, str] = {}
        self._silence = TargetSilence()
        self._speeds: dict[str, ReadingSpeed] = {}
        directory.on_change(self._forget_gone)

    @property
    def caches_known(self) -> trio.Event:
        """Set when it is known what engines have cached."""
        return self._sharing.caches_known

    def began(self, call: ForwardCall, choice: Choice, now: float) -> None:
        """Count a request that is sent, and the prompt that it brings."""
        target = choice.target
        self._load(target).began()
        self._silence.sent(target.name, now)
        self._sharing.running.add(target.wire_id, 1)
        if call.prompt is None:
            return
        to_read = tokens_to_read(call, choice)
        self._sharing.reading.add(target.wire_id, to_read)
        parts = cached_parts(call.prompt)
        if self._knowledge.caches.use(target.name, parts, now):
            self._sharing.prompt_sent(target.wire_id, parts)

    def prompt_read(self, call: ForwardCall, choice: Choice) -> None:
        """Count a prompt as read, or as not to be read any more."""
        to_read = tokens_to_read(call, choice)
        self._sharing.reading.add(choice.target.wire_id, -to_read)

    def answered(
        self,
        call: ForwardCall,
        choice: Choice,
        seconds: float,
    ) -> None:
        """Learn from the time to the first part of an answer."""
        if call.prompt is None:
            return
        tokens = choice.ahead + tokens_to_read(call, choice)
        self._speed(choice.target.pool.name).answered(tokens, seconds)

    def heard(self, target: Target, now: float) -> None:
        """Book that something arrived from a target."""
        self._silence.heard(target.name, now)

    def ended(self, target: Target) -> None:
        """Count the end of a request."""
        self._load(target).ended()
        self._silence.ended(target.name)
        self._sharing.running.add(target.wire_id, -1)

    def reported(self, target: Target, load: ReportedLoad, now: float) -> None:
        """Take over a load that a target reported."""
        report = LoadReport(load.running, load.waiting, now)
        self._load(target).reported(report)

    def choose(
        self,
        call: ForwardCall,
        tried: Collection[str],
        now: float,
    ) -> Choice:
        """Return the target for a call. Raises NoTarget."""
        targets = self._candidates(call.service, tried, now)
        if not targets:
            raise NoTarget(
                f'No target of {call.service} takes work: send the request '
                'again later.',
                retry_after=RETRY_AFTER_SECONDS,
            )
        if call.prompt is not None:
            return self._choose_engine(call, call.prompt, targets, now)
        return choose_least(
            [
                Candidate(target, self._estimate(target, now))
                for target in targets
            ],
            self._data_centre,
            call.request_id,
        )

    def _choose_engine(
        self,
        call: ForwardCall,
        prompt: Prompt,
        targets: Sequence[Target],
        now: float,
    ) -> Choice:
        parts = cached_parts(prompt)
        needs = PromptNeeds(
            prompt.subject,
            prompt.own_tokens,
            call.route.objective_seconds,
        )
        return choose_engine(
            needs,
            [self._engine_candidate(target, parts, now) for target in targets],
            self._source(call.service, parts, now),
            self._bounds.load_factor,
            self._speed(call.service).tokens_per_second,
        )

    def _engine_candidate(
        self,
        target: Target,
        parts: Sequence[CachedPart],
        now: float,
    ) -> EngineCandidate:
        number = target.wire_id
        others = self._knowledge.reading.outstanding(number)
        return EngineCandidate(
            target,
            self._estimate(target, now),
            self._knowledge.caches.missing_tokens(target.name, parts, now),
            self._sharing.reading.count(number) + others,
        )

    def _speed(self, service: str) -> ReadingSpeed:
        return self._speeds.setdefault(service, ReadingSpeed())

    def _source(
        self,
        service: str,
        parts: Sequence[CachedPart],
        now: float,
    ) -> Source | None:
        """Return the engine that has most of a prompt, leaving or not."""
        engine = self._engine_facts(service)
        if engine is None or not engine.can_fetch:
            return None
        sources = [
            Source(
                Candidate(target, 0),
                self._knowledge.caches.missing_tokens(target.name, parts, now),
            )
            for target in self._directory.all_of(service)
            if not self._is_doubtful(target, now)
        ]
        return min(sources, key=lambda source: source.missing, default=None)

    def _load(self, target: Target) -> TargetLoad:
        return self._loads.setdefault(target.name, TargetLoad())

    def _estimate(self, target: Target, now: float) -> float:
        others = self._knowledge.loads.outstanding(target.wire_id)
        return self._load(target).estimate(now, others)

    def _is_doubtful(self, target: Target, now: float) -> bool:
        return self._ejection.is_aside(
            target.name,
            now,
        ) or self._silence.is_silent(target.name, now)

    def _engine_facts(self, service: str) -> EngineFacts | None:
        table = self._directory.table
        facts = table.services.get(service) if table else None
        return facts.engine if facts else None

    def _candidates(
        self,
        service: str,
        tried: Collection[str],
        now: float,
    ) -> Sequence[Target]:
        listed = self._directory.targets(service)
        usable = self._ejection.usable(listed, now)
        fresh = [target for target in usable if target.name not in tried]
        heard = [
            target
            for target in fresh
            if not self._silence.is_silent(target.name, now)
        ]
        untried = [target for target in listed if target.name not in tried]
        return heard or fresh or untried

    def _set_memories(self) -> None:
        for target in self._directory.all_targets():
            engine = self._engine_facts(target.pool.name)
            if engine is not None:
                self._knowledge.caches.set_memory(
                    target.name,
                    engine.memory_tokens,
                )

    def _forget_gone(self) -> None:
        starts = {
            target.name: target.incarnation
            for target in self._directory.all_targets()
        }
        for name, incarnation in starts.items():
            if self._starts.get(name, incarnation) != incarnation:
                self._knowledge.caches.forget(name)
                log_event('target.restarted', target=name)
        self._starts = starts
        self._set_memories()
        self._knowledge.caches.keep_only(starts)
        self._ejection.forget(starts)
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in starts or load.own
        }


def tokens_to_read(call: ForwardCall, choice: Choice) -> int:
    """Return the prompt tokens that the chosen engine has to read."""
    own = call.prompt.own_tokens if call.prompt else 0
    return own + choice.missing - choice.fetched
