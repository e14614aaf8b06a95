# flake8: noqa
"""A draining replica is used again after an older report of it arrives late.

Three routers, six replicas of a ledger service and callers that book. Three of
the replicas report `draining`, one after the other, and leave later. The store
doesn't answer the last report before that, which says `ready`, and executes it
3 s after it was sent. Its `seq` is lower than that of the entry by then.
"""

import asyncio
import collections
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins
from standins import TROUBLE, Replica, Router, Store

FOLDER = Path(__file__).resolve().parent
HOST = 'ledger.example'
CALLERS = 16
WORK_SECONDS = 0.12
DRAIN_SECONDS = 2.0
# "For drain_ms [...] and a little longer (at times many seconds)".
LONGER_SECONDS = 0.7
LATE_SECONDS = 3.0
# From the last report that says `ready` to the one that says `draining`.
REPORT_SECONDS = 0.5
LEAVE_EVERY_SECONDS = 10.0
TIME_BUDGET_SECONDS = 1.5


class Ledger:
    """Runs bookings; tells which reach a replica that has left too late."""

    def __init__(self, record):
        self.left_at = {}
        self.late = collections.defaultdict(list)
        self.lost = []
        self._record = record

    async def handle(self, replica, line, fields, body, writer):
        request = fields.get('x-request-id', '')
        now = time.monotonic()
        since = now - self.left_at.get(replica.name, now)
        if since > DRAIN_SECONDS:
            self._record(
                f'{request} reaches {replica.name} {since:.3f} s after the '
                'ack of its leaving'
            )
            self.late[replica.name].append(request)
        replica.running += 1
        try:
            await asyncio.sleep(WORK_SECONDS)
        finally:
            replica.running -= 1
        writer.write(
            replica.answer(
                200,
                request,
                b'booked ' + request.encode(),
                X_Server_Seal=f'{replica.name}.{request}',
            )
        )


async def book(router, request):
    """Send a booking on a new channel; return the status or a word."""
    try:
        reader, writer = await asyncio.open_connection(router.ip, router.front)
    except OSError:
        return 'no channel'
    try:
        writer.write(
            f'POST /book/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {request}\r\nX-Deadline-Ms: 1500\r\n'
            f'Content-Length: 12\r\n\r\n{request:<12.12}'.encode()
        )
        async with asyncio.timeout(TIME_BUDGET_SECONDS):
            head = await standins.read_head(reader)
            if head is None:
                return 'closed'
            await standins.read_body(reader, head[1])
        return int(head[0].split(' ')[1])
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return 'no answer'
    finally:
        writer.close()


async def call(number, routers, record, answers, done):
    numbers = itertools.count()
    pick = random.Random(number)
    while not done.is_set():
        request = f'b{number}-{next(numbers)}'
        answers[request] = await book(pick.choice(routers), request)
        if answers[request] != 200:
            record(f'{request} is answered {answers[request]}')
        await asyncio.sleep(pick.uniform(0.02, 0.08))


async def leave(replica, store, ledger, record):
    """Let a replica drain, serve on for a time, and exit."""
    late = replica.next_entry('ready')
    if not TROUBLE:
        replica.write_entry(late)
    await asyncio.sleep(REPORT_SECONDS)
    replica.drain()
    record(f'{replica.name} is draining, acknowledged by the store')
    ledger.left_at[replica.name] = time.monotonic()
    await asyncio.sleep(LATE_SECONDS - REPORT_SECONDS)
    if TROUBLE:
        record(f'the store executes an older report: {late}')
        replica.write_entry(late)
    await asyncio.sleep(DRAIN_SECONDS + LONGER_SECONDS - 2.5)
    record(f'{replica.name} exits with {replica.running} bookings at work')
    store.delete(f'servers/{replica.name}')
    replica.exit()


async def play(temporary, record, routers):
    store = Store()
    await store.start()
    ledger = Ledger(record)
    replicas = [
        Replica(f'ledger-{n}', 'ledger', store, ledger.handle)
        for n in range(1, 7)
    ]
    for replica in replicas:
        await replica.start()
    route = {
        'name': 'book',
        'host': HOST,
        'path_prefix': '/book/',
        'service': 'ledger',
        'kind': 'non_idempotent',
        'timeout_ms': 1500,
        'slo_ms': 200,
        'max_attempts': 1,
        'priority': 0,
    }
    store.put('op/config', standins.config(7, [route]))
    routers.extend(Router(n, store.address, temporary) for n in (1, 2, 3))
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(2)
    answers = {}
    done = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(call(number, routers, record, answers, done))
        # Calm for longer than contact_ms before each leaving.
        await asyncio.sleep(5)
        for replica in replicas[:3]:
            await leave(replica, store, ledger, record)
            await asyncio.sleep(LEAVE_EVERY_SECONDS - DRAIN_SECONDS)
        done.set()
    counts = collections.Counter(answers.values())
    record(f'{len(answers)} bookings, answers {dict(counts)}')
    late = {name: len(requests) for name, requests in ledger.late.items()}
    record(f'DRAIN: bookings that reached a replica too late: {late}')
    lost = [
        request
        for requests in ledger.late.values()
        for request in requests
        if answers.get(request) != 200
    ]
    record(f'of these without success: {lost}')
    if not counts[200]:
        raise standins.CannotRun('no booking was answered')
    return not late


if __name__ == '__main__':
    standins.run_case(FOLDER, play)
