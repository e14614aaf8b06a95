"""Which targets may have started again, by what their connections have shown.

A process that ends closes its connections and its port. What is found at its
address afterwards may be another process, of another software version, under
the same name. The entry of the target describes it only if the entry is known
to hold at a later time than that at which the process was found.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, replace

from peridotwell.domain.target import Target

__all__ = ('RestartSigns',)


@dataclass(frozen=True)
class _Sign:
    """That the process which an entry describes has ended, or may have.

    `found_at` is when a process was found at its address afterwards.
    """

    described: tuple[str, str]
    is_certain: bool
    found_at: float = math.inf


class RestartSigns:
    """The signs that the processes of targets have ended."""

    def __init__(self) -> None:
        self._signs: dict[str, _Sign] = {}

    def record_end(self, target: Target, *, is_certain: bool) -> None:
        """Record that the process of a target has ended, or may have."""
        known = self._sign(target)
        was_certain = known is not None and known.is_certain
        self._signs[target.name] = _Sign(
            _described(target), is_certain or was_certain
        )

    def record_same(self, target: Target) -> None:
        """Record that a connection from before the last sign is open."""
        known = self._sign(target)
        if known is not None and not known.is_certain:
            self._signs.pop(target.name)

    def record_found(self, target: Target, now: float) -> bool:
        """Record that there is a process at the address of a target.

        Returns whether this is the first one after a sign.
        """
        known = self._sign(target)
        if known is None or math.isfinite(known.found_at):
            return False
        self._signs[target.name] = replace(known, found_at=now)
        return True

    def record_known(self, target: Target, known_until: float) -> None:
        """Forget a sign that an entry outlives which holds up to a time."""
        known = self._sign(target)
        if known is not None and known_until > known.found_at:
            self._signs.pop(target.name)

    def found_at(self, target: Target) -> float | None:
        """Return when a process was found after the last sign, or None."""
        known = self._sign(target)
        if known is None or math.isinf(known.found_at):
            return None
        return known.found_at

    def may_have_restarted(
        self, target: Target, known_until: float, *, is_store_away: bool
    ) -> bool:
        """Return whether its entry may describe a process that has ended.

        The entry is known to hold until `known_until`. One connection that
        broke off counts only while the store can tell.
        """
        known = self._sign(target)
        if known is None or known_until > known.found_at:
            return False
        return known.is_certain or not is_store_away

    def keep_only(self, names: Container[str]) -> None:
        """Forget the targets that are not among `names`."""
        self._signs = {
            name: sign for name, sign in self._signs.items() if name in names
        }

    def _sign(self, target: Target) -> _Sign | None:
        """Return the sign of a process that this entry describes."""
        known = self._signs.get(target.name)
        if known is None or known.described != _described(target):
            return None
        return known


def _described(target: Target) -> tuple[str, str]:
    """Return what tells one start of a target from another."""
    return target.incarnation, target.software
