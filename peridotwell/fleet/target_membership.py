"""Which targets take new work: the platform's list and fresher signs.

The platform's list lags and goes away. Refusals, probes and other routers
bring newer signs; the sign with the later time wins, so a sign of life undoes
a sign of leaving only if it is newer. A list that has lost more than half
of a pool at once is doubted: those targets stay until a connection to
them fails.
"""

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from peridotwell.domain.target import Pool, Target, TargetKind

__all__ = ('TargetObservation', 'TargetMembership', 'decode_listing')

FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 8
DOUBTED_FRACTION = 0.5
LEAST_WEIGHT = 0.01
# Signs may come before the list names their target.
MAX_UNLISTED_SIGNS = 1000


class ListedTarget(msgspec.Struct, frozen=True):
    """One row of the platform's instance list."""

    name: str
    address: str
    kind: TargetKind
    pool: str
    data_centre: str
    weight: float = 1
    slots: int = 0
    state: str = 'live'


class TargetObservation(msgspec.Struct, frozen=True, array_like=True):
    """News about a target, `observed_at` seconds since the epoch."""

    target_id: int
    is_leaving: bool
    observed_at: float
    incarnation: str = ''
    slots: int = 0


def decode_listing(document: bytes) -> tuple[Target, ...]:
    """Decode the platform's list. Raises msgspec.ValidationError."""
    listed = msgspec.json.decode(document, type=tuple[ListedTarget, ...])
    return tuple(
        Target(
            name=row.name,
            address=row.address,
            kind=row.kind,
            pool=Pool(row.data_centre, row.pool),
            weight=max(row.weight, LEAST_WEIGHT),
            slots=row.slots,
            leaving=row.state != 'live',
        )
        for row in listed
    )


class _Pause:
    """How long a target that refused connections is left alone."""

    def __init__(self) -> None:
        self.failures = 0
        self.until = float(0)

    def extend(self, now: float) -> None:
        """Book one more failure in a row."""
        pause = FIRST_PAUSE_SECONDS * 2**self.failures
        self.until = now + min(pause, LONGEST_PAUSE_SECONDS)
        self.failures += 1


class TargetMembership:
    """Every known target with the latest sign about it."""

    def __init__(self) -> None:
        self.doubted: frozenset[str] = frozenset()
        self._listed: dict[str, Target] = {}
        self._signs: dict[int, TargetObservation] = {}
        self._pauses: dict[str, _Pause] = {}
        self._targets: dict[str, Target] = {}
        self._by_pool: dict[Pool, tuple[Target, ...]] = {}
        self._by_number: dict[int, Target] = {}
        self._pool_numbers: dict[int, Pool] = {}

    def apply_listing(self, listed: Iterable[Target]) -> None:
        """Take over the platform's list, unless it lost half a pool."""
        fresh = {target.name: target for target in listed}
        missing = self._listed.keys() - fresh.keys()
        self.doubted = frozenset(
            name for name in missing if self._is_doubtful(name, missing)
        )
        for kept in sorted(self.doubted):
            fresh[kept] = self._listed[kept]
        self._listed = fresh
        self._forget_unlisted()
        self._rebuild()

    def apply_observation(self, sign: TargetObservation) -> bool:
        """Take over a sign; False when it says nothing new."""
        known = self._signs.get(sign.target_id)
        if known is not None and known.observed_at >= sign.observed_at:
            return False
        self._signs[sign.target_id] = sign
        if known is not None and not _differs(known, sign):
            return False
        self._rebuild()
        return True

    def observations(self) -> tuple[TargetObservation, ...]:
        """Return the latest sign about each target."""
        return tuple(self._signs.values())

    def leaving_target_ids(self) -> tuple[int, ...]:
        """Return the targets that signs say are leaving, by wire id."""
        return tuple(
            sorted(
                number
                for number, sign in self._signs.items()
                if sign.is_leaving
            ),
        )

    def record_connection_failure(self, name: str, now: float) -> None:
        """Leave a target alone for a while; drop it if it was doubted."""
        if name in self.doubted:
            self._listed.pop(name, None)
            self.doubted -= {name}
            self._rebuild()
            return
        self._pauses.setdefault(name, _Pause()).extend(now)

    def record_connection_success(self, name: str) -> None:
        """Forget earlier connection failures of a target."""
        self._pauses.pop(name, None)

    def target(self, name: str) -> Target | None:
        """Return a target with the latest sign applied."""
        return self._targets.get(name)

    def target_by_id(self, number: int) -> Target | None:
        """Return the target with that wire id."""
        return self._by_number.get(number)

    def pool_by_id(self, number: int) -> Pool | None:
        """Return the pool with that wire id."""
        return self._pool_numbers.get(number)

    def target_names(self) -> frozenset[str]:
        """Return the names of all known targets."""
        return frozenset(self._targets)

    def data_centres(self) -> frozenset[str]:
        """Return the data centres that have targets."""
        return frozenset(pool.data_centre for pool in self._by_pool)

    def targets(self) -> tuple[Target, ...]:
        """Return every known target with the latest sign applied."""
        return tuple(self._targets.values())

    def usable_targets(self, pool: Pool, now: float) -> tuple[Target, ...]:
        """Return the targets of a pool that take new work."""
        return tuple(
            target
            for target in self._by_pool.get(pool, ())
            if self._is_usable(target, now)
        )

    def all_pools(self) -> tuple[Pool, ...]:
        """Return every pool."""
        return tuple(self._by_pool)

    def pools_named(self, name: str) -> tuple[Pool, ...]:
        """Return the pools of that name, one for each data centre."""
        found = [pool for pool in self._by_pool if pool.name == name]
        return tuple(sorted(found, key=lambda pool: pool.data_centre))

    def _is_usable(self, target: Target, now: float) -> bool:
        pause = self._pauses.get(target.name)
        paused = pause is not None and pause.until > now
        return not (target.leaving or paused)

    def _forget_unlisted(self) -> None:
        """Drop what is kept about targets that are long gone."""
        self._pauses = {
            name: pause
            for name, pause in self._pauses.items()
            if name in self._listed
        }
        if len(self._signs) > len(self._listed) + MAX_UNLISTED_SIGNS:
            numbers = {target.wire_id for target in self._listed.values()}
            self._signs = {
                number: sign
                for number, sign in self._signs.items()
                if number in numbers
            }

    def _rebuild(self) -> None:
        self._targets = {
            name: _with_sign(listed, self._signs.get(listed.wire_id))
            for name, listed in self._listed.items()
        }
        self._by_number = {
            target.wire_id: target for target in self._targets.values()
        }
        by_pool: dict[Pool, list[Target]] = {}
        for target in self._targets.values():
            by_pool.setdefault(target.pool, []).append(target)
        self._by_pool = {
            pool: tuple(members) for pool, members in by_pool.items()
        }
        self._pool_numbers = {pool.wire_id: pool for pool in by_pool}

    def _is_doubtful(self, name: str, missing: Iterable[str]) -> bool:
        pool = self._listed[name].pool
        size = sum(known.pool == pool for known in self._listed.values())
        lost = sum(self._listed[other].pool == pool for other in missing)
        return lost > size * DOUBTED_FRACTION


def _with_sign(listed: Target, sign: TargetObservation | None) -> Target:
    if sign is None:
        return listed
    return replace(
        listed,
        leaving=sign.is_leaving or listed.leaving,
        incarnation=sign.incarnation,
        slots=sign.slots or listed.slots,
    )


def _differs(known: TargetObservation, sign: TargetObservation) -> bool:
    return (known.is_leaving, known.incarnation, known.slots) != (
        sign.is_leaving,
        sign.incarnation,
        sign.slots,
    )
