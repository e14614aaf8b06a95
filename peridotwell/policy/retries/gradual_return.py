"""Gradual return of load to data centres whose evacuation has ended.

Pattern: slow start. Targets that were without work may be cold, and idle ones
attract all requests. So only a part of the requests may use them, which rises
in steps to the share that they have of all targets.
"""

from collections.abc import Mapping, Sequence

from peridotwell.domain.target import Target
from peridotwell.policy.placement.rendezvous import unit_hash
from peridotwell.policy.room.room_ramp import RoomRamp

__all__ = ('RAMP_SECONDS', 'admitted_targets')

RAMP_SECONDS = 5.0
STEPS = 10


def admitted_targets(
    request_key: str,
    targets: Sequence[Target],
    restored: Mapping[str, float],
    now: float,
) -> Sequence[Target]:
    """Return the targets that a request may use while load returns.

    `restored` tells when each data centre was restored, in seconds. All routers
    admit a request alike. All targets are returned if no others are left.
    """
    returning = {
        name: since
        for name, since in restored.items()
        if now - since < RAMP_SECONDS
    }
    if not returning:
        return targets
    left_out = {
        name
        for name, since in returning.items()
        if unit_hash(f'{name}/{request_key}')
        >= _open_part(since, now) * _share(name, targets)
    }
    admitted = [
        target for target in targets if target.pool.data_centre not in left_out
    ]
    return admitted or targets


def _open_part(since: float, now: float) -> float:
    """Return which part of its share a data centre may get."""
    steps = RoomRamp(1, since).room(STEPS / RAMP_SECONDS, now)
    return min(steps / STEPS, 1)


def _share(data_centre: str, targets: Sequence[Target]) -> float:
    """Return the share that a data centre has of the targets."""
    inside = sum(each.pool.data_centre == data_centre for each in targets)
    return inside / max(len(targets), 1)
