"""Whether the process that ended a response still serves.

The connections of a process that is killed or crashes end like those that it
closes. A response whose end is marked only by that of its connection may then
be cut, and nothing in it tells. Something else may accept connections at the
address of that process at once: another process, or a proxy.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from weakref import WeakKeyDictionary

import httpcore
import trio

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Target
from peridotwell.logs import log_failure
from peridotwell.policy.evidence.simultaneous_ends import count_telling_ends
from peridotwell.serving.sign_of_life import status_request
from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.target_connection import TargetConnection

__all__ = (
    'HAS_ENDED',
    'Connections',
    'ConnectionSource',
    'EndCheck',
    'TargetSign',
    'ask_for_status',
)

# A process that ends closes its connections and the port at which it listens
# one after the other, within this time.
SETTLE_SECONDS = 0.05
# Within this time, its connections end; those of sound responses rarely do.
MOMENT_SECONDS = 0.02
# How long the answer to a status check is waited for.
STATUS_SECONDS = 0.1
# A sound target may close the first connection, as one too many.
MAX_CONNECTIONS = 2
# Where as many have ended one by one before, the last ones may come together.
EARLIER_SECONDS = 0.5
MAX_ENDS = 256


class TargetSign(Enum):
    """What shows whether the process of a target still serves."""

    # A connection from before is still open.
    same_process = 'same_process'
    # All connections from before have ended in one moment.
    ended_together = 'ended_together'
    # The answers to a status check on a new connection.
    answered = 'answered'
    silent = 'silent'
    closed = 'closed'
    refused = 'refused'
    unreachable = 'unreachable'


HAS_ENDED = frozenset(
    (TargetSign.ended_together, TargetSign.closed, TargetSign.refused)
)


@dataclass(frozen=True)
class Connections:
    """Connections to a target: `used` by responses that go on, and idle."""

    used: Sequence[TargetConnection]
    idle: Sequence[TargetConnection]


class ConnectionSource(ABC):
    """Knows the connections to one target, and where it tells its status."""

    @abstractmethod
    def connections(self) -> Connections:
        """Return the connections that are not closed on this side."""

    @abstractmethod
    def status_path(self) -> str:
        """Return the path of status checks."""


class EndCheck:
    """Finds out whether a target that ended a response still serves.

    One question is asked for all responses that end in the same moment.
    """

    def __init__(
        self, target: Target, source: ConnectionSource, connect_seconds: float
    ) -> None:
        self._target = target
        self._source = source
        self._connect_seconds = connect_seconds
        # The question that responses join which end now.
        self._question: _Question | None = None
        self._ended_at: WeakKeyDictionary[TargetConnection, float] = (
            WeakKeyDictionary()
        )
        self._ends: deque[float] = deque(maxlen=MAX_ENDS)

    async def check(self, request_id: str) -> None:
        """Raise ResponseTruncated if the process has ended.

        A target that cannot be reached or does not answer may be a sound one.
        """
        sign = await self.sign()
        log_failure(
            'end.checked',
            request=request_id,
            target=self._target.name,
            answer=sign.value,
            incarnation=self._target.incarnation,
        )
        if sign in HAS_ENDED:
            raise ResponseTruncated(
                'The target ended with its response, which has no other mark '
                f'of its end and may be cut ({sign.value}).'
            )

    async def sign(self) -> TargetSign:
        """Return what is found out, for one or several responses.

        Who asks may be cancelled: then the next one asks.
        """
        while self._question is not None:
            question = self._question
            await question.is_over.wait()
            if question.sign is not None:
                return question.sign
        question = _Question()
        self._question = question
        try:
            question.sign = await self._ask(question)
        finally:
            self._end_moment(question)
            question.is_over.set()
        return question.sign

    async def _ask(self, question: '_Question') -> TargetSign:
        asked_at = trio.current_time()
        self._note_ended(asked_at)
        await trio.sleep(MOMENT_SECONDS)
        self._end_moment(question)
        self._note_ended(trio.current_time())
        have_ended = self._have_ended_together(asked_at)
        await trio.sleep(SETTLE_SECONDS - MOMENT_SECONDS)
        if _any_open(self._source.connections(), asked_at):
            return TargetSign.same_process
        if have_ended:
            return TargetSign.ended_together
        path = self._source.status_path()
        return await ask_for_status(self._target, path, self._connect_seconds)

    def _end_moment(self, question: '_Question') -> None:
        """Let responses that end later ask a question of their own."""
        if self._question is question:
            self._question = None

    def _note_ended(self, now: float) -> None:
        for conn in self._source.connections().used:
            if conn not in self._ended_at and conn.has_peer_ended():
                self._ended_at[conn] = now
                self._ends.append(now)

    def _have_ended_together(self, asked_at: float) -> bool:
        """Whether all connections that were open at a moment have ended."""
        known = self._source.connections()
        if _any_open(known, asked_at):
            return False
        ends = {
            conn: self._ended_at[conn]
            for conn in known.used
            if self._ended_at.get(conn, 0) >= asked_at
        }
        # A late router notes ends over a longer moment.
        noted_seconds = max(ends.values(), default=asked_at) - asked_at
        ended = count_telling_ends(
            [conn.used_at for conn in ends],
            asked_at,
            max(MOMENT_SECONDS, noted_seconds),
        )
        earlier = sum(
            asked_at - EARLIER_SECONDS <= ended_at < asked_at
            for ended_at in self._ends
        )
        return ended.show_end(earlier)


class _Question:
    """A question that is asked; `sign` is the answer, None if it has none."""

    def __init__(self) -> None:
        self.is_over = trio.Event()
        self.sign: TargetSign | None = None


def _any_open(known: Connections, before: float) -> bool:
    """Return whether a connection from before a moment is still open."""
    return any(
        conn.opened_at < before and not conn.has_peer_ended()
        for conn in (*known.used, *known.idle)
    )


async def ask_for_status(
    target: Target, path: str, connect_seconds: float
) -> TargetSign:
    """Return how a target answers a status check on a new connection."""
    sign = TargetSign.closed
    for _ in range(MAX_CONNECTIONS):
        connection = await _connect(target, connect_seconds)
        if isinstance(connection, TargetSign):
            return connection
        sign = await _answer(connection, target, path)
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
    except OSError:
        # This router has no descriptor left for a connection: it cannot ask.
        return TargetSign.unreachable


async def _answer(
    connection: httpcore.AsyncNetworkStream, target: Target, path: str
) -> TargetSign:
    try:
        await connection.write(status_request(target, path), STATUS_SECONDS)
        received = await connection.read(1, STATUS_SECONDS)
    except httpcore.TimeoutException:
        return TargetSign.silent
    except (httpcore.ReadError, httpcore.WriteError):
        return TargetSign.closed
    else:
        return TargetSign.answered if received else TargetSign.closed
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()
