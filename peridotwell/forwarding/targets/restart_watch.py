"""Watches for targets that may have started again without their entry.

Streams that go on need a target of a certain software version, and a target's
entry may tell that of an earlier process.
"""

import httpcore
import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    ResponseLost,
    ResponseTruncated,
)
from peridotwell.domain.target import Target
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.sending.connection_check import can_connect
from peridotwell.logs import log_failure
from peridotwell.policy.evidence.process_evidence import HAS_ENDED, TargetSign
from peridotwell.policy.versions.restart_signs import RestartSigns

__all__ = ('RestartWatch',)

# So many connections that have all ended show that their process has.
TELLING_CONNECTIONS = 2
CONNECT_SECONDS = 0.1
# How long a stream that goes on waits for the store's answer.
MAX_WAIT_SECONDS = 0.15


class RestartWatch:
    """Tells whether the entry of a target may be of an earlier process."""

    def __init__(self, directory: ServiceDirectory) -> None:
        self._directory = directory
        self._signs = RestartSigns()
        # Set, and replaced, when the store has answered.
        self._news = trio.Event()
        directory.on_change(self._remove_gone)
        directory.belief.on_evidence(self._announce)

    def record_closed(self, target: Target, connections: int) -> None:
        """Record that all connections to a target, so many, have ended."""
        self._record_end(
            target,
            is_certain=connections >= TELLING_CONNECTIONS,
            sign='connections_closed',
        )

    def record_failure(
        self, target: Target, exc: AttemptError, *, is_connected: bool
    ) -> None:
        """Record what the failure of an attempt shows.

        `is_connected` tells whether another connection to the target is open.
        """
        if isinstance(exc, ConnectionFailed) and _is_refused(exc):
            self._record_end(target, is_certain=True, sign=exc.code)
        is_broken = isinstance(exc, ResponseLost | ResponseTruncated)
        if is_broken and not is_connected:
            self._record_end(target, is_certain=False, sign=exc.code)

    def record_sign(self, target: Target, sign: TargetSign, now: float) -> None:
        """Record what a check of a target has shown."""
        if sign in HAS_ENDED:
            self._record_end(target, is_certain=True, sign=sign.value)
        if sign is TargetSign.same_process:
            self._signs.record_same(target)
        if sign is TargetSign.answered:
            self.record_found(target, now)

    def record_found(self, target: Target, now: float) -> None:
        """Record that there is a connection to a target.

        After a sign, the store is asked whether its entry still holds.
        """
        if self._signs.record_found(target, now):
            self._directory.belief.require(now)

    async def settle(self, target: Target) -> None:
        """Wait for the store to tell whether the entry of a target holds.

        Return at once unless the target may have restarted, and if the store
        is known to be away or does not answer in time.
        """
        if not self.may_have_restarted(target):
            return
        if self._signs.found_at(target) is None:
            if not await can_connect(target, CONNECT_SECONDS):
                return
            self.record_found(target, trio.current_time())
        found_at = self._signs.found_at(target)
        if found_at is None:
            return
        with trio.move_on_at(found_at + MAX_WAIT_SECONDS):
            while self._is_awaited(target):
                await self._news.wait()

    def _is_awaited(self, target: Target) -> bool:
        is_away = self._directory.belief.is_away()
        return self.may_have_restarted(target) and not is_away

    def found_at(self, target: Target, now: float) -> float:
        """Return when the process was found that serves a target now."""
        found_at = self._signs.found_at(target)
        return now if found_at is None else found_at

    def may_have_restarted(self, target: Target) -> bool:
        """Return whether the entry of a target may be of an earlier process."""
        belief = self._directory.belief
        return self._signs.may_have_restarted(
            target, belief.answered_until, is_store_away=belief.is_away()
        )

    def has_held(self, target: Target, since: float) -> bool | None:
        """Return whether the entry of a target still held later than a time.

        Returns None while that is not known.
        """
        if self._directory.belief.answered_until <= since:
            return None
        listed = self._directory.target_by_id(target.wire_id)
        return listed is not None and (
            (listed.incarnation, listed.software_id)
            == (target.incarnation, target.software_id)
        )

    def _record_end(
        self, target: Target, *, is_certain: bool, sign: str
    ) -> None:
        answered_until = self._directory.belief.answered_until
        self._signs.record_known(target, answered_until)
        self._signs.record_end(target, is_certain=is_certain)
        if is_certain:
            log_failure(
                'target.may_have_restarted',
                target=target.name,
                incarnation=target.incarnation,
                software=target.software,
                sign=sign,
            )

    def _announce(self, _: float) -> None:
        self._news.set()
        self._news = trio.Event()

    def _remove_gone(self) -> None:
        self._signs.keep_only(
            {target.name for target in self._directory.all_targets()}
        )


def _is_refused(exc: ConnectionFailed) -> bool:
    """Return whether no process listens at the address."""
    cause = exc.__cause__
    return isinstance(cause, httpcore.ConnectError) and isinstance(
        cause.__cause__, ConnectionRefusedError
    )
