"""Choice among targets whose load is known only as it was a moment ago.

Routers learn of each other's requests with a delay. If each takes the target
that had the least load, all take the same one, and overload it before they see
it. So the requests that nobody has reported yet are assumed to fill the least
loaded targets up to a common level, and each router chooses a target with a
probability proportional to its room below that level. With few unreported
requests this is the least loaded target, with many it is any target.
"""

import math
from collections.abc import Sequence

from peridotwell.policy.placement.rendezvous import rendezvous_score

__all__ = (
    'fill_level',
    'room_score',
    'weighted_fill_level',
    'weighted_room',
    'RequestDuration',
)

HASH_BITS = 64
# Weight of the latest duration in the moving average; the first weigh alike.
DURATION_WEIGHT = 0.02
# Without this much room, equally loaded targets would have none.
MIN_UNSEEN_REQUESTS = 0.5


def fill_level(loads: Sequence[float], unseen_requests: float) -> float:
    """Return the level up to which unseen requests fill the lowest loads.

    The targets below the level have room for exactly these requests.
    """
    requests = max(unseen_requests, MIN_UNSEEN_REQUESTS)
    filled = 0
    total = float(0)
    for load in sorted(loads):
        if filled and load * filled - total >= requests:
            break
        filled += 1
        total += load
    return (total + requests) / max(filled, 1)


def weighted_fill_level(
    loads: Sequence[float], speeds: Sequence[float], unseen_requests: float
) -> float:
    """Return the level up to which unseen requests fill targets.

    Each target gets its room below the level times its relative speed of them.
    With equal speeds of 1.0, this is `fill_level`.
    """
    requests = max(unseen_requests, MIN_UNSEEN_REQUESTS)
    filled = total = float(0)
    for load, speed in sorted(zip(loads, speeds, strict=True)):
        if filled and load * filled - total >= requests:
            break
        filled += speed
        total += load * speed
    return (total + requests) / filled


def weighted_room(room: float, speed: float) -> float:
    """Return the room of a target, times its relative speed if it has room."""
    return room * speed if room > 0 else room


def room_score(key: str, target: str, room: float) -> tuple[bool, float]:
    """Return the score of a target for a key; the highest score wins.

    For a random key, a target wins with a probability proportional to its
    room below the level. For one key, all routers that see the same room
    agree. If no target has room, the one with the least load wins.
    """
    if room <= 0:
        return False, room
    fraction = (rendezvous_score(key, target) + 1) / (2**HASH_BITS + 1)
    return True, math.log(fraction) / room


class RequestDuration:
    """The mean duration of a service's requests, in seconds.

    `mean_seconds` is None until one has ended.
    """

    def __init__(self) -> None:
        self.mean_seconds: float | None = None
        self._recorded = 0

    def record(self, seconds: float) -> None:
        """Record the duration of a request that has ended."""
        self._recorded += 1
        weight = max(DURATION_WEIGHT, 1 / self._recorded)
        mean = self.mean_seconds or 0
        self.mean_seconds = mean + (seconds - mean) * weight

    def arrivals(self, outstanding: float, seconds: float) -> float:
        """Return the number of requests that arrive within a time.

        By Little's law, the `outstanding` requests divided by their mean
        duration are the arrivals a second. Returns 0 before a request has
        ended.
        """
        if not self.mean_seconds:
            return 0
        return outstanding / self.mean_seconds * seconds
