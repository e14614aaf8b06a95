"""Targets: the model engines and plain services that run requests."""

from dataclasses import dataclass
from enum import Enum
from functools import cached_property

import xxhash

__all__ = ('TargetKind', 'Pool', 'ReportNumber', 'Target', 'wire_id')


class TargetKind(Enum):
    """Whether a target is a model engine or a plain service."""

    engine = 'engine'
    service = 'service'


def wire_id(name: str) -> int:
    """Return the 32-bit id of `name` in messages between routers."""
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(frozen=True)
class Pool:
    """A group of interchangeable targets in one data centre.

    `name` is the model that engines serve, or the name of a plain service.
    """

    data_centre: str
    name: str

    @property
    def wire_id(self) -> int:
        """The id of this pool in messages between routers."""
        return wire_id(f'{self.data_centre}/{self.name}')


@dataclass(frozen=True, order=True)
class ReportNumber:
    """The place of a report among all that targets of one name have written.

    `started_milliseconds` is when the target started, by its own time of day;
    `number` counts its reports since then.
    """

    started_milliseconds: int
    number: int


@dataclass(frozen=True)
class Target:
    """One target as the platform lists it.

    `weight` is its share of the pool's requests relative to the other
    targets, `slots` the number of requests that it can run at once (0: not
    limited). `incarnation` distinguishes successive starts under the same
    name. `software` is the version of its software, '' if unknown. `report` is
    the number of the report that it is described by, None if it has none.
    `cold_left_seconds` is how long it is still cold, by its own report; None
    if it reports nothing usable. `started_milliseconds` is when it started, by
    its own time of day, 0 if unknown. `odd_fields` are the fields of its entry
    that were left out because they could not be used.
    """

    name: str
    address: str
    kind: TargetKind
    pool: Pool
    weight: float = 1
    slots: int = 0
    incarnation: str = ''
    leaving: bool = False
    software: str = ''
    report: ReportNumber | None = None
    cold_left_seconds: float | None = None
    started_milliseconds: int = 0
    odd_fields: tuple[str, ...] = ()

    def is_reported_before(self, other: ReportNumber | None) -> bool:
        """Return whether this is an older report than another one."""
        if self.report is None or other is None:
            return False
        return self.report < other

    @cached_property
    def wire_id(self) -> int:
        """The id of this target in messages between routers."""
        return wire_id(self.name)

    @cached_property
    def incarnation_id(self) -> tuple[int, int]:
        """The wire ids of the target and of its incarnation."""
        return self.wire_id, wire_id(self.incarnation)

    @cached_property
    def software_id(self) -> int:
        """The id of its software version in messages between routers."""
        return wire_id(self.software)
