"""What is known of responses whose end nothing marks but their connection's.

Such a response may be one that a faulty target broke off. An end that nobody
has checked shows nothing of the service: a fault that breaks off many would
look like what is usual. It has been checked if another target was asked for the
rest, or for the same response.

The habit of one target does follow from its unchecked ends, in time: a target
that sends no marks is believed after some of them, if checks tell nothing else.
"""

from dataclasses import dataclass

__all__ = ('EndCounts', 'EndGroup', 'EndMarks')

# Share of a response in the mean of its service.
WEIGHT = 0.02
USUAL_SHARE = 0.9
# The same of a checked end in the mean of its target.
CHECKED_WEIGHT = 0.1
SOUND_SHARE = 0.9
# A target that marks fewer of its ends ends its responses so.
HABIT_SHARE = 0.5
# So many responses of others count for a target that has sent none.
OTHERS_COUNT = 5
MAX_COUNT = 50


@dataclass(frozen=True)
class EndGroup:
    """Responses of a service that end alike: its streams, or all others."""

    service: str
    is_stream: bool


@dataclass(frozen=True)
class EndCounts:
    """Numbers of ends since it changed whether marks are usual.

    Unmarked ones are those that were found to be whole.
    """

    marked: int = 0
    unmarked: int = 0

    def add(self, is_marked: bool) -> 'EndCounts':
        """Return the numbers with one more end."""
        return EndCounts(
            self.marked + is_marked, self.unmarked + (not is_marked)
        )


@dataclass(frozen=True)
class _Habit:
    """The share of marked ends among all that were passed on."""

    share: float
    count: int

    def add(self, is_marked: bool) -> '_Habit':
        count = min(self.count + 1, MAX_COUNT)
        return _Habit(self.share + (is_marked - self.share) / count, count)


class EndMarks:
    """Tells whether ends of responses are marked, and unmarked ones whole.

    All ends of a service are marked until checked ones tell otherwise.
    """

    def __init__(self) -> None:
        self._shares: dict[EndGroup, float] = {}
        self._counts: dict[EndGroup, EndCounts] = {}
        self._habits: dict[tuple[EndGroup, str], _Habit] = {}
        self._service_habits: dict[EndGroup, _Habit] = {}
        # Shares of whole ones among the checked ends of targets.
        self._sound: dict[tuple[EndGroup, str], float] = {}

    def record_marked(self, group: EndGroup, target: str) -> EndCounts | None:
        """Record a marked end; return the counts if marks become usual."""
        self._record_habit(group, target, is_marked=True)
        return self._record(group, is_marked=True)

    def record_unmarked(self, group: EndGroup, target: str) -> None:
        """Record an end without a mark that nobody has checked."""
        self._record_habit(group, target, is_marked=False)

    def record_checked(
        self, group: EndGroup, target: str, *, is_whole: bool
    ) -> EndCounts | None:
        """Record a checked end; return the counts if marks become unusual.

        One at which a response was broken off tells of its target alone.
        """
        key = (group, target)
        share = self._sound.get(key, float(is_whole))
        self._sound[key] = share + (is_whole - share) * CHECKED_WEIGHT
        if not is_whole:
            return None
        self._record_habit(group, target, is_marked=False)
        return self._record(group, is_marked=False)

    def are_usual(self, group: EndGroup) -> bool:
        """Return whether nearly all whole responses have marked ends."""
        return self._shares.get(group, 1.0) > USUAL_SHARE

    def are_marked(self, group: EndGroup) -> bool:
        """Return whether most ends that were passed on are marked."""
        habit = self._service_habits.get(group)
        return habit is not None and habit.share >= HABIT_SHARE

    def is_believed(self, group: EndGroup, target: str) -> bool:
        """Return whether an end without a mark that nobody checks is whole.

        Checked ends of the target decide, else those of the service, else
        whether the target marks its ends otherwise.
        """
        sound_share = self._sound.get((group, target))
        if sound_share is not None:
            return sound_share > SOUND_SHARE
        if not self.are_usual(group):
            return True
        habit = self._habits.get((group, target))
        if habit is None:
            habit = self._service_habits.get(group)
        return habit is None or habit.share < HABIT_SHARE

    def _record_habit(
        self, group: EndGroup, target: str, *, is_marked: bool
    ) -> None:
        nothing = _Habit(0, 0)
        others = self._service_habits.get(group, nothing)
        habit = self._habits.get((group, target))
        if habit is None:
            habit = _Habit(others.share, min(others.count, OTHERS_COUNT))
        self._habits[(group, target)] = habit.add(is_marked)
        self._service_habits[group] = others.add(is_marked)

    def _record(self, group: EndGroup, *, is_marked: bool) -> EndCounts | None:
        """Record the end of a whole response; return counts at a change."""
        were_usual = self.are_usual(group)
        share = self._shares.get(group, 1.0)
        self._shares[group] = share + (is_marked - share) * WEIGHT
        counts = self._counts.get(group, EndCounts()).add(is_marked)
        self._counts[group] = counts
        if were_usual == self.are_usual(group):
            return None
        self._counts[group] = EndCounts()
        return counts
