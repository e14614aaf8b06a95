"""Checks whether a connection to a target can be made."""

import math

import trio

from peridotwell.domain.target import Target

__all__ = ('can_connect',)

# The time limit is counted in steps, so that time in which this process does
# not run counts as one of them at most.
STEP_SECONDS = 0.05


async def can_connect(target: Target, timeout_seconds: float) -> bool:
    """Return whether a connection to a target can be made in time.

    Time in which this process does not run does not count.
    """
    host, _, port = target.address.rpartition(':')
    is_connected = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_after, timeout_seconds, nursery.cancel_scope)
        is_connected = await _connect(host, int(port))
        nursery.cancel_scope.cancel()
    return is_connected


async def _connect(host: str, port: int) -> bool:
    try:
        stream = await trio.open_tcp_stream(host, port)
    except OSError:
        return False
    await trio.aclose_forcefully(stream)
    return True


async def _cancel_after(seconds: float, scope: trio.CancelScope) -> None:
    for _ in range(math.ceil(seconds / STEP_SECONDS)):
        await trio.sleep(STEP_SECONDS)
    scope.cancel()
