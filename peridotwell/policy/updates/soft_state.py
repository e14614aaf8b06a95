"""State that all routers should have, told in records that expire.

Pattern: anti-entropy of soft state. Records are told when they change, and
repeated while they are in force, so that a router that missed one, was cut off
or has just started has them soon. Merging is commutative, associative and
idempotent, and records carry their age, not a time of day.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import Generic, Protocol, TypeVar

__all__ = ('SoftRecord', 'SoftState')


class SoftRecord(Protocol):
    """A record of soft state."""

    @property
    def key(self) -> int:
        """The number of what the record is about."""


RecordT = TypeVar('RecordT', bound=SoftRecord)


class SoftState(ABC, Generic[RecordT]):
    """The records of one kind that a router has."""

    @abstractmethod
    def merge(
        self, records: Iterable[RecordT], now: float
    ) -> Iterable[RecordT]:
        """Merge records of another router.

        Returns records that this router has changed in turn.
        """

    @abstractmethod
    def to_repeat(self, now: float) -> Iterator[RecordT]:
        """Yield the records in force that other routers may lack."""

    @abstractmethod
    def expire(self, now: float) -> None:
        """Remove what has expired."""
