"""What a deployment in a soak run looks like, apart from its faults."""

from dataclasses import dataclass, replace

__all__ = ('DAY', 'ERAS', 'FIELD', 'MISSING', 'RISING', 'STREAMING', 'Site')

STREAMING = 'streaming'
RISING, CONSTANT, MISSING = ERAS = ('rising', 'constant', 'missing')


@dataclass(frozen=True)
class Site:
    """A deployment: its places, its configuration, and its load.

    The first of the services serves single responses, the last one streams.
    Each version of the configuration has `idle_routes` that nobody uses. Each
    router has `callers`, who wait for `deadline_seconds` at most. The entries
    of targets are written again every `beat_seconds`; 0: when they change.
    With `has_brief_names`, some routes and keys come and go with the versions.
    The versions have `shapes` that are drawn from this seed; 0: all have one.
    `eras` is what the store's answers tell of restores: an era that rises, one
    that stays constant, or none.
    """

    data_centres: tuple[str, ...] = ('north', 'south')
    services: tuple[str, ...] = ('svc',)
    idle_routes: int = 0
    callers: int = 4
    deadline_seconds: float = 1.5
    beat_seconds: float = 1.0
    has_brief_names: bool = False
    shapes: int = 0
    eras: str = RISING

    def service_of(self, kind: str) -> str:
        """Return the service of the routes of a kind."""
        return self.services[-1 if kind == STREAMING else 0]


# Like a deployment of users: a large configuration, a store that is quiet, and
# time limits of several seconds.
FIELD = Site(
    data_centres=('north', 'middle', 'south'),
    services=('desk', 'model'),
    idle_routes=470,
    callers=12,
    deadline_seconds=8,
    beat_seconds=0,
)
# Like it, with routes that exist for a short time, in smaller configurations,
# and with targets that report again and again.
DAY = replace(FIELD, idle_routes=110, has_brief_names=True, beat_seconds=1.2)
