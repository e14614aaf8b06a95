"""Requests that crash each target that runs them.

When a connection breaks under a request, a new connection to the target tells
whether the target is gone or only the answer. Requests that were in flight on
targets that are gone are booked, on every router; a request that has lost
several is refused until the entry expires, one that finishes is cleared.
"""

import time

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ResponseLost,
    ResponseTruncated,
)
from peridotwell.domain.target import Target, wire_id
from peridotwell.errors import ForwardedRequestQuarantined
from peridotwell.fleet.update_exchange import UpdateExchange
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.logs import log_failure
from peridotwell.policy.quarantine import Quarantine

__all__ = ('CrashTracker',)

CRASH_LIMIT = 3
KEEP_SECONDS = 30.0
CONNECT_SECONDS = 0.5
# Checks at once; a crash breaks many requests of one target.
MAX_CHECKS = 20


class CrashTracker:
    """Books crashes and refuses requests that cause them."""

    def __init__(
        self,
        quarantine: Quarantine,
        sharing: UpdateExchange,
    ) -> None:
        self._quarantine = quarantine
        self._sharing = sharing
        self._broken: list[tuple[RoutedRequest, Target]] = []
        self._has_broken = trio.Event()

    def check(self, call: RoutedRequest) -> None:
        """Raise ForwardedRequestQuarantined if its targets were lost."""
        if self._quarantine.is_refused(
            call.fingerprint, CRASH_LIMIT, time.time()
        ):
            raise ForwardedRequestQuarantined(
                'Targets that ran this request were lost '
                f'({call.fingerprint:016x}): change it.',
                retry_after_seconds=KEEP_SECONDS,
            )

    def clear(self, call: RoutedRequest) -> None:
        """Clear a request that a target has finished."""
        verdict = self._quarantine.clear_suspect(call.fingerprint, time.time())
        if verdict is not None:
            self._sharing.share_crash_records(verdict)

    def schedule_check(
        self, call: RoutedRequest, target: Target, exc: AttemptError
    ) -> None:
        """Have the target checked if its connection broke."""
        if not isinstance(exc, ResponseLost | ResponseTruncated):
            return
        if len(self._broken) < MAX_CHECKS:
            self._broken.append((call, target))
            self._has_broken.set()

    async def run(self) -> None:
        """Check targets whose connections broke, for ever."""
        while True:
            await self._has_broken.wait()
            self._has_broken = trio.Event()
            broken = self._broken
            self._broken = []
            async with trio.open_nursery() as nursery:
                for call, target in broken:
                    nursery.start_soon(self._check_target, call, target)

    async def _check_target(self, call: RoutedRequest, target: Target) -> None:
        if await _is_reachable(target):
            return
        start = wire_id(f'{target.name}|{target.incarnation}')
        verdict = self._quarantine.record_loss(
            call.fingerprint,
            start,
            time.time(),
            KEEP_SECONDS,
        )
        log_failure(
            'request.lost_target',
            request=call.request_id,
            mark=f'{call.fingerprint:016x}',
            target=target.name,
            lost=len(verdict.lost_incarnations),
        )
        self._sharing.share_crash_records(verdict)


async def _is_reachable(target: Target) -> bool:
    host, _, port = target.address.rpartition(':')
    try:
        with trio.fail_after(CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return False
    await stream.aclose()
    return True
