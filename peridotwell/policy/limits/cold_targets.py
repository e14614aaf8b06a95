"""Targets that are cold: they bear few requests for a time after a start.

A target reports in its entry how long it is still cold. The time counts from
the arrival of the entry at this router, as clocks differ. A target that has
just started and reports nothing usable is cold for the time that its service
states, and so are the targets of a data centre that returns.

Each router learns this from the entries alone: it is the same everywhere
within the time in which entries arrive.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.routing_table import ServiceProperties
from peridotwell.domain.target import Target
from peridotwell.policy.limits.cold_shares import ColdBound, ColdShares

__all__ = ('ColdChange', 'ColdTargets')

MILLISECONDS_PER_SECOND = 1000
NEVER = float('-inf')
# Targets that are remembered, gone ones included.
MAX_SEEN_TARGETS = 32768


@dataclass(frozen=True)
class ColdChange:
    """A target that is cold for some seconds from now, or warm with 0."""

    target: str
    seconds: float


@dataclass(frozen=True)
class _Seen:
    """A target as last seen, and until when it is cold."""

    target: Target
    service: ServiceProperties
    cold_until: float


class ColdTargets:
    """Tells which targets are cold, and what this router may send them.

    `own` is the wire id of this router. Times are in seconds of its own clock.
    """

    def __init__(
        self, own: int = 0, bounds: DeploymentBounds | None = None
    ) -> None:
        # Requests that went elsewhere because a cold target had its share.
        self.diverted = 0
        self._bounds = bounds or DeploymentBounds()
        self._shares = ColdShares(own)
        self._seen: dict[int, _Seen] = {}
        self._cold: dict[int, _Seen] = {}
        self._logged: dict[int, str] = {}
        # By data centre: when its evacuation ended.
        self._returned_at: dict[str, float] = {}
        # The services whose targets may be cold, and these targets.
        self._services: frozenset[str] = frozenset()
        self._listed: Collection[int] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no target is cold."""
        return not self._cold

    @property
    def count(self) -> int:
        """The number of cold targets."""
        return len(self._cold)

    @property
    def needs_routers(self) -> bool:
        """Whether targets of any service may become cold."""
        return bool(self._services)

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Use these bounds from now on."""
        self._bounds = bounds

    def set_routers(self, others: Collection[int], now: float) -> None:
        """Set the other routers that are known now."""
        if self.needs_routers:
            self._shares.set_routers(others, now)

    def update(
        self,
        targets: Iterable[Target],
        services: Mapping[str, ServiceProperties],
        now: float,
        day_milliseconds: float,
    ) -> None:
        """Set the listed targets and the services.

        `day_milliseconds` is the time of day, in Unix milliseconds. It decides
        only whether a target that a starting router meets has just started.
        """
        listed = set()
        for target in targets:
            service = services.get(target.pool.name)
            if service is not None and service.may_be_cold:
                listed.add(target.wire_id)
                self._see(target, service, now, day_milliseconds)
        self._services = frozenset(
            name for name, service in services.items() if service.may_be_cold
        )
        self._listed = listed
        self._remove_excess(listed)
        self._set_cold(listed, now)

    def record_returned(self, data_centre: str, now: float) -> None:
        """Record the end of the evacuation of a data centre.

        Its targets are cold for the time that their services state.
        """
        self._returned_at[data_centre] = now
        self._set_cold(self._listed, now)

    def expire(self, now: float) -> None:
        """Remove the targets that are warm now."""
        self._set_cold(tuple(self._cold), now)

    def take_changes(self, now: float) -> Iterator[ColdChange]:
        """Yield the targets that are cold or warm since the last call."""
        logged = self._logged
        self._logged = {
            target_id: seen.target.name
            for target_id, seen in self._cold.items()
        }
        for target_id, seen in self._cold.items():
            if target_id not in logged:
                yield ColdChange(seen.target.name, seen.cold_until - now)
        for target_id, name in logged.items():
            if target_id not in self._cold:
                yield ColdChange(name, 0)

    def is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target is cold."""
        return self._bound(target, now) is not None

    def accepts(self, target: Target, now: float) -> bool:
        """Return whether this router may send a target one more request."""
        return self.wait_seconds(target, now) == 0

    def wait_seconds(self, target: Target, now: float) -> float | None:
        """Return after which time this router may send a target a request.

        Returns None if it has no share while the target is cold.
        """
        bound = self._bound(target, now)
        if bound is None:
            return 0
        return self._shares.wait_seconds(target, bound, now)

    def record_send(self, target: Target, now: float) -> None:
        """Record that a request is sent to a target."""
        if not self._cold:
            return
        if any(
            seen.target.pool.name == target.pool.name
            and seen.target.name != target.name
            and not self.accepts(seen.target, now)
            for seen in self._cold.values()
        ):
            self.diverted += 1
        bound = self._bound(target, now)
        if bound is not None:
            self._shares.record_send(target, bound, now)

    def _bound(self, target: Target, now: float) -> ColdBound | None:
        """Return what a target bears, None if it is warm."""
        seen = self._cold.get(target.wire_id)
        if seen is None or now >= seen.cold_until:
            return None
        if seen.target.incarnation != target.incarnation:
            return None
        return ColdBound(
            seen.service.cold_per_second,
            self._bounds.cold_overage,
            self._bounds.cold_slack,
        )

    def _see(
        self,
        target: Target,
        service: ServiceProperties,
        now: float,
        day_milliseconds: float,
    ) -> None:
        known = self._seen.get(target.wire_id)
        if (
            known is not None
            and known.target is target
            and known.service is service
        ):
            return
        cold_until = _cold_until(known, target, now)
        if cold_until is None:
            # A target that was not there when the service was first seen.
            has_started = service.name in self._services or _is_recent(
                target, service, day_milliseconds
            )
            cold_until = now + service.cold_seconds if has_started else NEVER
        self._seen.pop(target.wire_id, None)
        self._seen[target.wire_id] = _Seen(target, service, cold_until)

    def _set_cold(self, listed: Collection[int], now: float) -> None:
        """Set which of the listed targets are cold now."""
        cold = {}
        for target_id in listed:
            seen = self._seen[target_id]
            until = max(seen.cold_until, self._returned_until(seen))
            if until > now:
                cold[target_id] = _Seen(seen.target, seen.service, until)
                if target_id not in self._cold:
                    self._shares.start(seen.target, now)
        for target_id in self._cold.keys() - cold.keys():
            self._shares.remove(target_id)
        self._cold = cold

    def _returned_until(self, seen: _Seen) -> float:
        data_centre = seen.target.pool.data_centre
        returned_at = self._returned_at.get(data_centre, NEVER)
        return returned_at + seen.service.cold_seconds

    def _remove_excess(self, listed: Collection[int]) -> None:
        """Forget the targets that are gone for longest, if they are many."""
        excess = len(self._seen) - MAX_SEEN_TARGETS
        gone = (each for each in tuple(self._seen) if each not in listed)
        for target_id, _ in zip(gone, range(excess), strict=False):
            self._seen.pop(target_id)


def _cold_until(
    known: _Seen | None, target: Target, now: float
) -> float | None:
    """Return until when a target is cold, None if that is not known."""
    if known is not None and known.target is target:
        return known.cold_until
    if target.cold_left_seconds is not None:
        return now + target.cold_left_seconds
    if known is not None and known.target.incarnation == target.incarnation:
        return known.cold_until
    return None


def _is_recent(
    target: Target, service: ServiceProperties, day_milliseconds: float
) -> bool:
    """Return whether a target has started within its cold time."""
    age_milliseconds = day_milliseconds - target.started_milliseconds
    return age_milliseconds < service.cold_seconds * MILLISECONDS_PER_SECOND
