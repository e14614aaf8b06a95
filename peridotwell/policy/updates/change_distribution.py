"""Which routers get a large change from their relay, and in which order.

The others read it from the store. A relay sends as much as a share of its link
can carry in a short time, to the routers with the slowest links first: for
them, the whole entry from the store takes longest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from peridotwell.policy.updates.bulk_pacing import BULK_LINK_SHARE

__all__ = ('SEND_SECONDS', 'ChangeReceiver', 'choose_receivers')

# Routers wait this long for a change, which leaves them time to read the store
# before what they know of it is too old to decide by (1.45 s).
SEND_SECONDS = 0.6


@dataclass(frozen=True)
class ChangeReceiver:
    """A router that can read large changes.

    `router` is its wire id, `link_bytes_per_second` the rate of its link, 0
    if that is unknown.
    """

    router: int
    link_bytes_per_second: int = 0


def choose_receivers(
    receivers: Iterable[ChangeReceiver],
    change_bytes: int,
    link_bytes_per_second: int,
) -> tuple[int, ...]:
    """Return the routers that get a change from a relay, the first one first.

    The relay's link carries `link_bytes_per_second`; 0 is unknown and sets no
    limit. Links of unknown rate come last.
    """
    ordered = [each.router for each in sorted(receivers, key=_order)]
    if link_bytes_per_second:
        usable = link_bytes_per_second * BULK_LINK_SHARE * SEND_SECONDS
        ordered = ordered[: int(usable // max(change_bytes, 1))]
    return tuple(ordered)


def _order(receiver: ChangeReceiver) -> tuple[bool, int, int]:
    rate = receiver.link_bytes_per_second
    return not rate, rate, receiver.router
