"""The revisions that peers know, before their changes are here.

They tell of restores of the store that only a peer has inferred.
"""

from collections.abc import Callable

from peridotwell.domain.store_order import NO_ORDER, StoreOrder

__all__ = ('PeerRevisions',)


class PeerRevisions:
    """Tells its listeners the latest revision of any peer."""

    def __init__(self) -> None:
        self._latest = NO_ORDER
        self._listeners: list[Callable[[StoreOrder], object]] = []

    def on_later(self, listener: Callable[[StoreOrder], object]) -> None:
        """Call `listener` with each revision that is later than the last."""
        self._listeners.append(listener)

    def hear(self, revision: StoreOrder) -> None:
        """Hear the revision that a peer knows."""
        if revision > self._latest:
            self._latest = revision
            for listener in self._listeners:
                listener(revision)
