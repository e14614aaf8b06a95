"""Tests of the connections that show which process serves."""

from contextlib import suppress

import trio

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.evidence.process_evidence import ResponseTimes
from peridotwell.serving.process_witness import CONNECTIONS, ProcessWitness
from tests.raw_target import listen, read_request

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
LAST_ANSWER = ANSWER.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
CONNECT_SECONDS = 0.3


class Process:
    """Answers status checks; all its connections end with it."""

    def __init__(self, answer=ANSWER, most=100, idle_seconds=60):
        self.connections = 0
        self._answer = answer
        self._most = most
        self._idle_seconds = idle_seconds
        self._ended = trio.Event()

    def restart(self):
        """End the process; the next one serves at once."""
        self._ended.set()
        self._ended = trio.Event()

    async def serve(self, stream):
        """Serve one connection until the process ends."""
        self.connections += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at, self._ended, nursery.cancel_scope)
            with suppress(trio.BrokenResourceError):
                await self._answer_all(stream)
            nursery.cancel_scope.cancel()
        await trio.aclose_forcefully(stream)

    async def _answer_all(self, stream):
        for _ in range(self._most):
            with trio.move_on_after(self._idle_seconds) as idle:
                if not await read_request(stream):
                    return
            if idle.cancelled_caught:
                return
            if not self._answer:
                await trio.sleep_forever()
            await stream.send_all(self._answer)


async def _cancel_at(event, scope):
    await event.wait()
    scope.cancel()


async def start(nursery, process):
    """Return a witness of a process that has served for a while."""
    address = await listen(nursery, process.serve)
    target = Target('t', address, TargetKind.service, Pool('a', 's'))
    witness = ProcessWitness(target, lambda: '/status', CONNECT_SECONDS)
    witness.need(trio.current_time())
    for _ in range(CONNECTIONS):
        await witness.look(trio.current_time())
    return witness


def has_ended(spans, seen_at):
    """Return whether the process has ended of a response that came then."""
    times = ResponseTimes(seen_at, seen_at)
    return spans.has_ended(times, seen_at, trio.current_time())


async def test_a_process_that_answers_is_the_same(nursery):
    witness = await start(nursery, Process())
    seen_at = trio.current_time()
    spans = await witness.ask()
    assert spans.is_same(seen_at)
    assert not has_ended(spans, seen_at)


# Guards against the answer of the next process at an address, taken for that of
# the one which sent a response.
async def test_the_next_process_is_another_one(nursery):
    process = Process()
    witness = await start(nursery, process)
    seen_at = trio.current_time()
    process.restart()
    await trio.sleep(0.01)
    spans = await witness.ask()
    assert not spans.is_same(seen_at)
    assert has_ended(spans, seen_at)
    await witness.look(trio.current_time())
    spans = await witness.ask()
    assert has_ended(spans, seen_at)
    assert spans.is_same(trio.current_time())


# Guards against sound responses that count as cut because their target closes
# connections behind an answer, with a word of it or without.
async def test_connections_that_end_behind_an_answer_are_replaced(nursery):
    for process in (Process(LAST_ANSWER, most=1), Process(most=1)):
        witness = await start(nursery, process)
        seen_at = trio.current_time()
        for _ in range(3):
            assert (await witness.ask()).is_same(seen_at)


# Guards against sound responses that count as cut while their target is silent.
async def test_a_silent_process_is_the_same(nursery):
    witness = await start(nursery, Process(answer=b''))
    seen_at = trio.current_time()
    for _ in range(2):
        assert (await witness.ask()).is_same(seen_at)


# Guards against connections that stay open when nobody needs them any more.
async def test_connections_close_when_they_are_not_needed(nursery):
    process = Process()
    witness = await start(nursery, process)
    assert process.connections == CONNECTIONS
    await witness.aclose()
    await witness.look(trio.current_time())
    assert process.connections == CONNECTIONS
    assert not (await witness.ask()).is_same(trio.current_time())


# Guards against sound responses that count as cut since their target closes all
# idle connections in the same moment.
async def test_idle_connections_are_asked_before_their_target_closes_them(
    nursery,
):
    witness = await start(nursery, Process(idle_seconds=0.5))
    for _ in range(10):
        await trio.sleep(0.25)
        await witness.look(trio.current_time())
    # The first ones have ended, and showed how long they are kept.
    seen_at = trio.current_time()
    for _ in range(8):
        await trio.sleep(0.25)
        await witness.look(trio.current_time())
    spans = await witness.ask()
    assert spans.is_same(seen_at)


# Guards against a task that fails since its witness is closed while it asks.
async def test_a_witness_is_closed_after_its_question(nursery):
    witness = await start(nursery, Process(LAST_ANSWER, most=1))
    async with trio.open_nursery() as asking:
        asking.start_soon(witness.ask)
        await trio.lowlevel.checkpoint()
        await witness.aclose()
    assert not (await witness.ask()).is_same(trio.current_time())
