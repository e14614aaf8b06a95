"""Tells which entries of a routing table could not be read."""

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.logs import log_failure

__all__ = ('log_table_faults',)

# One line names so many; a document may have hundreds of entries.
MAX_FAULTS_IN_LINE = 20


def log_table_faults(table: RoutingTable) -> None:
    """Log the entries of a table that could not be read, if any."""
    if table.faults:
        log_failure(
            'table.entries_unreadable',
            version=table.version,
            unreadable=len(table.faults),
            faults=' '.join(table.faults[:MAX_FAULTS_IN_LINE]),
            revision=table.revision,
        )
