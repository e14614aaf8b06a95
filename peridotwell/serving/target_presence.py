"""Whether a target that ended a connection is still there.

The connections of a process that is killed or crashes end like those that it
closes. A response whose end is marked only by that of its connection may then
be cut, and nothing in it tells.
"""

from enum import Enum

import httpcore

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Target
from peridotwell.logs import log_failure
from peridotwell.serving.socket_network import SocketNetwork

__all__ = ('TargetSign', 'check_still_listens')

# A process that ends may close its connections before the port at which it
# listens: a connection that is made in between is reset within this time.
STAY_SECONDS = 0.05
# A sound target may reset the first connection, as one too many.
MAX_CONNECTIONS = 2


class TargetSign(Enum):
    """What a new connection shows of a target that ended a response."""

    kept_open = 'kept_open'
    answered = 'answered'
    closed = 'closed'
    refused = 'refused'
    unreachable = 'unreachable'


async def check_still_listens(
    target: Target, timeout_seconds: float, request_id: str = ''
) -> None:
    """Raise ResponseTruncated if connections to a target are refused.

    Its machine answers then, and nothing listens there any more. A target that
    cannot be reached may be a sound one. What it answered is logged.
    """
    sign = await _ask(target, timeout_seconds)
    log_failure(
        'end.checked',
        request=request_id,
        target=target.name,
        answer=sign.value,
        incarnation=target.incarnation,
    )
    if sign is TargetSign.refused:
        raise ResponseTruncated(
            'The target ended with its response, which has no other mark '
            'of its end and may be cut.'
        )


async def _ask(target: Target, timeout_seconds: float) -> TargetSign:
    sign = TargetSign.closed
    for _ in range(MAX_CONNECTIONS):
        connection = await _connect(target, timeout_seconds)
        if isinstance(connection, TargetSign):
            return connection
        sign = await _sign_on(connection)
        if sign is not TargetSign.closed:
            break
    return sign


async def _connect(
    target: Target, timeout_seconds: float
) -> httpcore.AsyncNetworkStream | TargetSign:
    """Return a connection, or what shows that there is none."""
    host, _, port = target.address.rpartition(':')
    try:
        return await SocketNetwork().connect_tcp(
            host, int(port), timeout_seconds
        )
    except httpcore.ConnectTimeout:
        return TargetSign.unreachable
    except httpcore.ConnectError as exc:
        if isinstance(exc.__cause__, ConnectionRefusedError):
            return TargetSign.refused
        return TargetSign.unreachable


async def _sign_on(connection: httpcore.AsyncNetworkStream) -> TargetSign:
    try:
        received = await connection.read(1, STAY_SECONDS)
    except httpcore.ReadTimeout:
        return TargetSign.kept_open
    except httpcore.ReadError:
        return TargetSign.closed
    else:
        return TargetSign.answered if received else TargetSign.closed
    finally:
        await connection.aclose()
