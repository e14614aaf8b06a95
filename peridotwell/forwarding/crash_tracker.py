"""Detection of requests that crash the targets that run them.

When a connection breaks during a request, a new connection to the target
shows whether the target is gone or only the response. Requests that were in
flight on a target that is gone are recorded on every router. A request that
has lost several targets is refused until its record expires; a request that
completes is cleared.
"""

import time
from dataclasses import dataclass

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ResponseLost,
    ResponseTruncated,
)
from peridotwell.domain.target import Target, wire_id
from peridotwell.errors import ForwardedRequestQuarantined
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.logs import log_failure
from peridotwell.policy.quarantine import Quarantine

__all__ = ('BrokenAttempt', 'CrashTracker')

CRASH_LIMIT = 3
RECORD_TTL_SECONDS = 30.0
CONNECT_TIMEOUT_SECONDS = 0.5
# Largest number of pending checks. One crash of a target breaks many requests,
# each of which asks for a check.
MAX_PENDING_CHECKS = 20


@dataclass(frozen=True)
class BrokenAttempt:
    """A request whose connection to a target broke.

    `has_begun` tells whether the target had sent a whole event of its answer.
    """

    request: RoutedRequest
    target: Target
    has_begun: bool


class CrashTracker:
    """Records crashes of targets and refuses requests that cause them."""

    def __init__(
        self,
        quarantine: Quarantine,
        update_exchange: UpdateExchange,
    ) -> None:
        self._quarantine = quarantine
        self._update_exchange = update_exchange
        self._to_check: list[BrokenAttempt] = []
        self._has_checks = trio.Event()

    def check(self, request: RoutedRequest) -> None:
        """Raise ForwardedRequestQuarantined after too many lost targets."""
        if self._quarantine.is_refused(
            request.fingerprint, CRASH_LIMIT, time.time()
        ):
            raise ForwardedRequestQuarantined(
                'Targets that ran this request were lost '
                f'({request.fingerprint:016x}): change it.',
                retry_after_seconds=RECORD_TTL_SECONDS,
            )

    def clear(self, request: RoutedRequest) -> None:
        """Clear a request that a target has completed."""
        record = self._quarantine.clear_suspect(
            request.fingerprint, time.time()
        )
        if record is not None:
            self._update_exchange.share_crash_records(record)

    def schedule_check(self, broken: BrokenAttempt, exc: AttemptError) -> None:
        """Schedule a check of the target if its connection broke."""
        if not isinstance(exc, ResponseLost | ResponseTruncated):
            return
        if len(self._to_check) < MAX_PENDING_CHECKS:
            self._to_check.append(broken)
            self._has_checks.set()

    async def run(self) -> None:
        """Check targets whose connections broke, until cancelled."""
        while True:
            await self._has_checks.wait()
            self._has_checks = trio.Event()
            to_check = self._to_check
            self._to_check = []
            async with trio.open_nursery() as nursery:
                for broken in to_check:
                    nursery.start_soon(self._check_target, broken)

    async def _check_target(self, broken: BrokenAttempt) -> None:
        request = broken.request
        target = broken.target
        if await _is_reachable(target):
            return
        incarnation_id = wire_id(f'{target.name}|{target.incarnation}')
        record = self._quarantine.record_loss(
            request.fingerprint,
            incarnation_id,
            time.time(),
            RECORD_TTL_SECONDS,
        )
        log_failure(
            'request.lost_target',
            request=request.request_id,
            mark=f'{request.fingerprint:016x}',
            target=target.name,
            lost=len(record.lost_incarnations),
            has_begun=broken.has_begun,
            parts=_part_names(request),
        )
        self._update_exchange.share_crash_records(record)


async def _is_reachable(target: Target) -> bool:
    host, _, port = target.address.rpartition(':')
    try:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return False
    await stream.aclose()
    return True


def _part_names(request: RoutedRequest) -> str:
    """Return the shared parts of a request's prompt for the logs."""
    if request.prompt is None:
        return ''
    return ','.join(part.name for part in request.prompt.shared_parts)
