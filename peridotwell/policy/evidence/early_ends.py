"""Targets that ended responses early, in the ordinary way, of late.

What such a target sends without a mark of its end may have been cut in the same
way, and nothing in it tells.
"""

from peridotwell.domain.target import Target

__all__ = ('EarlyEnds',)

# A target that breaks off one in fifty of its responses may seem sound for as
# long between two of them.
KEEP_SECONDS = 60.0

# The name of a target, and what tells one start of it from another.
_ProcessKey = tuple[str, str]


class EarlyEnds:
    """When processes of targets were last found to end a response early.

    Only what is certain counts: a marked end that is missing, a part of an
    event, or a rest that another target sent, of a process that lives.
    """

    def __init__(self) -> None:
        self._found_at: dict[_ProcessKey, float] = {}

    def record(self, target: Target, now: float) -> bool:
        """Record an early end; return whether it is the first one of late."""
        is_first = not self.are_recent(target, now)
        self._found_at = {
            key: found_at
            for key, found_at in self._found_at.items()
            if now - found_at < KEEP_SECONDS
        }
        self._found_at[_key(target)] = now
        return is_first

    def are_recent(self, target: Target, now: float) -> bool:
        """Return whether a target has ended a response early of late."""
        found_at = self._found_at.get(_key(target))
        return found_at is not None and now - found_at < KEEP_SECONDS


def _key(target: Target) -> _ProcessKey:
    return target.name, target.incarnation
