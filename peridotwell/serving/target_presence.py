"""Whether the process that ended a response still serves.

The connections of a process that is killed or crashes end like those that it
closes. A response whose end is marked only by that of its connection may then
be cut, and nothing in it tells. Something else may accept connections at the
address of that process at once: another process, or a proxy.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

import httpcore
import trio

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Target
from peridotwell.logs import log_failure
from peridotwell.policy.evidence.process_evidence import (
    HAS_ENDED,
    ProcessEvidence,
    ResponseTimes,
    TargetSign,
)
from peridotwell.policy.evidence.process_spans import ProcessSpans
from peridotwell.policy.evidence.simultaneous_ends import (
    count_burst,
    count_telling_ends,
)
from peridotwell.serving.process_witness import ProcessWitness
from peridotwell.serving.sign_of_life import status_request
from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.target_connection import TargetConnection

__all__ = (
    'Connections',
    'ConnectionSource',
    'EndCheck',
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
    """Finds out whether the process that ended a response still serves.

    One question is asked for all responses that end in the same moment.
    `witness` shows which process serves, while connections are kept for it.
    """

    def __init__(
        self,
        target: Target,
        source: ConnectionSource,
        connect_seconds: float,
    ) -> None:
        self._target = target
        self._source = source
        self._connect_seconds = connect_seconds
        self.witness = ProcessWitness(
            target, source.status_path, connect_seconds
        )
        # The question that responses join which end now.
        self._question: _Question | None = None
        self._ended_at: WeakKeyDictionary[TargetConnection, float] = (
            WeakKeyDictionary()
        )
        self._ends: deque[float] = deque(maxlen=MAX_ENDS)

    async def check(
        self, request_id: str, times: ResponseTimes, last_at: float
    ) -> ProcessEvidence:
        """Return what is known of the process that sent a response.

        `last_at` is when its last part came. Raises ResponseTruncated if the
        process has ended. One that cannot be reached or does not answer may be
        sound.
        """
        findings = await self._find(times)
        sign = await self._sign(findings, times, last_at)
        now = trio.current_time()
        log_failure(
            'end.checked',
            request=request_id,
            target=self._target.name,
            answer=sign.value,
            incarnation=self._target.incarnation,
            sent_seconds=round(now - times.sent_at, 3),
            seen_seconds=round(now - times.seen_at, 3),
            process_seconds=findings.process_seconds(now),
            burst=findings.is_burst,
        )
        if sign in HAS_ENDED:
            raise ResponseTruncated(
                'The target ended with its response, which has no other mark '
                f'of its end and may be cut ({sign.value}).'
            )
        return ProcessEvidence(sign, findings.is_burst)

    async def sign(self, seen_at: float) -> TargetSign:
        """Return what shows the process that sent something at a time."""
        times = ResponseTimes(seen_at, seen_at)
        return await self._sign(await self._find(), times, seen_at)

    async def _sign(
        self, findings: '_Findings', times: ResponseTimes, last_at: float
    ) -> TargetSign:
        """Return what is known, or else ask whatever serves at the address."""
        known = findings.sign(times, last_at, trio.current_time())
        if known is not None:
            return known
        async with findings.lock:
            if findings.status is None:
                findings.status = await ask_for_status(
                    self._target,
                    self._source.status_path(),
                    self._connect_seconds,
                )
        return findings.status

    async def _find(self, times: ResponseTimes | None = None) -> '_Findings':
        """Return what connections show, for one or several responses.

        Who asks may be cancelled: then the next one asks.
        """
        while self._question is not None:
            question = self._question
            question.add(times)
            await question.is_over.wait()
            if question.findings is not None:
                return question.findings
        question = _Question()
        question.add(times)
        self._question = question
        try:
            question.findings = await self._ask(question)
        finally:
            self._end_moment(question)
            question.is_over.set()
        return question.findings

    async def _ask(self, question: '_Question') -> '_Findings':
        asked_at = trio.current_time()
        self._note_ended(asked_at)
        await trio.sleep(MOMENT_SECONDS)
        self._end_moment(question)
        self._note_ended(trio.current_time())
        known = self._source.connections()
        have_ended = self._have_ended_together(known, asked_at)
        is_burst = self._is_burst(question, asked_at)
        await trio.sleep(SETTLE_SECONDS - MOMENT_SECONDS)
        return _Findings(
            await self.witness.ask(),
            _oldest_open(self._source.connections()),
            ended_together=have_ended,
            is_burst=is_burst,
        )

    def _end_moment(self, question: '_Question') -> None:
        """Let responses that end later ask a question of their own."""
        if self._question is question:
            self._question = None

    def _note_ended(self, now: float) -> None:
        for conn in self._source.connections().used:
            if conn not in self._ended_at and conn.has_peer_ended():
                self._ended_at[conn] = now
                self._ends.append(now)

    def _is_burst(self, question: '_Question', asked_at: float) -> bool:
        """Whether all responses have ended, more in a moment than by chance."""
        if any(
            conn.used_at < asked_at and not conn.has_peer_ended()
            for conn in self._source.connections().used
        ):
            return False
        ended = count_burst(question.times, asked_at, MOMENT_SECONDS)
        return ended.show_end(self._count_earlier(asked_at))

    def _have_ended_together(self, known: Connections, asked_at: float) -> bool:
        """Whether all connections that were open at a moment have ended."""
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
        return ended.show_end(self._count_earlier(asked_at))

    def _count_earlier(self, asked_at: float) -> int:
        """Return how many connections have ended shortly before."""
        return sum(
            asked_at - EARLIER_SECONDS <= ended_at < asked_at
            for ended_at in self._ends
        )


class _Question:
    """A question that is asked; it has no findings if nobody asks it on."""

    def __init__(self) -> None:
        self.is_over = trio.Event()
        self.findings: _Findings | None = None
        # Of the responses that have ended in its moment.
        self.times: list[ResponseTimes] = []

    def add(self, times: ResponseTimes | None) -> None:
        """Add a response, if the question is asked for one."""
        if times is not None:
            self.times.append(times)


@dataclass
class _Findings:
    """What connections show of the processes of a target.

    `oldest_open_at` is when the oldest one was opened that still stands,
    `is_burst` whether all responses have ended in one moment, `status` how a
    new connection was answered, None while none was opened.
    """

    spans: ProcessSpans
    oldest_open_at: float
    ended_together: bool
    is_burst: bool
    status: TargetSign | None = None
    lock: trio.Lock = field(default_factory=trio.Lock)

    def sign(
        self, times: ResponseTimes, last_at: float, now: float
    ) -> TargetSign | None:
        """Return what they show of the process that sent a response.

        Its last part came at `last_at`. None if they show nothing of it.
        """
        if self.spans.has_ended(times, last_at, now):
            return TargetSign.replaced
        if self.spans.is_same(times.seen_at):
            return TargetSign.same_process
        if self.oldest_open_at <= times.seen_at:
            return TargetSign.same_process
        return TargetSign.ended_together if self.ended_together else None

    def process_seconds(self, now: float) -> float | None:
        """Return for how long the process has served that is known to."""
        serving = self.spans.serving
        return None if serving is None else round(now - serving.since, 3)


def _oldest_open(known: Connections) -> float:
    """Return when the oldest connection was opened that is still open."""
    return min(
        (
            conn.opened_at
            for conn in (*known.used, *known.idle)
            if not conn.has_peer_ended()
        ),
        default=math.inf,
    )


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
