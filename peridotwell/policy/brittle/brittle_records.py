"""What routers tell each other of targets that may be brittle."""

from functools import lru_cache

import msgspec

from peridotwell.domain.target import wire_id

__all__ = ('NO_REJECTION', 'BrittleRecord', 'age_of', 'service_id', 'time_of')

MAX_SERVICE_IDS = 4096
DECISECONDS_PER_SECOND = 10
NO_REJECTION = -1


class BrittleRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a target incarnation last said, by wire ids.

    `max_rejections_per_second` is None if it is not brittle, or not any more.
    `full_requests` is the number of requests that it had when it last rejected
    one, or -1. Ages are in tenths of a second.
    """

    target: int
    incarnation: int
    service: int
    max_rejections_per_second: float | None
    slots: int = 0
    age_deciseconds: int = 0
    full_requests: int = NO_REJECTION
    rejection_age_deciseconds: int = 0

    @property
    def key(self) -> int:
        """The target."""
        return self.target


@lru_cache(maxsize=MAX_SERVICE_IDS)
def service_id(name: str) -> int:
    """Return the id of a service in messages between routers."""
    return wire_id(name)


def age_of(at: float, now: float) -> int:
    """Return the age of a time in tenths of a second, 0 if it is to come."""
    return int(max(now - at, 0) * DECISECONDS_PER_SECOND)


def time_of(age_deciseconds: int, now: float) -> float:
    """Return the time of which `age_of` is the age."""
    return now - age_deciseconds / DECISECONDS_PER_SECOND
