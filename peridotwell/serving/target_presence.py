"""Whether a target that ended a connection is still there.

The connections of a process that is killed or crashes end like those that it
closes. A response whose end is marked only by that of its connection may then
be cut, and nothing in it tells.
"""

import httpcore

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Target
from peridotwell.serving.socket_network import SocketNetwork

__all__ = ('check_still_listens',)

# A process that ends may close its connections before the port at which it
# listens: a connection that is made in between is reset within this time.
STAY_SECONDS = 0.05
# A sound target may reset the first connection, as one too many.
MAX_CONNECTIONS = 2


async def check_still_listens(target: Target, timeout_seconds: float) -> None:
    """Raise ResponseTruncated if connections to a target are refused.

    Its machine answers then, and nothing listens there any more. A target that
    cannot be reached may be a sound one.
    """
    for _ in range(MAX_CONNECTIONS):
        connection = await _connect(target, timeout_seconds)
        if connection is None or await _stays_open(connection):
            return


async def _connect(
    target: Target, timeout_seconds: float
) -> httpcore.AsyncNetworkStream | None:
    """Return a connection, or None if the target cannot be reached."""
    host, _, port = target.address.rpartition(':')
    try:
        return await SocketNetwork().connect_tcp(
            host, int(port), timeout_seconds
        )
    except httpcore.ConnectTimeout:
        return None
    except httpcore.ConnectError as exc:
        if isinstance(exc.__cause__, ConnectionRefusedError):
            raise ResponseTruncated(
                'The target ended with its response, which has no other mark '
                'of its end and may be cut.'
            ) from exc
        return None


async def _stays_open(connection: httpcore.AsyncNetworkStream) -> bool:
    try:
        return bool(await connection.read(1, STAY_SECONDS))
    except httpcore.ReadTimeout:
        return True
    except httpcore.ReadError:
        return False
    finally:
        await connection.aclose()
