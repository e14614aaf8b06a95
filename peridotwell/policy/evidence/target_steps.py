"""How the ids of the streams of one software version have gone up."""

from dataclasses import dataclass

from peridotwell.domain.target import Target

__all__ = ('TargetSteps', 'VersionSteps')

# Streams that are seen before anything is concluded from them.
MIN_STREAMS = 10
# The same for each of several targets whose ids jump.
MIN_STREAMS_EACH = 5
# For one stream of the other kind, how many make out the usual one.
USUAL_RATIO = 9
# A list of targets is bounded: the one seen longest ago is forgotten.
MAX_TARGETS = 256
MAX_LOGGED_TARGETS = 16
# Targets that have the same steps, before ids of all are taken to jump: two
# faulty ones may leave out the same event.
AGREEING_TARGETS = 4


@dataclass
class TargetSteps:
    """The streams of one incarnation of a target.

    `by_one` counts those whose ids went up by one, `stepped` those with a step
    over an id, `from_start` those of them that began with it. `is_sound` is
    set once its ids are known to go up by one: what its streams do later does
    not change that, as it may be the fault that is looked for.
    """

    name: str
    incarnation: int
    by_one: int = 0
    stepped: int = 0
    from_start: int = 0
    is_sound: bool = False

    @property
    def is_by_one(self) -> bool:
        """Whether nearly all ids went up by one."""
        return self.is_sound or self.by_one > USUAL_RATIO * self.stepped

    @property
    def is_jumping(self) -> bool:
        """Whether nearly all streams have steps."""
        return self.stepped > USUAL_RATIO * self.by_one


class VersionSteps:
    """The streams of all targets of one software version of a service."""

    def __init__(self) -> None:
        self._targets: dict[int, TargetSteps] = {}
        # Targets that had the same step as another one.
        self._agreeing: set[int] = set()

    @property
    def are_by_one(self) -> bool:
        """Whether the ids of its targets are known to go up by one."""
        return any(target.is_sound for target in self._targets.values())

    @property
    def are_jumping(self) -> bool:
        """Whether nearly all streams of all targets have steps.

        One target alone may be a faulty one, unless its streams have their
        steps from the beginning.
        """
        targets = self._targets.values()
        if not all(target.is_jumping for target in targets):
            return False
        several = sum(target.stepped >= MIN_STREAMS_EACH for target in targets)
        from_start = sum(target.from_start for target in targets)
        return several > 1 or from_start >= MIN_STREAMS

    def record_by_one(self, target: Target) -> None:
        """Record a stream whose ids went up by one."""
        self._of(target).by_one += 1
        usual = [each for each in self._targets.values() if each.is_by_one]
        if sum(each.by_one for each in usual) >= MIN_STREAMS:
            for each in usual:
                each.is_sound = True

    def record_step(self, target: Target, *, from_start: bool) -> None:
        """Record a stream with a step over an id."""
        known = self._of(target)
        known.stepped += 1
        known.from_start += from_start

    def record_same(self, *targets: Target) -> bool:
        """Record targets with the same step; return whether ids jump.

        They do if all targets that sent streams agree, or several of many.
        """
        self._agreeing.update(target.wire_id for target in targets)
        needed = min(
            len(self._targets.keys() | self._agreeing), AGREEING_TARGETS
        )
        return len(self._agreeing) >= needed

    def record_different(self) -> None:
        """Record that a target had the event that another one left out."""
        self._agreeing.clear()

    def counts(self) -> str:
        """Return the streams of each target that go up by one, and others."""
        targets = list(self._targets.values())[-MAX_LOGGED_TARGETS:]
        return ' '.join(
            f'{each.name}:{each.by_one}/{each.stepped}' for each in targets
        )

    def forget_earlier(self, target: Target) -> None:
        """Forget what is known of another incarnation of a target."""
        target_id, incarnation = target.incarnation_id
        known = self._targets.get(target_id)
        if known is not None and known.incarnation != incarnation:
            self._targets.pop(target_id)

    def _of(self, target: Target) -> TargetSteps:
        self.forget_earlier(target)
        target_id, incarnation = target.incarnation_id
        known = self._targets.get(target_id)
        if known is None:
            while len(self._targets) >= MAX_TARGETS:
                self._targets.pop(next(iter(self._targets)))
            known = TargetSteps(target.name, incarnation)
            self._targets[target_id] = known
        return known
