"""Outlier ejection: targets that fail get no new requests for some time.

A target is ejected after consecutive failures, or when its rate of error
responses is too high. The ejection time doubles with each ejection; after it,
requests try the target again. A target that cannot be reached is probed first,
so that no request waits for a connection that cannot be made. At most a fixed
share of the reachable targets of a service is ejected, and none for errors if
many targets of the service respond with errors.
"""

from collections.abc import Iterable, Sequence

from peridotwell.domain.target import Target

__all__ = ('OutlierEjection',)

CONSECUTIVE_FAILURES = 2
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# A probe of a target that cannot be reached is only a connection.
MAX_UNREACHABLE_SECONDS = 2.0
# Time that a probe has to report, after which requests try the target.
PROBE_SECONDS = 1.0
MAX_EJECTED_SHARE = 0.5
# Weight of the latest response in the moving average of the error rate.
ERROR_RATE_WEIGHT = 0.2
# Error rate that ejects a target. Two consecutive errors reach it, and so do
# some errors among good responses.
EJECTION_ERROR_RATE = 0.3
# Error rates below this value count as none: a success that lowers the rate of
# a target below it removes the record of the target.
NEGLIGIBLE_ERROR_RATE = 0.05
# If a larger share of the targets responds with errors, the service or its
# requests are the cause, and no target is ejected for errors.
MAX_ERROR_SHARE = 1 / 3


class _Record:
    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float(0)
        self.is_unreachable = False
        self.error_rate = float(0)

    def eject(self, now: float) -> bool:
        """Eject the target, longer each time; False if it is ejected now."""
        if self.ejected_until > now:
            return False
        duration = FIRST_EJECTION_SECONDS * 2**self.ejections
        longest = (
            MAX_UNREACHABLE_SECONDS
            if self.is_unreachable
            else MAX_EJECTION_SECONDS
        )
        self.ejected_until = now + min(duration, longest)
        self.ejections += 1
        return True


class OutlierEjection:
    """Outcomes of requests, by target name."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, name: str) -> None:
        """Record a request that succeeded."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures = 0
        record.is_unreachable = False
        record.error_rate *= 1 - ERROR_RATE_WEIGHT
        if record.error_rate < NEGLIGIBLE_ERROR_RATE:
            self._records.pop(name)

    def record_error_response(self, name: str, now: float) -> bool:
        """Record an error response; return whether it ejects the target."""
        record = self._records.setdefault(name, _Record())
        record.is_unreachable = False
        record.error_rate += (1 - record.error_rate) * ERROR_RATE_WEIGHT
        return record.error_rate >= EJECTION_ERROR_RATE and record.eject(now)

    def record_failure(
        self,
        name: str,
        now: float,
        *,
        is_unreachable: bool = False,
    ) -> bool:
        """Record a failed request; return whether it ejects the target.

        The first failure ejects a target that cannot be reached.
        """
        record = self._records.setdefault(name, _Record())
        record.failures += 1
        # Silence or a lost response does not show that it can be reached.
        record.is_unreachable |= is_unreachable
        if record.failures < CONSECUTIVE_FAILURES and not is_unreachable:
            return False
        return record.eject(now)

    def record_reachable(self, name: str) -> bool:
        """Record that a probe has reached a target.

        Returns whether it was unreachable.
        """
        record = self._records.get(name)
        if record is None or not record.is_unreachable:
            return False
        record.is_unreachable = False
        return True

    def to_probe(self, now: float) -> Sequence[str]:
        """Return the unreachable targets whose ejection has ended."""
        return tuple(
            name
            for name, record in self._records.items()
            if record.is_unreachable and record.ejected_until <= now
        )

    def unreachable_targets(self) -> frozenset[str]:
        """Return the targets to which no connection could be made."""
        return frozenset(
            name
            for name, record in self._records.items()
            if record.is_unreachable
        )

    def reachable_targets(
        self, targets: Sequence[Target], now: float
    ) -> Sequence[Target]:
        """Return the targets to which a connection can be made."""
        if not self._has_unreachable():
            return targets
        return [
            target
            for target in targets
            if not self._is_unreachable(target.name, now)
        ]

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether a target is ejected."""
        record = self._records.get(name)
        return record is not None and record.ejected_until > now

    def usable_targets(
        self,
        targets: Sequence[Target],
        now: float,
    ) -> Sequence[Target]:
        """Return the targets that may get requests.

        Ejected targets are included if too many targets are ejected, and
        unreachable targets only if there are no others.
        """
        reachable = self.reachable_targets(targets, now)
        ejected = self._ejected_names(now)
        if not ejected:
            return reachable or targets
        failing = {
            each.name
            for each in reachable
            if self._is_ejected_for_errors(each.name, now)
        }
        if len(failing) > len(reachable) * MAX_ERROR_SHARE:
            ejected -= failing
        kept = [target for target in reachable if target.name not in ejected]
        if len(kept) < len(reachable) * (1 - MAX_EJECTED_SHARE):
            return reachable
        return kept or targets

    def _ejected_names(self, now: float) -> set[str]:
        return {
            name
            for name, record in self._records.items()
            if record.ejected_until > now
        }

    def _has_unreachable(self) -> bool:
        return any(record.is_unreachable for record in self._records.values())

    def _is_unreachable(self, name: str, now: float) -> bool:
        record = self._records.get(name)
        return (
            record is not None
            and record.is_unreachable
            and now < record.ejected_until + PROBE_SECONDS
        )

    def _is_ejected_for_errors(self, name: str, now: float) -> bool:
        """Return whether a target is ejected for its error responses."""
        record = self._records.get(name)
        return (
            record is not None
            and record.ejected_until > now
            and record.error_rate >= NEGLIGIBLE_ERROR_RATE
        )

    def keep_only(self, names: Iterable[str]) -> None:
        """Remove the records of targets that are not in `names`."""
        kept_names = set(names)
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in kept_names
        }
