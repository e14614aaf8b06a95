"""Tells apart crashes of a target whose restarts are not heard of.

While a router lacks the latest entries, a target that has crashed and started
again still has its earlier incarnation there. A request that came after the
crash, and was lost with the target as well, shows that it has started again.
"""

from peridotwell.domain.target import Target, wire_id

__all__ = ('UntoldRestarts',)

MAX_TARGETS = 4096
# Target and incarnation, as wire ids.
IncarnationId = tuple[int, int]


class UntoldRestarts:
    """Counts the restarts that crashes of targets have shown.

    Times are in seconds of the router's own clock.
    """

    def __init__(self) -> None:
        # By incarnation: the restarts, and when the last crash was found.
        self._crashes: dict[IncarnationId, tuple[int, float]] = {}

    def record_crash(
        self, target: Target, came_at: float, now: float, *, is_told: bool
    ) -> int:
        """Record a crash; return the id of the process that crashed.

        `came_at` is when the latest request came that was lost in it. The
        restarts of targets that are listed are known if `is_told`. Routers
        that find the same crash of the first process return the same id.
        """
        known = self._crashes.pop(target.incarnation_id, None)
        restarts = 0
        if known is not None:
            restarts, crashed_at = known
            restarts += not is_told and came_at > crashed_at
        elif len(self._crashes) >= MAX_TARGETS:
            self._crashes.pop(next(iter(self._crashes)))
        self._crashes[target.incarnation_id] = restarts, now
        name = f'{target.name}|{target.incarnation}'
        return wire_id(f'{name}|{restarts}' if restarts else name)
