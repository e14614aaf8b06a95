"""Cancels a request when its caller disconnects."""

from collections.abc import Awaitable, Callable

import trio

from peridotwell.serving.http_exchange import HttpExchange

__all__ = ('run_until_caller_disconnects',)


async def run_until_caller_disconnects(
    exchange: HttpExchange,
    func: Callable[[], Awaitable[None]],
) -> bool:
    """Run `func`, cancelling it when the caller disconnects.

    Returns False if the caller disconnected. The request's body must have
    been read. An exception of `func` is raised unchanged.
    """
    error: Exception | None = None
    has_left = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_on_disconnect,
            exchange,
            has_left,
            nursery.cancel_scope,
        )
        try:
            await func()
        except Exception as exc:
            error = exc
        nursery.cancel_scope.cancel()
    if has_left.is_set():
        return False
    if error is not None:
        raise error
    return True


async def _cancel_on_disconnect(
    exchange: HttpExchange,
    has_left: trio.Event,
    scope: trio.CancelScope,
) -> None:
    await exchange.wait_for_disconnect()
    if not exchange.is_complete:
        has_left.set()
        scope.cancel()
