"""Ends a run of the soak that lasts too long, whatever it waits for.

A run may wait for an answer, or stand still while it waits for a process. So
it is cancelled at its limit, and if that does not end it, its processes are
killed, which ends all waits for them.
"""

import threading
from collections.abc import Awaitable, Callable

import trio

from tests.soak.cluster import SoakCluster

__all__ = ('default_limit', 'run_within')

# A run that is cancelled may take so long to end.
GRACE_SECONDS = 15.0
LIMIT_FACTOR = 3
BASE_SECONDS = 120.0


def default_limit(seconds: float, share: float) -> float:
    """Return the limit for faults of so many seconds.

    Its steps that depend on the number of routers take `share` times as long as
    usual.
    """
    return LIMIT_FACTOR * seconds + BASE_SECONDS * share


async def run_within(
    seconds: float,
    cluster: SoakCluster,
    body: Callable[[], Awaitable[None]],
    grace_seconds: float = GRACE_SECONDS,
) -> bool:
    """Run a cluster's `body`; return whether it ended within `seconds`."""
    killer = threading.Timer(seconds + grace_seconds, cluster.kill)
    killer.start()
    scope = trio.CancelScope(deadline=trio.current_time() + seconds)
    try:
        with scope:
            await body()
    except* EOFError:
        # A worker has ended, which it does without a fault only when killed.
        if not scope.cancel_called:
            raise
    finally:
        killer.cancel()
    return not scope.cancel_called
