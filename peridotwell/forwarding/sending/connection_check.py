"""Checks whether a connection to a target can be made."""

import trio

from peridotwell.domain.target import Target
from peridotwell.running_time import move_on_after_running

__all__ = ('can_connect',)


async def can_connect(target: Target, timeout_seconds: float) -> bool:
    """Return whether a connection to a target can be made in time.

    Time in which this process does not run does not count.
    """
    host, _, port = target.address.rpartition(':')
    async with move_on_after_running(timeout_seconds):
        return await _connect(host, int(port))
    return False


async def _connect(host: str, port: int) -> bool:
    try:
        stream = await trio.open_tcp_stream(host, port)
    except OSError:
        return False
    await trio.aclose_forcefully(stream)
    return True
