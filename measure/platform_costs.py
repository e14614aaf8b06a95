"""Measures the rate of claims and the routers' calls to the platform."""

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
CONCURRENT_CLAIMERS = 16
GROUPED_ROUTERS = 3
SHARDS_PER_ROUTER = 2
OBSERVED_SECONDS = 12
CHANGE_INTERVAL_SECONDS = 4
CLAIM_HEADER = ('method', 'claims/s', 'writes a claim', 'reads a claim')
CALL_HEADER = (
    'state',
    'routers',
    'platform calls/s per router',
    'control bytes/s per router',
)

Row = tuple[object, ...]


def claim_rows() -> Iterator[Row]:
    """Yield the rate and the store calls of claims, one row for each method.

    The first row uses the routers' own code, with one record for each key. The
    others are a trial of grouped claims, in which each router writes to its own
    shards or all routers write to the same shards.
    """
    with LocalCluster() as cluster:
        url = f'http://{cluster.platform.address}'
        rate, store = trio.run(_settle_claims, url)
        counters = store.counters
        yield (
            'one record for each key, claimed and settled',
            round(rate),
            round(counters.writes / CLAIMS, 2),
            round(counters.reads / CLAIMS, 2),
        )
    for name, shares_shards in (
        ('trial: grouped, 3 routers, shards of their own', False),
        ('trial: grouped, 3 routers, the same shards', True),
    ):
        with LocalCluster() as cluster:
            url = f'http://{cluster.platform.address}'
            yield (name, *trio.run(_record_grouped_claims, url, shares_shards))


async def _record_grouped_claims(
    url: str, shares_shards: bool
) -> tuple[float, ...]:
    stores = [HttpStore(url, 5) for _ in range(GROUPED_ROUTERS)]
    began = time.perf_counter()
    async with trio.open_nursery() as writers:
        async with trio.open_nursery() as claimers:
            for router, store in enumerate(stores):
                prefix = 'all' if shares_shards else f'r{router}'
                names = [
                    f'{prefix}-{shard}' for shard in range(SHARDS_PER_ROUTER)
                ]
                writer = GroupedClaimWriter(store, names)
                writer.start(writers)
                for claimer in range(CONCURRENT_CLAIMERS):
                    claimers.start_soon(
                        _record_claims,
                        writer,
                        f'{router}-{claimer}',
                    )
        duration = time.perf_counter() - began
        writers.cancel_scope.cancel()
    claims = (
        GROUPED_ROUTERS * (CLAIMS // CONCURRENT_CLAIMERS) * CONCURRENT_CLAIMERS
    )
    writes = sum(store.counters.writes for store in stores)
    reads = sum(store.counters.reads for store in stores)
    return (
        round(claims / duration),
        round(writes / claims, 2),
        round(reads / claims, 2),
    )


async def _record_claims(claim_store: GroupedClaimWriter, name: str) -> None:
    for number in range(CLAIMS // CONCURRENT_CLAIMERS):
        await claim_store.record(f'{name}-{number}')
        await claim_store.record(f'{name}-{number}')


async def _settle_claims(url: str) -> tuple[float, HttpStore]:
    store = HttpStore(url, 5)
    claim_store = ClaimStore(store, 'r1')
    began = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for claimer in range(CONCURRENT_CLAIMERS):
            nursery.start_soon(_claim_and_settle, claim_store, claimer)
    return CLAIMS / (time.perf_counter() - began), store


async def _claim_and_settle(claim_store: ClaimStore, claimer: int) -> None:
    wall_time = time.time()
    for number in range(CLAIMS // CONCURRENT_CLAIMERS):
        call = CallerRequest(
            request_id='r',
            customer='kk',
            priority_class='normal',
            method='POST',
            path='/ledger',
            body=b'{"kg":3}',
            contract=Contract('/ledger', 'ledger'),
            deadline_at=0,
            idempotency_key=f'{claimer}-{number}',
        )
        claim = await claim_store.claim(call, wall_time + 10, wall_time)
        response = StoredResponse(200, (), b'{"receipt":1}')
        await claim_store.settle(claim, ClaimState.done, response)


def call_rows() -> Iterator[Row]:
    """Yield a router's platform calls and control bytes per second.

    The first row is for idle routers, the second for routers that only get a
    configuration change every CHANGE_INTERVAL_SECONDS.
    """
    with LocalCluster() as cluster:
        cluster.start_engine('e1')
        routers = [
            cluster.start_router(
                f'r{number}', stop_delay=0, short_intervals=False
            )
            for number in range(3)
        ]
        for state, change_interval in (
            ('idle', 0),
            ('one change every 4 s', CHANGE_INTERVAL_SECONDS),
        ):
            before = [cluster.status(router) for router in routers]
            began = time.monotonic()
            bound = 1.5
            while time.monotonic() - began < OBSERVED_SECONDS:
                if change_interval:
                    bound += 0.1
                    cluster.configure(
                        routers[0],
                        set_defaults={'load_bound': bound},
                    )
                time.sleep(change_interval or OBSERVED_SECONDS)
            after = [cluster.status(router) for router in routers]
            seconds = time.monotonic() - began
            yield (
                state,
                len(routers),
                _rate(before, after, 'platform_calls', seconds),
                _rate(before, after, 'control_bytes', seconds),
            )


def _rate(before, after, field, seconds):  # type: ignore[no-untyped-def]
    increase = sum(
        later[field] - earlier[field]
        for earlier, later in zip(before, after, strict=True)
    )
    return round(increase / len(before) / seconds, 1)
