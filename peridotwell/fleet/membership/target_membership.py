"""Determines which targets accept new work.

The platform's list may be out of date or unavailable. Refusals, probes and
other routers provide newer observations. The observation with the latest time
is applied, so a target that was leaving is live again only if a later
observation says so. If a list lacks more than half of a pool that was listed
before, the missing targets are doubted: they are kept until a connection to
them fails.
"""

from collections.abc import Iterable
from dataclasses import replace

import msgspec
import xxhash

from peridotwell.domain.target import Pool, Target, TargetKind

__all__ = ('TargetObservation', 'TargetMembership', 'decode_listing')

INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8
DOUBTED_FRACTION = 0.5
MIN_WEIGHT = 0.01
# Observations may arrive before the list contains their target.
MAX_UNLISTED_OBSERVATIONS = 1000


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
    """The state of a target at `observed_at`, in seconds since the epoch."""

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
            weight=max(row.weight, MIN_WEIGHT),
            slots=row.slots,
            leaving=row.state != 'live',
        )
        for row in listed
    )


class _Backoff:
    """How long a target that refused connections gets no new work."""

    def __init__(self) -> None:
        self.failures = 0
        self.until = float(0)

    def record_failure(self, now: float) -> None:
        """Record one more consecutive failure."""
        backoff = INITIAL_BACKOFF_SECONDS * 2**self.failures
        self.until = now + min(backoff, MAX_BACKOFF_SECONDS)
        self.failures += 1


class TargetMembership:
    """Every known target with the latest observation of it."""

    def __init__(self) -> None:
        self.doubted: frozenset[str] = frozenset()
        # A hash of what has been observed of the listed targets.
        self.digest = 0
        self._listed: dict[str, Target] = {}
        self._observations: dict[int, TargetObservation] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._targets: dict[str, Target] = {}
        self._by_pool: dict[Pool, tuple[Target, ...]] = {}
        self._targets_by_id: dict[int, Target] = {}
        self._pools_by_id: dict[int, Pool] = {}

    def apply_listing(self, listed: Iterable[Target]) -> None:
        """Apply the platform's list, but keep targets that are doubted."""
        targets = {target.name: target for target in listed}
        missing = self._listed.keys() - targets.keys()
        self.doubted = frozenset(
            name for name in missing if self._is_doubtful(name, missing)
        )
        for name in sorted(self.doubted):
            targets[name] = self._listed[name]
        self._listed = targets
        self._remove_unlisted()
        self._rebuild()

    def apply_observation(self, observation: TargetObservation) -> bool:
        """Apply an observation; return whether it changed the target."""
        known = self._observations.get(observation.target_id)
        if known is not None and known.observed_at >= observation.observed_at:
            return False
        self._observations[observation.target_id] = observation
        if known is not None and _content(known) == _content(observation):
            return False
        self._rebuild()
        return True

    def observations(self) -> tuple[TargetObservation, ...]:
        """Return the latest observation of each target."""
        return tuple(self._observations.values())

    def record_connection_failure(self, name: str, now: float) -> None:
        """Avoid a target for some time; remove it if it was doubted."""
        if name in self.doubted:
            self._listed.pop(name, None)
            self.doubted -= {name}
            self._rebuild()
            return
        self._backoffs.setdefault(name, _Backoff()).record_failure(now)

    def record_connection_success(self, name: str) -> None:
        """Reset the connection failures of a target."""
        self._backoffs.pop(name, None)

    def target(self, name: str) -> Target | None:
        """Return a target with the latest observation applied."""
        return self._targets.get(name)

    def target_by_id(self, target_id: int) -> Target | None:
        """Return the target with that wire id."""
        return self._targets_by_id.get(target_id)

    def pool_by_id(self, pool_id: int) -> Pool | None:
        """Return the pool with that wire id."""
        return self._pools_by_id.get(pool_id)

    def target_names(self) -> frozenset[str]:
        """Return the names of all known targets."""
        return frozenset(self._targets)

    def data_centres(self) -> frozenset[str]:
        """Return the data centres that have targets."""
        return frozenset(pool.data_centre for pool in self._by_pool)

    def targets(self) -> tuple[Target, ...]:
        """Return every known target with the latest observation applied."""
        return tuple(self._targets.values())

    def usable_targets(self, pool: Pool, now: float) -> tuple[Target, ...]:
        """Return the targets of a pool that accept new work."""
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
        backoff = self._backoffs.get(target.name)
        is_backing_off = backoff is not None and backoff.until > now
        return not (target.leaving or is_backing_off)

    def _remove_unlisted(self) -> None:
        """Remove the data of unlisted targets.

        Observations are removed only when there are many, because they may
        arrive before the list contains their target.
        """
        self._backoffs = {
            name: backoff
            for name, backoff in self._backoffs.items()
            if name in self._listed
        }
        if (
            len(self._observations)
            > len(self._listed) + MAX_UNLISTED_OBSERVATIONS
        ):
            target_ids = {target.wire_id for target in self._listed.values()}
            self._observations = {
                target_id: observation
                for target_id, observation in self._observations.items()
                if target_id in target_ids
            }

    def _rebuild(self) -> None:
        self._targets = {
            name: _with_observation(
                listed, self._observations.get(listed.wire_id)
            )
            for name, listed in self._listed.items()
        }
        self._targets_by_id = {
            target.wire_id: target for target in self._targets.values()
        }
        self.digest = self._make_digest()
        by_pool: dict[Pool, list[Target]] = {}
        for target in self._targets.values():
            by_pool.setdefault(target.pool, []).append(target)
        self._by_pool = {
            pool: tuple(members) for pool, members in by_pool.items()
        }
        self._pools_by_id = {pool.wire_id: pool for pool in by_pool}

    def _make_digest(self) -> int:
        observed = sorted(
            _content(self._observations[target_id])
            for target_id in self._targets_by_id
            if target_id in self._observations
        )
        return xxhash.xxh32_intdigest(repr(observed).encode())

    def _is_doubtful(self, name: str, missing: Iterable[str]) -> bool:
        pool = self._listed[name].pool
        listed_count = sum(
            known.pool == pool for known in self._listed.values()
        )
        missing_count = sum(
            self._listed[other].pool == pool for other in missing
        )
        return missing_count > listed_count * DOUBTED_FRACTION


def _with_observation(
    listed: Target, observation: TargetObservation | None
) -> Target:
    if observation is None:
        return listed
    return replace(
        listed,
        leaving=observation.is_leaving or listed.leaving,
        incarnation=observation.incarnation,
        slots=observation.slots or listed.slots,
    )


def _content(observation: TargetObservation) -> tuple[int, bool, str, int]:
    """Return what an observation says, without its time."""
    return (
        observation.target_id,
        observation.is_leaving,
        observation.incarnation,
        observation.slots,
    )
