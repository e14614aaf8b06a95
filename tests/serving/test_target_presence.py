"""Tests of the check whether a target that ended a response still serves."""

import httpcore
import pytest
import trio

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.evidence.process_evidence import (
    ResponseTimes,
    TargetSign,
)
from peridotwell.policy.evidence.simultaneous_ends import MIN_ENDED_TOGETHER
from peridotwell.serving import target_presence
from peridotwell.serving.target_presence import (
    MOMENT_SECONDS,
    Connections,
    ConnectionSource,
    EndCheck,
    ask_for_status,
)
from tests.ports import find_free_port

TIMEOUT_SECONDS = 0.2
# Sound streams wait for the check; so long at most while a target is silent.
LIMIT_SECONDS = 0.4
LONG_AGO = 10


class Connection:
    """A connection from before the check."""

    def __init__(self, *, has_ended, opened_ago=LONG_AGO):
        self.opened_at = trio.current_time() - opened_ago
        self.used_at = self.opened_at
        self.has_ended = has_ended

    def has_peer_ended(self):
        return self.has_ended


class Source(ConnectionSource):
    """Has these connections."""

    def __init__(self, used=(), idle=()):
        self._connections = Connections(used, idle)

    def connections(self):
        return self._connections

    def status_path(self):
        return '/status'


def target(port):
    address = f'127.0.0.1:{port}'
    return Target('t', address, TargetKind.service, Pool('a', 's'))


async def listen(nursery, serve):
    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    return listeners[0].socket.getsockname()[1]


def now():
    return ResponseTimes(trio.current_time(), trio.current_time())


async def check_end(port, source=None):
    check = EndCheck(target(port), source or Source(), TIMEOUT_SECONDS)
    await check.check('r', now(), trio.current_time())


async def answer(stream):
    await stream.receive_some()
    await stream.send_all(b'HTTP/1.1 503 x\r\n\r\n')


async def close(stream):
    await trio.aclose_forcefully(stream)


async def stay_silent(stream):
    await trio.sleep_forever()


async def test_a_target_that_refuses_connections_may_have_cut_its_response():
    with pytest.raises(ResponseTruncated):
        await check_end(find_free_port())


async def test_a_target_that_answers_has_ended_its_response(nursery):
    asked = []

    async def serve(stream):
        asked.append(await stream.receive_some())
        await stream.send_all(b'HTTP/1.1 503 x\r\n\r\n')

    await check_end(await listen(nursery, serve))
    (request,) = asked
    assert request.startswith(b'GET /status HTTP/1.1\r\n')


# Guards against whole responses that count as cut because their target, which
# is busy, answers no status check in time; and against a long wait for it.
async def test_a_target_that_is_silent_may_be_sound(nursery):
    port = await listen(nursery, stay_silent)
    started_at = trio.current_time()
    await check_end(port)
    assert trio.current_time() - started_at < LIMIT_SECONDS


# Guards against cut responses of a process that ends and closes the port at
# which it listens after its connections.
async def test_a_target_that_stops_listening_a_moment_later_has_gone(nursery):
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]

    async def stop_listening():
        await trio.sleep(0.01)
        await listeners[0].aclose()

    nursery.start_soon(stop_listening)
    with pytest.raises(ResponseTruncated):
        await check_end(port)


# Guards against cut responses that look whole since something accepts
# connections for a target that has gone, and closes them.
async def test_connections_that_end_at_once_are_no_sign_of_a_target(nursery):
    port = await listen(nursery, close)
    with pytest.raises(ResponseTruncated):
        await check_end(port)


# Guards against whole responses that count as cut because their target takes no
# more connections.
async def test_a_target_that_ends_each_connection_but_older_ones_is_there(
    nursery,
):
    port = await listen(nursery, close)
    await check_end(port, Source(used=(Connection(has_ended=False),)))
    await check_end(port, Source(idle=(Connection(has_ended=False),)))


# Guards against whole responses that count as cut because the first connection
# after them is one too many.
async def test_a_target_that_closes_one_connection_is_asked_again(nursery):
    seen = []

    async def serve(stream):
        seen.append(stream)
        await (close if len(seen) == 1 else answer)(stream)

    await check_end(await listen(nursery, serve))
    assert len(seen) == 2


# Guards against cut responses that look whole since another process has the
# address of the one that ended.
async def test_a_process_whose_responses_all_end_at_once_has_ended(nursery):
    port = await listen(nursery, answer)
    ended = [Connection(has_ended=True) for _ in range(MIN_ENDED_TOGETHER)]
    with pytest.raises(ResponseTruncated):
        await check_end(port, Source(used=ended))


# Guards against the last responses of a batch, which end one after the other
# and count as cut.
async def test_responses_that_end_one_after_the_other_are_whole(nursery):
    port = await listen(nursery, answer)
    used = [Connection(has_ended=False) for _ in range(MIN_ENDED_TOGETHER)]
    check = EndCheck(target(port), Source(used=used), TIMEOUT_SECONDS)
    async with trio.open_nursery() as asking:
        for connection in used:
            connection.has_ended = True
            asking.start_soon(check.check, 'r', now(), trio.current_time())
            await trio.sleep(MOMENT_SECONDS * 1.5)


# Guards against cut responses that look whole since a sound one ended right
# before the process did.
async def test_a_process_that_ends_after_a_sound_response_has_ended(nursery):
    port = await listen(nursery, answer)
    used = [Connection(has_ended=False) for _ in range(MIN_ENDED_TOGETHER + 1)]
    check = EndCheck(target(port), Source(used=used), TIMEOUT_SECONDS)
    used[0].has_ended = True
    nursery.start_soon(check.check, 'sound', now(), trio.current_time())
    await trio.sleep(MOMENT_SECONDS * 1.5)
    for connection in used:
        connection.has_ended = True
    with pytest.raises(ResponseTruncated):
        await check.check('cut', now(), trio.current_time())


# Guards against whole responses that count as cut because a few end together,
# many short ones do, or idle connections have been closed at some time.
async def test_ends_that_chance_brings_together_say_nothing(nursery):
    port = await listen(nursery, answer)
    ended = [Connection(has_ended=True) for _ in range(MIN_ENDED_TOGETHER)]
    short = [Connection(has_ended=True, opened_ago=0.1) for _ in range(9)]
    await check_end(port, Source(used=ended[1:]))
    await check_end(port, Source(used=short))
    await check_end(port, Source(idle=ended))


# Guards against cut responses that look whole since a busy router was late to
# send their requests, so that fewer than four were long ones when their process
# ended. The ages in ms are those of a failed run.
async def test_young_responses_that_end_with_a_process_show_its_end(nursery):
    port = await listen(nursery, answer)
    ages = (39, 45, 64, 68, 75, 79, 92, 99, 111, 113, 186, 188, 194)
    used = [
        Connection(has_ended=True, opened_ago=age / 1000)
        for age in (*ages, 210, 220, 230)
    ]
    with pytest.raises(ResponseTruncated):
        await check_end(port, Source(used=used))


# Guards against the connections of the process that follows, taken for those of
# the one that has ended.
async def test_a_connection_made_after_the_end_is_no_sign(nursery):
    port = await listen(nursery, close)
    later = Connection(has_ended=False, opened_ago=-0.01)
    with pytest.raises(ResponseTruncated):
        await check_end(port, Source(used=(later,)))


# Guards against a status check for each of many responses that end together.
async def test_one_question_is_asked_for_all_ends_of_a_moment(nursery):
    seen = []

    async def serve(stream):
        seen.append(stream)
        await answer(stream)

    port = await listen(nursery, serve)
    check = EndCheck(target(port), Source(), TIMEOUT_SECONDS)
    with trio.CancelScope() as first_one_left:
        async with trio.open_nursery() as asking:
            asking.start_soon(check.check, 'r', now(), trio.current_time())
            await trio.sleep(0.01)
            nursery.start_soon(check.check, 'r', now(), trio.current_time())
            first_one_left.cancel()
    async with trio.open_nursery() as asking:
        for _ in range(20):
            asking.start_soon(check.check, 'r', now(), trio.current_time())
    assert len(seen) == 1


# Guards against whole responses that count as cut because the way to their
# target is cut right after them.
@pytest.mark.parametrize(
    'error',
    [
        httpcore.ConnectTimeout(),
        httpcore.ConnectError('no route to host'),
        OSError('too many open files'),
    ],
)
async def test_a_target_that_cannot_be_reached_may_be_sound(monkeypatch, error):
    class Unreachable:
        async def connect_tcp(self, host, port, timeout):
            raise error

    monkeypatch.setattr(target_presence, 'SocketNetwork', Unreachable)
    await check_end(1)
    sign = await ask_for_status(target(1), '/', TIMEOUT_SECONDS)
    assert sign is TargetSign.unreachable
