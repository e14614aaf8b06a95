"""Connections that show which process of a target serves at its address.

A new connection shows that some process serves. One that was opened before
shows which: as long as it stands and is answered, that process has not ended.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from peridotwell.domain.target import Target
from peridotwell.logs import log_failure
from peridotwell.policy.evidence.process_spans import (
    ProcessSpan,
    ProcessSpans,
    add_lost,
)
from peridotwell.serving.sign_of_life import status_request
from peridotwell.serving.witness_connection import (
    WitnessAnswer,
    WitnessConnection,
)

__all__ = ('ProcessWitness',)

# Targets close idle connections: while one is replaced, the other one stands.
CONNECTIONS = 2
# How long they are kept after the last response without a mark.
KEEP_SECONDS = 20.0
# A process is taken to have served for so long before the first connection to
# it: that is opened when the head of a response has come.
OPEN_SECONDS = 0.1
# After a failed attempt, the next one is made so much later.
RETRY_SECONDS = 1.0


@dataclass
class _Witness:
    """A connection to a process that has served `since` a time."""

    conn: WitnessConnection
    since: float


class ProcessWitness:
    """Keeps connections to one target while responses need them.

    `find_path` returns the path of status checks.
    """

    def __init__(
        self,
        target: Target,
        find_path: Callable[[], str],
        connect_seconds: float,
    ) -> None:
        self._target = target
        self._find_path = find_path
        self._connect_seconds = connect_seconds
        self._witnesses: list[_Witness] = []
        self._lost: tuple[ProcessSpan, ...] = ()
        self._needed_at = -math.inf
        self._retry_at = -math.inf
        self._is_closed = False
        self._lock = trio.Lock()

    def need(self, now: float) -> None:
        """Keep connections for some time from now on."""
        self._needed_at = now

    def is_needed(self, now: float) -> bool:
        """Return whether connections are kept."""
        return not self._is_closed and now - self._needed_at < KEEP_SECONDS

    async def ask(self) -> ProcessSpans:
        """Ask the process for a sign of life; return what is known then.

        A connection whose end is still on its way is reset when it is used.
        """
        # Half an answer that is left behind would be taken for the next one.
        with trio.CancelScope(shield=True):
            async with self._lock:
                since = await self._ask()
        serving = None if since is None else ProcessSpan(since)
        return ProcessSpans(serving, self._lost)

    async def look(self, now: float) -> None:
        """Replace connections that have ended, or close those not needed."""
        async with self._lock:
            await self._remove_ended(now)
            if not self.is_needed(now):
                await self._close_all()
            elif self._count_usable() < CONNECTIONS and now >= self._retry_at:
                await self._add()

    async def aclose(self) -> None:
        """Close the connections; no more are opened."""
        self._is_closed = True
        await self._close_all()

    def _count_usable(self) -> int:
        return sum(not each.conn.is_spent for each in self._witnesses)

    async def _ask(self) -> float | None:
        """Return since when the process has served, None if nothing tells."""
        now = trio.current_time()
        await self._remove_ended(now)
        request = status_request(self._target, self._find_path(), is_last=False)
        for witness in sorted(self._witnesses, key=lambda each: each.since):
            answer = await witness.conn.ask(request)
            if answer is not WitnessAnswer.ended:
                await self._replace_last(witness)
                return witness.since
        await self._remove_ended(trio.current_time())
        return None

    async def _replace_last(self, witness: _Witness) -> None:
        """Replace a connection that the target closes behind its answer."""
        if not witness.conn.is_last:
            return
        conn = await WitnessConnection.open(self._target, self._connect_seconds)
        self._witnesses.remove(witness)
        if conn is not None:
            self._witnesses.append(_Witness(conn, witness.since))
        await _close([witness])

    async def _add(self) -> None:
        """Open a connection.

        It leads to the process of the others if one of these stands afterwards.
        """
        conn = await WitnessConnection.open(self._target, self._connect_seconds)
        if conn is None:
            self._retry_at = trio.current_time() + RETRY_SECONDS
            return
        known_since = await self._ask()
        since = self._first_since(conn) if known_since is None else known_since
        await self._remove_spent()
        self._witnesses.append(_Witness(conn, since))

    def _first_since(self, conn: WitnessConnection) -> float:
        lost_at = max((span.lost_at for span in self._lost), default=-math.inf)
        return max(conn.opened_at - OPEN_SECONDS, lost_at)

    async def _remove_spent(self) -> None:
        spent = [each for each in self._witnesses if each.conn.is_spent]
        self._witnesses = [
            each for each in self._witnesses if not each.conn.is_spent
        ]
        await _close(spent)

    async def _remove_ended(self, now: float) -> None:
        ended = [each for each in self._witnesses if each.conn.has_ended()]
        self._witnesses = [
            each for each in self._witnesses if each not in ended
        ]
        await _close(ended)
        if ended and not self._witnesses:
            since = min(each.since for each in ended)
            self._lost = add_lost(self._lost, ProcessSpan(since, now))
            self._retry_at = now
            log_failure(
                'target.witness_lost',
                target=self._target.name,
                incarnation=self._target.incarnation,
                connections=len(ended),
                since_seconds=round(now - since, 3),
            )

    async def _close_all(self) -> None:
        witnesses = self._witnesses
        self._witnesses = []
        await _close(witnesses)


async def _close(witnesses: list[_Witness]) -> None:
    for witness in witnesses:
        await witness.conn.aclose()
