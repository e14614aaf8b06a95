"""From where an entry of the store was taken."""

from enum import Enum

__all__ = ('EntrySource',)


class EntrySource(Enum):
    """From where an entry was taken."""

    store_changes = 'store changes'
    store_snapshot = 'store snapshot'
    store_read = 'store read'
    peer_changes = 'peer changes'
    peer_snapshot = 'peer snapshot'

    @property
    def is_peer(self) -> bool:
        """Whether another router has told the entry."""
        return self in {EntrySource.peer_changes, EntrySource.peer_snapshot}
