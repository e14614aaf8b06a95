"""A replica is cut off, crashes behind the cut and starts again.

Its streams have neither a length nor chunks, as those of all replicas here.
Once the path is whole, the ends of its channels arrive. With TROUBLE=0 nothing
is cut, and nothing crashes.
"""

import sys
from pathlib import Path as Folder

import trio

from harness_2.case import Record, run_case
from harness_2.client import Reply, client_fields, prompt_fields, send_request
from harness_2.proxy import Path
from harness_2.replica import Replica
from harness_2.router import Router
from harness_2.store import Store, route, start_store

OK = 200
GAP_TARGET_MS = 400
# One of them is cut off: a share of 0.2.
REPLICAS = 5
EARLIER_STREAMS = 20
STREAMS = 10
EVENTS = 60
GAP_SECONDS = 0.1
STREAM_INTERVAL_SECONDS = 0.05
LEAD_SECONDS = 0.8
# The path is cut for 2.6 s. Clients leave after 3.2 s without an event.
UNTIL_CRASH_SECONDS = 0.3
RESTART_SECONDS = 2.0
UNTIL_MENDED_SECONDS = 0.3
DRAFT = route('draft', 'streaming', sticky=True, gap_target_ms=GAP_TARGET_MS)

Replies = dict[str, Reply]


class _Fleet:
    """Replicas with their paths, and a router."""

    def __init__(self, store: Store) -> None:
        self.replicas = [
            Replica(f'i-{each}', store) for each in range(REPLICAS)
        ]
        self.paths: dict[str, Path] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the replicas."""
        for replica in self.replicas:
            replica.framing = 'channel'
            replica.events = EVENTS
            replica.gap_seconds = GAP_SECONDS
            path = Path(replica.address)
            await path.start(nursery)
            self.paths[replica.name] = path
            replica.listed = path.address
            await replica.start(nursery)


async def play(record: Record, logs: Folder, has_trouble: bool) -> None:
    """Play the case with one router."""
    async with trio.open_nursery() as nursery:
        store, address = await start_store(nursery, DRAFT)
        fleet = _Fleet(store)
        await fleet.start(nursery)
        router = Router('r1', address, logs)
        router.start()
        try:
            await router.wait_until_ready()
            earlier: Replies = {}
            async with trio.open_nursery() as streams:
                await _begin_streams(streams, router, earlier, EARLIER_STREAMS)
            replies: Replies = {}
            async with trio.open_nursery() as streams:
                await _begin_streams(streams, router, replies, STREAMS)
                if has_trouble:
                    await _crash_behind_cut(record, fleet, nursery)
        finally:
            router.stop()
        _judge(record, {**earlier, **replies})
        nursery.cancel_scope.cancel()


async def _begin_streams(
    nursery: trio.Nursery, router: Router, replies: Replies, count: int
) -> None:
    for number in range(count):
        request_id = f'q{count}-{number}'
        nursery.start_soon(_stream, router, request_id, replies)
        await trio.sleep(STREAM_INTERVAL_SECONDS)
    await trio.sleep(LEAD_SECONDS)


async def _stream(router: Router, request_id: str, replies: Replies) -> None:
    parts = prompt_fields(f'a{request_id}', f'b{request_id}')
    fields = (*client_fields(request_id), *parts)
    replies[request_id] = await send_request(
        router.front, 'POST', '/draft/x', fields, b'question'
    )


async def _crash_behind_cut(
    record: Record, fleet: _Fleet, nursery: trio.Nursery
) -> None:
    replica = fleet.replicas[0]
    path = fleet.paths[replica.name]
    record.add(replica.name, 'is cut off')
    path.cut()
    await trio.sleep(UNTIL_CRASH_SECONDS)
    record.add(replica.name, 'crashes, after', len(replica.runs), 'streams')
    replica.kill()
    await trio.sleep(RESTART_SECONDS)
    await replica.start(nursery)
    record.add(replica.name, 'is back')
    await trio.sleep(UNTIL_MENDED_SECONDS)
    path.mend()
    record.add('the path is whole')


def _judge(record: Record, replies: Replies) -> None:
    """Count the streams that look complete and are not."""
    for request_id, reply in replies.items():
        events = len(reply.events())
        record.add(request_id, reply.status, events, 'events,', reply.end)
        if reply.looks_complete and reply.status == OK and events < EVENTS:
            record.broken += 1
    record.add(record.broken, 'streams look complete before their last event')


if __name__ == '__main__':
    sys.exit(run_case(play, Folder(__file__).parent))
