"""Where a prompt goes: to the engine that has its shared part cached.

Rendezvous hashing gives every router the same order of engines for a subject
without messages. The first engine of that order takes the request unless it
holds much more than the mean.
"""

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

import xxhash

from peridotwell.world.target import Target

__all__ = ('rank', 'choose_engine', 'choose_least')

RANK_CACHE_ENTRIES = 65536
# Of the load bound's distance from the mean, the part that cached prompts may
# use; the rest is for reports that lag.
BOUND_SHARE = 0.6
# Added to the bound, so that a nearly idle service keeps its caches.
BOUND_EXTRA = 2


@lru_cache(maxsize=RANK_CACHE_ENTRIES)
def _score(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{subject}|{name}'.encode())


def rank(subject: str, targets: Iterable[Target]) -> list[Target]:
    """Return targets in the order of preference for a subject."""
    return sorted(
        targets,
        key=lambda target: _score(subject, target.name),
        reverse=True,
    )


def choose_engine(
    subject: str,
    targets: Sequence[Target],
    loads: Mapping[str, float],
    factor: float,
) -> Target:
    """Return the preferred engine that is not overloaded.

    `loads` maps target names to the requests that they hold, `factor` is the
    bound on an engine's load as a multiple of the mean.
    """
    mean = sum(loads[target.name] for target in targets) / len(targets)
    bound = mean * (1 + (factor - 1) * BOUND_SHARE) + BOUND_EXTRA
    for target in rank(subject, targets):
        if loads[target.name] < bound:
            return target
    return min(targets, key=lambda target: loads[target.name])


def choose_least(
    targets: Sequence[Target],
    loads: Mapping[str, float],
    data_centre: str,
    tie: str,
) -> Target:
    """Return the target with the least load, a near one among equals.

    `tie` decides among equals of the same data centre, so that routers do
    not all choose the same.
    """
    return min(
        targets,
        key=lambda target: (
            loads[target.name] + (target.pool.data_centre != data_centre),
            -_score(tie, target.name),
        ),
    )
