"""What the platform's service is asked for, and how fast claims can go."""

import time
from collections.abc import Iterator

import trio

from measure.grouped_claims import GroupedClaimWriter
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.contract import Contract
from peridotwell.store.claims import ClaimState, ClaimStore, StoredResponse
from peridotwell.store.http_store import HttpStore
from standins.cluster import LocalCluster

__all__ = ('CLAIM_HEADER', 'CALL_HEADER', 'claim_rows', 'call_rows')

CLAIMS = 400
CLAIMERS = 16
GROUPING_ROUTERS = 3
SHARDS = 2
WATCHED_SECONDS = 12
CHANGE_SECONDS = 4
CLAIM_HEADER = ('way', 'claims/s', 'writes a claim', 'reads a claim')
CALL_HEADER = (
    'state',
    'routers',
    'platform calls/s a router',
    'control bytes/s a router',
)

Row = tuple[object, ...]


def claim_rows() -> Iterator[Row]:
    """Yield the rate of claims that are made and settled one by one."""
    with LocalCluster() as cluster:
        url = f'http://{cluster.platform.address}'
        rate, store = trio.run(_claim_all, url)
        counters = store.counters
        yield (
            'one record a key, claimed and settled',
            round(rate),
            round(counters.writes / CLAIMS, 2),
            round(counters.reads / CLAIMS, 2),
        )
    for name, is_shared in (
        ('trial: grouped, 3 routers, shards of their own', False),
        ('trial: grouped, 3 routers, the same shards', True),
    ):
        with LocalCluster() as cluster:
            url = f'http://{cluster.platform.address}'
            yield (name, *trio.run(_group_all, url, is_shared))


async def _group_all(url: str, is_shared: bool) -> tuple[float, ...]:
    stores = [HttpStore(url, 5) for _ in range(GROUPING_ROUTERS)]
    began = time.perf_counter()
    async with trio.open_nursery() as writers:
        async with trio.open_nursery() as claimers:
            for router, store in enumerate(stores):
                prefix = 'all' if is_shared else f'r{router}'
                names = [f'{prefix}-{shard}' for shard in range(SHARDS)]
                book = GroupedClaimWriter(store, names)
                book.start(writers)
                for claimer in range(CLAIMERS):
                    claimers.start_soon(
                        _record_some,
                        book,
                        f'{router}-{claimer}',
                    )
        taken = time.perf_counter() - began
        writers.cancel_scope.cancel()
    claims = GROUPING_ROUTERS * (CLAIMS // CLAIMERS) * CLAIMERS
    writes = sum(store.counters.writes for store in stores)
    reads = sum(store.counters.reads for store in stores)
    return (
        round(claims / taken),
        round(writes / claims, 2),
        round(reads / claims, 2),
    )


async def _record_some(book: GroupedClaimWriter, name: str) -> None:
    for number in range(CLAIMS // CLAIMERS):
        await book.record(f'{name}-{number}')
        await book.record(f'{name}-{number}')


async def _claim_all(url: str) -> tuple[float, HttpStore]:
    store = HttpStore(url, 5)
    book = ClaimStore(store, 'r1')
    began = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for claimer in range(CLAIMERS):
            nursery.start_soon(_claim_some, book, claimer)
    return CLAIMS / (time.perf_counter() - began), store


async def _claim_some(book: ClaimStore, claimer: int) -> None:
    wall = time.time()
    for number in range(CLAIMS // CLAIMERS):
        call = CallerRequest(
            request_id='r',
            customer='kk',
            priority_class='normal',
            method='POST',
            path='/ledger',
            body=b'{"kg":3}',
            contract=Contract('/ledger', 'ledger'),
            deadline_at=0,
            key=f'{claimer}-{number}',
        )
        claim = await book.claim(call, wall + 10, wall)
        answer = StoredResponse(200, (), b'{"receipt":1}')
        await book.settle(claim, ClaimState.done, answer)


def call_rows() -> Iterator[Row]:
    """Yield a router's calls to the platform, idle and under changes."""
    with LocalCluster() as cluster:
        cluster.start_engine('e1')
        routers = [
            cluster.start_router(
                f'r{number}', stop_delay=0, short_intervals=False
            )
            for number in range(3)
        ]
        for state, change_every in (
            ('idle', 0),
            ('one change every 4 s', CHANGE_SECONDS),
        ):
            before = [cluster.status(router) for router in routers]
            began = time.monotonic()
            bound = 1.5
            while time.monotonic() - began < WATCHED_SECONDS:
                if change_every:
                    bound += 0.1
                    cluster.configure(
                        routers[0],
                        set_defaults={'load_bound': bound},
                    )
                time.sleep(change_every or WATCHED_SECONDS)
            after = [cluster.status(router) for router in routers]
            seconds = time.monotonic() - began
            yield (
                state,
                len(routers),
                _rate(before, after, 'platform_calls', seconds),
                _rate(before, after, 'control_bytes', seconds),
            )


def _rate(before, after, field, seconds):  # type: ignore[no-untyped-def]
    grown = sum(
        new[field] - old[field] for old, new in zip(before, after, strict=True)
    )
    return round(grown / len(before) / seconds, 1)
