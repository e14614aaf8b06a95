"""What routers tell each other of how the ids of events go up."""

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

import msgspec

from peridotwell.domain.target import Target, wire_id

__all__ = ('Evidence', 'Known', 'StepRecord', 'version_id')

MAX_VERSION_IDS = 4096
DECISECONDS_PER_SECOND = 10
# What streams show is told again while there are steps. What another target
# has shown is asked for again after its time: two may share one fault.
STREAMS_TTL_SECONDS = 600.0
CERTAIN_TTL_SECONDS = 600.0


class Evidence(IntEnum):
    """What tells how the ids of a software version of a service go up.

    `streams`: those of its targets go up by one. `had_event`: another target
    had the event that one left out. `same_step`: another target, asked for the
    rest, began at the same later id, so ids jump.
    """

    streams = 0
    had_event = 1
    same_step = 2


class StepRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a software version of a service, by wire id.

    `evidence` is a number of Evidence, or one that later versions tell.
    """

    version: int
    evidence: int
    age_deciseconds: int = 0

    @property
    def key(self) -> int:
        """The software version of the service."""
        return self.version

    def known(self, now: float) -> 'Known | None':
        """Return what it tells; None if it is of a later version."""
        if self.evidence not in frozenset(Evidence):
            return None
        age_seconds = self.age_deciseconds / DECISECONDS_PER_SECOND
        return Known(Evidence(self.evidence), now - age_seconds)


@dataclass(frozen=True)
class Known:
    """Evidence, and when it was last seen."""

    evidence: Evidence
    seen_at: float

    @property
    def is_certain(self) -> bool:
        """Whether two targets were compared."""
        return self.evidence is not Evidence.streams

    def is_expired(self, now: float) -> bool:
        """Return whether it was seen too long ago."""
        ttl = CERTAIN_TTL_SECONDS if self.is_certain else STREAMS_TTL_SECONDS
        return now - self.seen_at >= ttl

    def outweighs(self, other: 'Known | None') -> bool:
        """Return whether it stands against what was known before."""
        if other is None:
            return True
        return (self.is_certain, self.seen_at) > (
            other.is_certain,
            other.seen_at,
        )

    def record(self, version: int, now: float) -> StepRecord:
        """Return it as it is told to others."""
        age_seconds = max(now - self.seen_at, 0)
        return StepRecord(
            version,
            int(self.evidence),
            int(age_seconds * DECISECONDS_PER_SECOND),
        )


@lru_cache(maxsize=MAX_VERSION_IDS)
def _version_id(service: str, software_id: int) -> int:
    return wire_id(f'{service}/{software_id}')


def version_id(service: str, target: Target) -> int:
    """Return the id of the software version of a target of a service."""
    return _version_id(service, target.software_id)
