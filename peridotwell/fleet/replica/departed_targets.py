"""Targets that have left, in case the store lists them again.

A store that is restored from an older copy lists targets in their state of
then. One that has said that it leaves stays out until it starts again. One that
was removed without that may be live, since its lease may have expired: it stays
out until it writes its entry again, or has stayed listed for some time.

A report whose response was lost may be executed late, after newer ones. It is
told by its number: reports are ordered by their target, not by their arrival.
"""

from dataclasses import dataclass, replace

from peridotwell.domain.store_order import StoreOrder
from peridotwell.domain.target import ReportNumber, Target
from peridotwell.logs import log_event
from peridotwell.store.base import Entry
from peridotwell.store.revisions import era_of

__all__ = ('DepartedTargets',)

# The entry of a target that is not live expires within this time of a restore.
EXPIRY_SECONDS = 5.0
# A report that seems to be from an earlier start is of a live target if it has
# stayed for this time: the time of day of its machine was set back.
EARLIER_START_SECONDS = 10.0
# Number of targets that are remembered.
MAX_DEPARTED = 2000


@dataclass(frozen=True)
class _Departure:
    """Who left, in which era, and whether it had said that it leaves."""

    incarnation: str
    era: int
    is_final: bool
    report: ReportNumber | None


@dataclass(frozen=True)
class _Held:
    """A target that is listed again but kept out until a time."""

    target: Target
    until: float


class DepartedTargets:
    """Remembers departures, and the targets that are kept out."""

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}
        self._held: dict[str, _Held] = {}

    def record(self, key: str, target: Target, revision: StoreOrder) -> None:
        """Record that a target leaves or was removed at a revision."""
        previous = self._departures.pop(key, None)
        was_final = (
            previous is not None
            and previous.is_final
            and previous.incarnation == target.incarnation
        )
        report = target.report
        if previous is not None and target.is_reported_before(previous.report):
            report = previous.report
        self._departures[key] = _Departure(
            target.incarnation,
            era_of(revision),
            target.leaving or was_final,
            report,
        )
        self._held.pop(key, None)
        if len(self._departures) > MAX_DEPARTED:
            self._departures.pop(next(iter(self._departures)))

    def check(self, entry: Entry, target: Target, now: float) -> Target:
        """Return a listed target, as leaving if it has left before."""
        departure = self._departures.pop(entry.key, None)
        if departure is not None and target.is_reported_before(
            departure.report
        ):
            return self._keep_out_late(entry, target, departure, now)
        self._held.pop(entry.key, None)
        if departure is None:
            return target
        era = era_of(entry.revision)
        if departure.incarnation != target.incarnation or departure.era >= era:
            return target
        # What it writes after this entry, in the same era, is its own word.
        self._departures[entry.key] = replace(departure, era=era)
        if not departure.is_final:
            self._hold(entry.key, target, now + EXPIRY_SECONDS)
        return replace(target, leaving=True)

    def is_late(
        self, entry: Entry, target: Target, known: Target, now: float
    ) -> bool:
        """Return whether a listed target is as it was before `known`.

        One from an earlier start is released if it stays.
        """
        if not target.is_reported_before(known.report):
            return False
        if target.incarnation != known.incarnation:
            self._hold_earlier_start(entry.key, target, now)
        _log_late(entry, target, known.report)
        return True

    def pop_released(self, now: float) -> dict[str, Target]:
        """Remove and return the targets that have stayed listed long enough."""
        released = {
            key: held.target
            for key, held in self._held.items()
            if held.until <= now
        }
        for key in released:
            self._held.pop(key)
            self._departures.pop(key, None)
        return released

    def _keep_out_late(
        self, entry: Entry, target: Target, departure: _Departure, now: float
    ) -> Target:
        """Return a target whose report is late, as leaving."""
        self._departures[entry.key] = replace(
            departure, era=era_of(entry.revision)
        )
        is_same_start = departure.incarnation == target.incarnation
        if is_same_start and departure.is_final:
            self._held.pop(entry.key, None)
        elif is_same_start:
            self._hold(entry.key, target, now + EXPIRY_SECONDS)
        else:
            self._hold_earlier_start(entry.key, target, now)
        _log_late(entry, target, departure.report)
        return replace(target, leaving=True)

    def _hold_earlier_start(self, key: str, target: Target, now: float) -> None:
        """Keep a target out for some time after the first report of its start.

        A live target goes on reporting: that must not delay its release.
        """
        until = now + EARLIER_START_SECONDS
        held = self._held.get(key)
        if held is not None and held.target.incarnation == target.incarnation:
            until = min(until, held.until)
        self._hold(key, target, until)

    def _hold(self, key: str, target: Target, until: float) -> None:
        self._held[key] = _Held(target, until)


def _log_late(entry: Entry, target: Target, known: ReportNumber | None) -> None:
    log_event(
        'target.report_late',
        target=target.name,
        leaving=target.leaving,
        report=str(target.report),
        known_report=str(known),
        revision=entry.revision,
    )
