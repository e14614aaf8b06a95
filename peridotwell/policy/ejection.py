"""Targets that fail or fall silent are set aside, and let back.

A target is judged by the outcomes of requests. It is set aside after
failures in a row, for a pause that doubles; then requests try it again. Of
targets that can be reached, never more than a share of a service is set aside.
"""

from collections.abc import Iterable, Sequence

from peridotwell.world.target import Target

__all__ = ('Ejection',)

FAILURES_IN_A_ROW = 2
FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 8.0
LARGEST_SHARE = 0.5


class _Record:
    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.until = float(0)
        self.is_unreachable = False


class Ejection:
    """Outcomes of each target, by name."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def succeeded(self, name: str) -> None:
        """Count a good outcome."""
        self._records.pop(name, None)

    def failed(
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
        was_aside = record.until > now
        if not was_aside:
            pause = FIRST_PAUSE_SECONDS * 2**record.ejections
            record.until = now + min(pause, LONGEST_PAUSE_SECONDS)
            record.ejections += 1
        return not was_aside

    def is_aside(self, name: str, now: float) -> bool:
        """Whether a target is set aside."""
        record = self._records.get(name)
        return record is not None and record.until > now

    def usable(
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
        kept = [
            target
            for target in reachable
            if not self.is_aside(target.name, now)
        ]
        if len(kept) < len(reachable) * (1 - LARGEST_SHARE):
            return reachable
        return kept or targets

    def _is_unreachable(self, name: str, now: float) -> bool:
        record = self._records.get(name)
        return (
            record is not None and record.is_unreachable and record.until > now
        )

    def forget(self, names: Iterable[str]) -> None:
        """Keep records only of the targets named."""
        known = set(names)
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in known
        }
