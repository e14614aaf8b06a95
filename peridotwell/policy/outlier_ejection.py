"""Targets that fail or fall silent are set aside, and let back.

A target is judged by the outcomes of requests. It is set aside after
failures in a row, or when it answers too many requests with errors, for a pause
that doubles; then requests try it again. Of targets that can be reached, never
more than a share of a service is set aside, and none for errors that many of
its targets make.
"""

from collections.abc import Iterable, Sequence

from peridotwell.domain.target import Target

__all__ = ('OutlierEjection',)

FAILURES_IN_A_ROW = 2
FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 8.0
LARGEST_SHARE = 0.5
# Weight of the latest answer in a target's rate of errors.
RATE_WEIGHT = 0.2
# Two errors in a row, or some among good answers.
BAD_RATE = 0.3
# So small a rate is forgotten.
GOOD_RATE = 0.05
# Errors of more targets than this share are the service's, or the requests'.
LARGEST_BAD_SHARE = 1 / 3


class _Record:
    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.until = float(0)
        self.is_unreachable = False
        self.error_rate = float(0)

    def set_aside(self, now: float) -> bool:
        """Begin a pause, longer than the last; False if one has begun."""
        if self.until > now:
            return False
        pause = FIRST_PAUSE_SECONDS * 2**self.ejections
        self.until = now + min(pause, LONGEST_PAUSE_SECONDS)
        self.ejections += 1
        return True


class OutlierEjection:
    """Outcomes of each target, by name."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, name: str) -> None:
        """Count a good outcome."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures = 0
        record.is_unreachable = False
        record.error_rate *= 1 - RATE_WEIGHT
        if record.error_rate < GOOD_RATE:
            self._records.pop(name)

    def record_error_response(self, name: str, now: float) -> bool:
        """Count an error that a target answered; True if it is set aside."""
        record = self._records.setdefault(name, _Record())
        record.error_rate += (1 - record.error_rate) * RATE_WEIGHT
        return record.error_rate >= BAD_RATE and record.set_aside(now)

    def record_failure(
        self,
        name: str,
        now: float,
        *,
        is_unreachable: bool = False,
    ) -> bool:
        """Count a bad outcome; True if the target is set aside by it.

        A target that cannot be reached needs no second failure.
        """
        record = self._records.setdefault(name, _Record())
        record.failures += 1
        record.is_unreachable = is_unreachable
        if record.failures < FAILURES_IN_A_ROW and not is_unreachable:
            return False
        return record.set_aside(now)

    def is_ejected(self, name: str, now: float) -> bool:
        """Whether a target is set aside."""
        record = self._records.get(name)
        return record is not None and record.until > now

    def usable_targets(
        self,
        targets: Sequence[Target],
        now: float,
    ) -> Sequence[Target]:
        """Return the targets to use.

        Those that fail are used too if too many of them do; those that cannot
        be reached only if there are no others.
        """
        reachable = [
            target
            for target in targets
            if not self._is_unreachable(target.name, now)
        ]
        bad = [each for each in reachable if self._is_bad(each.name, now)]
        spared = bad if len(bad) > len(reachable) * LARGEST_BAD_SHARE else []
        kept = [
            target
            for target in reachable
            if target in spared or not self.is_ejected(target.name, now)
        ]
        if len(kept) < len(reachable) * (1 - LARGEST_SHARE):
            return reachable
        return kept or targets

    def _is_unreachable(self, name: str, now: float) -> bool:
        record = self._records.get(name)
        return (
            record is not None and record.is_unreachable and record.until > now
        )

    def _is_bad(self, name: str, now: float) -> bool:
        """Whether a target is set aside for the errors that it answers."""
        record = self._records.get(name)
        return (
            record is not None
            and record.until > now
            and record.error_rate >= GOOD_RATE
        )

    def keep_only(self, names: Iterable[str]) -> None:
        """Keep records only of the targets named."""
        known = set(names)
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in known
        }
