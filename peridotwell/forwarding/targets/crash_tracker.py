"""Detection of requests that crash the targets that run them.

When a connection breaks during a request, older connections to the target, or
a status check, show whether the target is gone or only the response. Requests
that were in flight on a target that is gone are recorded on every router, and
so are the parts of their prompts if the target had not begun to answer. A
request that has lost several targets is refused until its record expires, and
so is one with a part that has; a request that completes is cleared, a part on
which an answer begins.
"""

from dataclasses import dataclass

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ResponseLost,
    ResponseTruncated,
)
from peridotwell.domain.prompt import Prompt
from peridotwell.domain.target import Target
from peridotwell.errors import ForwardedRequestQuarantined
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.sending.target_clients import TargetClients
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.crashes.crash_blame import format_parts, shared_part_ids
from peridotwell.policy.crashes.crashed_requests import RECORD_TTL_SECONDS
from peridotwell.policy.crashes.untold_restarts import UntoldRestarts
from peridotwell.policy.evidence.early_ends import EarlyEnds
from peridotwell.policy.evidence.process_evidence import HAS_ENDED, TargetSign
from peridotwell.serving.ended_early import ResponseEndedEarly

__all__ = ('BrokenAttempt', 'CrashTracker')

CRASH_LIMIT = 3
IS_LOST = HAS_ENDED | {TargetSign.unreachable}
# Largest number of requests of one target that wait for its check.
MAX_BROKEN_PER_TARGET = 256


@dataclass(frozen=True)
class BrokenAttempt:
    """A request whose connection to a target broke.

    `has_begun` tells whether the target had sent a whole event of its answer.
    """

    request: RoutedRequest
    target: Target
    has_begun: bool


@dataclass(frozen=True)
class _Suspect:
    """What is kept of a request while its target is checked: not its body."""

    request_id: str
    fingerprint: int
    prompt: Prompt | None
    has_begun: bool
    arrived_at: float
    ended_early: bool


class CrashTracker:
    """Records crashes of targets and refuses requests that cause them.

    `early_ends` has the targets that live and end responses early.
    """

    def __init__(
        self, update_exchange: UpdateExchange, clients: TargetClients
    ) -> None:
        self.early_ends = EarlyEnds()
        self._clients = clients
        self._directory = update_exchange.state.directory
        self._crashed = update_exchange.state.crashed_requests
        self._blame = update_exchange.state.crash_blame
        self._update_exchange = update_exchange
        self._logged_groups: tuple[frozenset[int], ...] = ()
        self._restarts = UntoldRestarts()
        # By target: one connection shows whether all its requests lost it.
        self._to_check: dict[Target, list[_Suspect]] = {}
        self._has_checks = trio.Event()

    def check(self, request: RoutedRequest) -> None:
        """Raise ForwardedRequestQuarantined after too many lost targets."""
        now = trio.current_time()
        if self._crashed.is_refused(request.fingerprint, CRASH_LIMIT, now):
            raise ForwardedRequestQuarantined(
                'Targets that ran this request were lost '
                f'({request.fingerprint:016x}): change it.',
                retry_after_seconds=RECORD_TTL_SECONDS,
            )
        if not self._blame.groups:
            return
        blamed = self._blame.blamed_group(shared_part_ids(request.prompt))
        if blamed is not None:
            raise ForwardedRequestQuarantined(
                'Targets that began to answer on parts of this prompt were '
                f'lost ({format_parts(blamed)}): leave one of them out.',
                retry_after_seconds=RECORD_TTL_SECONDS,
            )

    def clear(self, request: RoutedRequest) -> None:
        """Clear a request that a target has completed."""
        cleared = self._crashed.clear(request.fingerprint, trio.current_time())
        self._update_exchange.crashed_request_sync.share(cleared)

    def record_begin(self, request: RoutedRequest) -> None:
        """Clear the parts of a prompt on which a target begins to answer."""
        parts = shared_part_ids(request.prompt)
        cleared = self._blame.record_begin(parts, trio.current_time())
        self._update_exchange.crash_blame_sync.share(cleared)

    def schedule_check(self, broken: BrokenAttempt, exc: AttemptError) -> None:
        """Schedule a check of the target if its connection broke."""
        if not isinstance(exc, ResponseLost | ResponseTruncated):
            return
        waiting = self._to_check.setdefault(broken.target, [])
        if len(waiting) < MAX_BROKEN_PER_TARGET:
            request = broken.request
            waiting.append(
                _Suspect(
                    request.request_id,
                    request.fingerprint,
                    request.prompt,
                    broken.has_begun,
                    request.arrived_at,
                    isinstance(exc, ResponseEndedEarly),
                )
            )
            self._has_checks.set()

    def log_changes(self) -> None:
        """Log the parts that are blamed now, or no longer."""
        logged, groups = self._logged_groups, self._blame.groups
        if logged is groups:
            return
        self._logged_groups = groups
        for group in set(groups) - set(logged):
            log_event('part.blamed', parts=format_parts(group))
        for group in set(logged) - set(groups):
            log_event('part.cleared', parts=format_parts(group))

    async def run(self) -> None:
        """Check targets whose connections broke, until cancelled."""
        while True:
            await self._has_checks.wait()
            self._has_checks = trio.Event()
            to_check = self._to_check
            self._to_check = {}
            async with trio.open_nursery() as nursery:
                for target, suspects in to_check.items():
                    nursery.start_soon(self._check_target, target, suspects)

    async def _check_target(
        self, target: Target, suspects: list[_Suspect]
    ) -> None:
        if self._directory.evacuations.covers(target):
            # It may be switched off: that is no fault of its requests.
            return
        arrived_at = max(suspect.arrived_at for suspect in suspects)
        client = self._clients.client(target)
        sign = await client.process_sign(arrived_at)
        self._clients.restarts.record_sign(target, sign, trio.current_time())
        if sign is TargetSign.same_process:
            self._record_early_ends(target, suspects)
        if sign not in IS_LOST:
            return
        now = trio.current_time()
        process_id = self._restarts.record_crash(
            target,
            arrived_at,
            now,
            is_told=self._directory.belief.is_current(now),
        )
        for suspect in suspects:
            self._record_loss(target, suspect, process_id, now)

    def _record_early_ends(
        self, target: Target, suspects: list[_Suspect]
    ) -> None:
        """Record that a process that lives has ended responses early."""
        if not any(suspect.ended_early for suspect in suspects):
            return
        if self.early_ends.record(target, trio.current_time()):
            log_failure(
                'target.ends_early',
                target=target.name,
                incarnation=target.incarnation,
            )

    def _record_loss(
        self, target: Target, suspect: _Suspect, process_id: int, now: float
    ) -> None:
        record = self._crashed.record_loss(suspect.fingerprint, process_id, now)
        log_failure(
            'request.lost_target',
            request=suspect.request_id,
            mark=f'{suspect.fingerprint:016x}',
            target=target.name,
            lost=len(record.open_losses()),
            has_begun=suspect.has_begun,
            parts=_part_names(suspect.prompt),
        )
        self._update_exchange.crashed_request_sync.share((record,))
        if not suspect.has_begun:
            self._record_part_losses(suspect, process_id, now)

    def _record_part_losses(
        self, suspect: _Suspect, process_id: int, now: float
    ) -> None:
        changed = self._blame.record_loss(
            process_id,
            suspect.fingerprint,
            shared_part_ids(suspect.prompt),
            now,
        )
        self._update_exchange.crash_blame_sync.share(changed)


def _part_names(prompt: Prompt | None) -> str:
    """Return the shared parts of a prompt for the logs."""
    if prompt is None:
        return ''
    return ','.join(part.name for part in prompt.shared_parts)
