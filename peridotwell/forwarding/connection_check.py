"""Checks whether a connection to a target can be made."""

import trio

from peridotwell.domain.target import Target

__all__ = ('can_connect',)


async def can_connect(target: Target, timeout_seconds: float) -> bool:
    """Return whether a connection to a target can be made in time."""
    host, _, port = target.address.rpartition(':')
    try:
        with trio.fail_after(timeout_seconds):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return False
    await stream.aclose()
    return True
