"""The versions of the configuration that were told and are not in force.

The entry of such a version cannot be read, or its version number is lower than
that of the one in force.
"""

from dataclasses import dataclass

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.domain.store_order import StoreOrder
from peridotwell.store.revisions import store_revision

__all__ = ('SeenVersion', 'VersionsNotTaken')

MAX_VERSIONS = 16


@dataclass(frozen=True)
class SeenVersion:
    """A version that the store or a peer has told.

    `version` is None if the number of the version cannot be read.
    """

    version: int | None
    revision: StoreOrder

    def is_newer_than(self, table: RoutingTable | None) -> bool:
        """Return whether this version is newer than the one in force."""
        if table is None:
            return True
        if self.version is None:
            return self.revision > table.revision
        return (self.version, self.revision) > (table.version, table.revision)

    def is_lower_but_later(self, table: RoutingTable | None) -> bool:
        """Return whether the store has executed its write after `table`.

        Its number is lower all the same.
        """
        return (
            table is not None
            and self.revision > table.revision
            and not self.is_newer_than(table)
        )

    @property
    def order(self) -> tuple[bool, int, int]:
        """Orders versions; those without a number come first."""
        return self.version is not None, self.version or 0, self.revision

    @property
    def label(self) -> str:
        """The version and the store's revision for the log, such as 60@112."""
        version = '?' if self.version is None else self.version
        return f'{version}@{store_revision(self.revision)}'


class VersionsNotTaken:
    """The last versions that were not taken, at most `MAX_VERSIONS`."""

    def __init__(self) -> None:
        # Number of versions that were not taken since the start.
        self.count = 0
        self._by_revision: dict[StoreOrder, SeenVersion] = {}

    def record(self, seen: SeenVersion, table: RoutingTable | None) -> None:
        """Record that a version was not taken while `table` is in force.

        If there are many, one that is not newer than `table` is forgotten.
        """
        self.count += 1
        self._by_revision[seen.revision] = seen
        if len(self._by_revision) > MAX_VERSIONS:
            least = min(
                self._by_revision.values(),
                key=lambda each: (each.is_newer_than(table), each.revision),
            )
            self._by_revision.pop(least.revision)

    def is_known(self, revision: StoreOrder) -> bool:
        """Return whether the version of a revision was not taken before."""
        return revision in self._by_revision

    def newest(self, table: RoutingTable | None) -> SeenVersion | None:
        """Return the newest one that is newer than `table`, if any."""
        newer = [
            each
            for each in self._by_revision.values()
            if each.is_newer_than(table)
        ]
        return max(
            newer,
            key=lambda each: (each.version or 0, each.revision),
            default=None,
        )

    def behind(self, table: RoutingTable | None) -> int:
        """Return the newest version number seen less the one in force.

        It is at least 1 while a newer version is not in force, also if its
        number cannot be read, and 0 otherwise.
        """
        newest = self.newest(table)
        if newest is None:
            return 0
        in_force = table.version if table else 0
        return max((newest.version or 0) - in_force, 1)
