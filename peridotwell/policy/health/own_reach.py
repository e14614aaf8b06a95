"""Which targets this router cannot reach, as it tells the other routers."""

from collections.abc import Iterable

__all__ = ('MAX_TOLD_TARGETS', 'OwnReach')

# A router that cannot reach more targets tells so many of them.
MAX_TOLD_TARGETS = 16


class OwnReach:
    """The wire ids of the targets to which no connection can be made."""

    def __init__(self) -> None:
        self.has_changed = False
        self._targets: tuple[int, ...] = ()

    def set(self, targets: Iterable[int]) -> None:
        """Set the targets that cannot be reached."""
        told = tuple(sorted(targets)[:MAX_TOLD_TARGETS])
        if told != self._targets:
            self._targets = told
            self.has_changed = True

    def take(self, *, include_unchanged: bool) -> tuple[int, ...] | None:
        """Return the targets for an update, None if there is nothing to tell.

        They are told when they change, and with `include_unchanged`.
        """
        if not (self.has_changed or include_unchanged):
            return None
        self.has_changed = False
        return self._targets
