"""Asks a target for a sign of life: any byte of any answer to a status check.

A stopped process accepts connections and answers nothing. A target that is
busy may answer late, so an unanswered check goes on while the next ones are
made.
"""

import httpcore
import trio

from peridotwell.domain.target import Target
from peridotwell.running_time import move_on_after_running
from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS

__all__ = ('gives_sign_of_life', 'status_request')

# A check whose packets are lost on a path that is whole again is not waited
# for: the next one arrives sooner.
CHECK_STEP_SECONDS = 0.4


async def gives_sign_of_life(target: Target, path: str, seconds: float) -> bool:
    """Return whether a target answers one of several checks within a time.

    Time in which this process stands still does not count.
    """
    answered = trio.Event()
    async with move_on_after_running(seconds), trio.open_nursery() as nursery:
        while not answered.is_set():
            nursery.start_soon(_check, target, path, seconds, answered)
            with trio.move_on_after(CHECK_STEP_SECONDS):
                await answered.wait()
        nursery.cancel_scope.cancel()
    return answered.is_set()


async def _check(
    target: Target, path: str, seconds: float, answered: trio.Event
) -> None:
    if await _responds(target, path, seconds):
        answered.set()


async def _responds(target: Target, path: str, seconds: float) -> bool:
    host, _, port = target.address.rpartition(':')
    try:
        connection = await SocketNetwork().connect_tcp(
            host, int(port), seconds, socket_options=CLIENT_SOCKET_OPTIONS
        )
    except httpcore.ConnectError as exc:
        return _is_from_target(exc)
    except httpcore.ConnectTimeout:
        return False
    except OSError:
        # This router has no descriptor left for a connection: it cannot ask,
        # and the target may be sound.
        return True
    try:
        await connection.write(status_request(target, path))
        await connection.read(1)
    except (httpcore.ReadError, httpcore.WriteError) as exc:
        return _is_from_target(exc)
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()
    return True


def _is_from_target(exc: Exception) -> bool:
    """Return whether the target's side refused or reset a connection.

    A process that is stopped cannot: it has closed its port while it ran, and
    its connections have ended if it has ended.
    """
    return isinstance(exc.__cause__, ConnectionError)


def status_request(target: Target, path: str, *, is_last: bool = True) -> bytes:
    """Return the bytes of a status check, the last one on its connection."""
    close = 'Connection: close\r\n' if is_last else ''
    return (
        f'GET {path} HTTP/1.1\r\nHost: {target.address}\r\n{close}\r\n'
    ).encode('latin-1')
