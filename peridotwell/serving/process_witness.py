"""Connections that show which process of a target serves at its address.

A new connection shows that some process serves. One that was opened before
shows which: as long as it stands and is answered, that process has not ended.
"""

import math
from collections.abc import Callable, Iterable, Sequence
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
# With those that are not answered, and may be once their target goes on.
MAX_CONNECTIONS = 4
# How long they are kept after the last response without a mark.
KEEP_SECONDS = 20.0
# A process is taken to have served for so long before the first connection to
# it: that is opened when the head of a response has come.
OPEN_SECONDS = 0.1
# Connections are asked so often at least, before their target closes them as
# idle; those of targets that do so sooner, twice within their time.
REFRESH_SECONDS = 2.0
MIN_REFRESH_SECONDS = 0.2
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
        self._refresh_seconds = REFRESH_SECONDS
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
            if self.is_needed(now):
                await self._refresh(now)
                await self._add_missing(trio.current_time())
            else:
                await self._close_all()

    async def aclose(self) -> None:
        """Close the connections; no more are opened."""
        self._is_closed = True
        async with self._lock:
            await self._close_all()

    async def _add_missing(self, now: float) -> None:
        usable = sum(not each.conn.is_spent for each in self._witnesses)
        has_room = len(self._witnesses) < MAX_CONNECTIONS
        if usable < CONNECTIONS and has_room and now >= self._retry_at:
            await self._add()

    async def _refresh(self, now: float) -> None:
        """Ask on the connections that their target may close as idle."""
        for witness in tuple(self._witnesses):
            is_due = now - witness.conn.used_at >= self._refresh_seconds
            if is_due and not witness.conn.is_spent:
                await self._ask_one(witness)
        await self._remove_ended(trio.current_time())

    async def _ask_one(self, witness: _Witness) -> WitnessAnswer:
        request = status_request(self._target, self._find_path(), is_last=False)
        answer = await witness.conn.ask(request)
        if answer is WitnessAnswer.answered:
            await self._replace_last(witness)
        return answer

    async def _ask(self) -> float | None:
        """Return since when the process has served, None if nothing tells."""
        now = trio.current_time()
        await self._remove_ended(now)
        for witness in self._by_age():
            if await self._ask_one(witness) is not WitnessAnswer.ended:
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

        It leads to the process of the others if one answers afterwards. If they
        are silent, it may lead to the next process, behind a cut.
        """
        conn = await WitnessConnection.open(self._target, self._connect_seconds)
        if conn is None:
            self._retry_at = trio.current_time() + RETRY_SECONDS
            return
        since = self._first_since(conn)
        answered = await self._find_answering()
        if answered is not None:
            since = answered.since
            await self._remove_spent(since)
        self._witnesses.append(_Witness(conn, since))

    def _first_since(self, conn: WitnessConnection) -> float:
        lost_at = max((span.lost_at for span in self._lost), default=-math.inf)
        return max(conn.opened_at - OPEN_SECONDS, lost_at)

    async def _find_answering(self) -> _Witness | None:
        """Return the first connection that is answered, if any is."""
        for witness in self._by_age():
            if await self._ask_one(witness) is WitnessAnswer.answered:
                return witness
        return None

    async def _remove_spent(self, since: float) -> None:
        """Close those that take no check, and show no more than others."""
        spent = [
            each
            for each in self._witnesses
            if each.conn.is_spent and each.since >= since
        ]
        self._witnesses = [
            each for each in self._witnesses if each not in spent
        ]
        await _close(spent)

    def _by_age(self) -> Sequence[_Witness]:
        return sorted(self._witnesses, key=lambda each: each.since)

    async def _remove_ended(self, now: float) -> None:
        ended = [each for each in self._witnesses if each.conn.has_ended()]
        self._witnesses = [
            each for each in self._witnesses if each not in ended
        ]
        await _close(ended)
        self._learn_idle_time(ended, now)
        since = min((each.since for each in ended), default=math.inf)
        if all(since < each.since for each in self._witnesses) and ended:
            self._lost = add_lost(self._lost, ProcessSpan(since, now))
            self._retry_at = now
            log_failure(
                'target.witness_lost',
                target=self._target.name,
                incarnation=self._target.incarnation,
                connections=len(ended),
                since_seconds=round(now - since, 3),
            )

    def _learn_idle_time(self, ended: Iterable[_Witness], now: float) -> None:
        for witness in ended:
            seconds = (now - witness.conn.used_at) / 2
            self._refresh_seconds = max(
                MIN_REFRESH_SECONDS, min(self._refresh_seconds, seconds)
            )

    async def _close_all(self) -> None:
        witnesses = self._witnesses
        self._witnesses = []
        await _close(witnesses)


async def _close(witnesses: list[_Witness]) -> None:
    for witness in witnesses:
        await witness.conn.aclose()
