"""A simulated target, which records what it runs and answers."""

import random
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from tests.raw_target import read_request
from tests.soak.brittle import CONTACT_SECONDS
from tests.soak.events import EVENTS_PER_STREAM
from tests.soak.odd_answers import make_odd, make_oddity
from tests.soak.origins import Origin
from tests.soak.proxy import FaultProxy
from tests.soak.raw_answers import (
    Answer,
    Manner,
    Request,
    pieces_of,
    send_answer,
)
from tests.soak.records import (
    Arrived,
    Record,
    Replied,
    TakenBack,
    TargetDisturbed,
    now,
)
from tests.soak.standstill import Standstill, StillStream

__all__ = ('EXECUTION_SECONDS', 'SoakTarget')

EXECUTION_SECONDS = 0.03
EVENT_SECONDS = 0.02
# Status checks are no requests of callers, and need no slot.
STATUS_PATH = '/peridotwell/report'
STATUS = Answer(200, (), (b'{}',))
BRITTLE_SLOTS = 2
BRITTLE_FIELD = 'server-brittle'
MAX_EXTRA_SECONDS = 1.0
# Shares of the answers of targets with that fault.
STUTTER_SHARE = 0.5
CUT_SHARE = 0.3
ODD_SHARE = 0.4
CUTS = (
    Manner('length', 'end'),
    Manner('length', 'reset'),
    Manner('chunks', 'end'),
    Manner('chunks', 'reset'),
    Manner('open', 'reset'),
    Manner('open'),
)


@dataclass
class SoakTarget:
    """A simulated target whose responses contain the ID of their request.

    `starts` is the number of its starts. Its answers may say that it leaves,
    ask for a pause, name a limit or say that it is brittle. From `brittle_from`
    on, a brittle target runs so few requests at once that it has to reject
    some; if that is None, from a time after the first answer that says so. A
    target that `stutters` sends answers a second time, one that `cuts` breaks
    them off, and some `odd_answers` repeat events, leave some out, or end
    early; an `oddity_share` of its answers have one `oddity`. While it stands
    still, it neither reads nor sends. Its `ways` are the routers' proxies. Its
    software has a `version`.
    """

    name: str
    records: list[Record]
    draws: random.Random
    process: str = 'targets'
    proxy: FaultProxy | None = None
    ways: list[FaultProxy] = field(default_factory=list)
    standstill: Standstill = field(default_factory=Standstill)
    is_failing: bool = False
    failing_share: float = 0
    slow_seconds: float = 0
    stutters: bool = False
    cuts: bool = False
    odd_answers: bool = False
    oddity: str = ''
    oddity_share: float = 0
    # Apart from the others, so that seeds keep those.
    odd_draws: random.Random = field(default_factory=random.Random)
    says_leaving: bool = False
    pause_seconds: float = 0
    limit: str = ''
    max_rejections: str = ''
    brittle_from: float | None = 0
    running: int = 0
    dead_until: float = 0
    connections: set[trio.SocketStream] = field(default_factory=set)
    starts: int = 1
    version: str = ''
    runs: int = 0

    @property
    def incarnation(self) -> str:
        """Its name with the number of its start."""
        return f'{self.name} start {self.starts}'

    def stand_still(self) -> None:
        """Neither read nor send until `go_on`."""
        self.standstill.begin()

    def go_on(self) -> None:
        """Read what has come meanwhile, and go on."""
        self.standstill.end()

    def die(self, seconds: float) -> None:
        """End all connections as a process does that is killed.

        For a time, what is in front of it accepts connections to no end.
        """
        self.records.append(TargetDisturbed(now(), self.name))
        self.dead_until = now() + seconds
        for conn in tuple(self.connections):
            conn.socket.close()

    async def serve(self, conn: trio.SocketStream) -> None:
        """Answer the requests of one connection, one after the other."""
        if now() < self.dead_until:
            conn.socket.close()
            return
        self.connections.add(conn)
        try:
            await self._serve(conn)
        finally:
            self.connections.remove(conn)

    async def _serve(self, conn: trio.SocketStream) -> None:
        lock = trio.Lock()
        ways = [way.passages for way in self.ways]
        origin = Origin(conn, ([self.proxy.passages], ways))
        stream = StillStream(conn, self.standstill)
        async with trio.open_nursery() as nursery:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while content := await read_request(stream):
                    request = Request.parse(content)
                    if request.path == STATUS_PATH:
                        async with lock:
                            await send_answer(stream, STATUS, Manner('length'))
                        continue
                    if origin.is_reset():
                        self._record_taken_back(request, origin)
                        break
                    answer, manner = await self._answer(
                        request, stream, lock, origin.request_at
                    )
                    if manner.closes:
                        break
                    self._stutter(nursery, stream, lock, answer)
            nursery.cancel_scope.cancel()

    async def _answer(
        self,
        request: Request,
        stream: StillStream,
        lock: trio.Lock,
        sent_on_at: float,
    ) -> tuple[Answer, Manner]:
        rejection = self._reject(request.headers['x-request-id'], sent_on_at)
        if rejection:
            async with lock:
                await send_answer(stream, rejection, Manner('length'))
            return rejection, Manner('length')
        self.running += 1
        try:
            return await self._run(request, stream, lock)
        finally:
            self.running -= 1

    def _reject(self, request_id: str, sent_on_at: float) -> Answer | None:
        """Return the answer to a request that does not run."""
        fields = (('x-request-id', request_id), ('x-not-executed', '1'))
        if self.pause_seconds:
            self._record_arrival(
                request_id, sent_on_at, pause=self.pause_seconds
            )
            pause = ('retry-after', f'{self.pause_seconds}')
            return Answer(503, (*fields, pause), ())
        if self._is_brittle() and self.running >= BRITTLE_SLOTS:
            bearable = float(self.max_rejections)
            self._record_arrival(
                request_id, sent_on_at, max_rejections=bearable
            )
            return Answer(503, (*fields, *self._brittle_fields()), ())
        self._record_arrival(request_id, sent_on_at)
        return None

    def _record_taken_back(self, request: Request, origin: Origin) -> None:
        request_id = request.headers['x-request-id']
        self.records.append(
            TakenBack(
                now(), request_id, self.name, self.starts, origin.request_at
            )
        )

    def _record_arrival(
        self,
        request_id: str,
        sent_on_at: float,
        pause: float = 0,
        max_rejections: float = 0,
    ) -> None:
        is_clear = self._is_clear()
        arrived = Arrived(
            now(),
            request_id,
            self.name,
            self.starts,
            not (pause or max_rejections),
            pause * is_clear,
            max_rejections * is_clear,
            self.process,
            sent_on_at,
        )
        self.records.append(arrived)

    def _is_clear(self) -> bool:
        """Whether no fault holds up requests or answers."""
        return self.proxy.is_clear and self.standstill.is_over

    def _is_brittle(self) -> bool:
        is_known = self.brittle_from is not None and now() >= self.brittle_from
        return is_known and bool(self.max_rejections)

    def _note_answer(self, answer: Answer, manner: Manner) -> None:
        """Let routers have time from the first answer on that tells them."""
        tells = any(name == BRITTLE_FIELD for name, _ in answer.fields)
        is_passed_on = self._is_clear() and not manner.cut
        if tells and is_passed_on and self.brittle_from is None:
            self.brittle_from = now() + CONTACT_SECONDS

    def _brittle_fields(self) -> tuple[tuple[str, str], ...]:
        return (
            (BRITTLE_FIELD, self.max_rejections),
            ('x-replica-load', f'{self.running},0,{BRITTLE_SLOTS}'),
        )

    async def _run(
        self, request: Request, stream: StillStream, lock: trio.Lock
    ) -> tuple[Answer, Manner]:
        request_id = request.headers['x-request-id']
        self.runs += 1
        receipt = f'seal.{self.name}.{self.runs}'
        is_stream = request.path.startswith(('/draft/', '/ask/'))
        answer = self._make_answer(request, receipt, is_stream=is_stream)
        manner = Manner('chunks' if is_stream else 'length')
        if self.cuts and self.draws.random() < CUT_SHARE:
            manner = self.draws.choice(CUTS)
        elif self.odd_answers and self.odd_draws.random() < ODD_SHARE:
            answer, manner = make_odd(answer, self.odd_draws)
        elif self.oddity and self.odd_draws.random() < self.oddity_share:
            answer, manner = make_oddity(self.oddity, answer, self.odd_draws)
        await trio.sleep(
            self.slow_seconds + (not is_stream) * EXECUTION_SECONDS
        )
        async with lock:
            self.records.append(
                Replied(
                    now(),
                    request_id,
                    receipt,
                    answer.status,
                    b''.join(pieces_of(answer, manner)),
                    not manner.cut,
                    self.incarnation * self.says_leaving,
                    self.name,
                    manner.framing,
                    manner.cut,
                    self.version,
                )
            )
            await send_answer(stream, answer, manner)
        self._note_answer(answer, manner)
        return answer, manner

    def _make_answer(
        self, request: Request, receipt: str, *, is_stream: bool
    ) -> Answer:
        request_id = request.headers['x-request-id']
        fields = self._fields(request_id, receipt)
        if is_stream:
            after = int(request.headers.get('last-event-id', '0'))
            pieces = _events(request_id, receipt, after)
            return Answer(200, fields, pieces, EVENT_SECONDS)
        fails = self.is_failing or self.draws.random() < self.failing_share
        body = f'{receipt} {request_id}'.encode()
        return Answer(500 if fails else 200, fields, (body,))

    def _fields(
        self, request_id: str, receipt: str
    ) -> tuple[tuple[str, str], ...]:
        fields = [('x-request-id', request_id), ('x-server-seal', receipt)]
        if self.says_leaving:
            fields.append(('server-leaving', '1'))
        if self.limit:
            fields.append(('server-limit', self.limit))
        if self.max_rejections:
            fields.extend(self._brittle_fields())
        else:
            fields.append(('x-replica-load', '1,0,6'))
        return tuple(fields)

    def _stutter(
        self,
        nursery: trio.Nursery,
        stream: StillStream,
        lock: trio.Lock,
        answer: Answer,
    ) -> None:
        """Send the answer again later, perhaps with another status."""
        if not self.stutters or self.draws.random() >= STUTTER_SHARE:
            return
        status = self.draws.choice((answer.status, 200, 500))
        manner = self.draws.choice((Manner('length'), Manner('chunks')))
        extra = Answer(status, answer.fields, answer.pieces)
        delay = self.draws.choice((0, self.draws.uniform(0, MAX_EXTRA_SECONDS)))
        nursery.start_soon(_send_later, delay, stream, lock, extra, manner)


async def _send_later(
    delay_seconds: float,
    stream: StillStream,
    lock: trio.Lock,
    answer: Answer,
    manner: Manner,
) -> None:
    await trio.sleep(delay_seconds)
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        async with lock:
            await send_answer(stream, answer, manner)


def _events(request_id: str, receipt: str, after: int) -> tuple[bytes, ...]:
    numbers = range(after + 1, EVENTS_PER_STREAM + 1)
    events = (f'id: {each}\ndata: {receipt}\n\n' for each in numbers)
    return tuple(each.encode() for each in (*events, f': {request_id}\n\n'))
