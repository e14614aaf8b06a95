"""Judges whether changes of the configuration are in force in time, and stay.

A request must be handled as some version allows that may be in force.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from operator import attrgetter

from tests.soak.guarantees import STATUSES_NOT_RUN
from tests.soak.records import (
    Answered,
    Arrived,
    EntryWritten,
    Record,
    RouterStarted,
    Sent,
    VersionWritten,
    select,
)
from tests.soak.touch import Touch
from tests.soak.versions import ADDED, MOVED, allows

__all__ = (
    'IN_FORCE_SECONDS',
    'bound_share',
    'collect_handlings',
    'is_allowed',
    'judge_configuration',
)

# A version is in force this long after the store's answer; longer while the
# store has faults, but answers.
IN_FORCE_SECONDS = 2.0
UNSTABLE_SECONDS = 5.0
# A router that has shown a version may still go by an older one for this long.
ROLLBACK_SECONDS = 0.25
FIRST_VERSION = 1


@dataclass(frozen=True)
class _Handling:
    """When and how a request was handled: it ran, or it was refused.

    It ran on a target of `service`.
    """

    at: float
    ran: bool
    how: str
    service: str = ''


class _Shown:
    """The newest version that the runs of one router have shown.

    It holds for one process, and until the store goes back in time.
    """

    def __init__(self, touch: Touch) -> None:
        self._touch = touch
        self._starts: list[float] = []
        self._times: list[float] = []
        self._versions: list[int] = []

    def start(self, at: float) -> None:
        self._starts.append(at)

    def show(self, at: float, version: int) -> None:
        if self._times and self._holds(self._times[-1], at):
            version = max(version, self._versions[-1])
        self._times.append(at)
        self._versions.append(version)

    def newest(self, sent_at: float, handled_at: float) -> int:
        """Return the version by which a request must be handled, or 0."""
        index = bisect_left(self._times, sent_at - ROLLBACK_SECONDS) - 1
        if index < 0 or not self._holds(self._times[index], handled_at):
            return 0
        return self._versions[index]

    def _holds(self, begin: float, end: float) -> bool:
        is_restarted = any(begin < start <= end for start in self._starts)
        return not is_restarted and not self._touch.was_restored(begin, end)


def judge_configuration(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations of CONFIG and DENIED; `records` are in order."""
    records = tuple(records)
    touch = Touch(records)
    versions = tuple(select(records, VersionWritten))
    handlings = collect_handlings(records)
    shown = _collect_shown(records, touch)
    for sent in select(records, Sent):
        for handling in handlings[sent.request_id]:
            floors = {
                'DENIED': FIRST_VERSION,
                'CONFIG (in time)': _version_in_force(
                    versions, touch, sent, handling.at
                ),
                'CONFIG (older again)': shown[sent.router].newest(
                    sent.at, handling.at
                ),
            }
            for rule, floor in floors.items():
                if not is_allowed(versions, sent, handling, floor):
                    yield (
                        f'{rule}: {sent} {handling.how} at {handling.at:.3f}, '
                        f'which no version from {floor} on allows'
                    )
                    break


def bound_share(records: Iterable[Record]) -> float:
    """Return the share of handled requests for which the bound of time held.

    The rest are requests to routers that were out of touch.
    """
    records = tuple(records)
    touch = Touch(records)
    versions = tuple(select(records, VersionWritten))
    handlings = collect_handlings(records)
    is_bound = [
        _version_in_force(versions, touch, sent, handling.at) > 0
        for sent in select(records, Sent)
        for handling in handlings[sent.request_id]
    ]
    return sum(is_bound) / max(len(is_bound), 1)


def collect_handlings(records) -> dict[str, list[_Handling]]:
    """Return how each request was handled, by its id."""
    handlings = defaultdict(list)
    services = {
        each.target: each.service for each in select(records, EntryWritten)
    }
    for record in records:
        match record:
            case Arrived(runs=True):
                service = services.get(record.target, '')
                how = f'ran on {record.target} {service}'.strip()
                handling = _Handling(record.at, True, how, service)
                handlings[record.request_id].append(handling)
            case Answered(receipt='') if _is_denial(record.status):
                how = f'was refused with {record.status}'
                handling = _Handling(record.at, ran=False, how=how)
                handlings[record.request_id].append(handling)
    return handlings


def _is_denial(status: int) -> bool:
    return 300 <= status < 500 and status not in STATUSES_NOT_RUN


def _collect_shown(records, touch: Touch) -> dict[str, _Shown]:
    shown = defaultdict(lambda: _Shown(touch))
    sent = {each.request_id: each for each in select(records, Sent)}
    for record in records:
        match record:
            case RouterStarted():
                shown[record.router].start(record.at)
            case Arrived(runs=True) if record.request_id in sent:
                request = sent[record.request_id]
                for name in (request.route, request.key):
                    if name.startswith(ADDED):
                        version = int(name.removeprefix(ADDED))
                        shown[request.router].show(record.at, version)
    return shown


def _version_in_force(
    versions, touch: Touch, sent: Sent, handled_at: float
) -> int:
    if not touch.is_router_calm(sent.router, sent.at, handled_at):
        return 0
    if not touch.is_store_reachable(sent.at, handled_at):
        return 0
    bound = IN_FORCE_SECONDS
    if not touch.is_store_calm(sent.at, handled_at):
        bound += UNSTABLE_SECONDS
    in_force = (each for each in versions if each.at < sent.at - bound)
    for version in sorted(in_force, key=attrgetter('version'), reverse=True):
        # The soak's own store may have been late to tell the router in time.
        waited = touch.soak_late_seconds(
            'store', version.at, version.at + bound
        )
        if version.at < sent.at - bound - waited:
            return version.version
    return 0


def is_allowed(versions, sent: Sent, handling: _Handling, floor: int) -> bool:
    """Whether a version handles a request so that is `floor` or newer."""
    return any(
        _is_handling_of(each, sent, handling)
        for each in versions
        if each.version >= floor and each.began_at < handling.at
    )


def _is_handling_of(
    version: VersionWritten, sent: Sent, handling: _Handling
) -> bool:
    if allows(version.version, sent.route, sent.key) != handling.ran:
        return False
    is_elsewhere = handling.service != version.moved_to
    return not (handling.ran and sent.route == MOVED and is_elsewhere)
