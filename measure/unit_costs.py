"""Measures CPU time for each frame and memory for each object of a router.

docs/CAPACITY.md uses the results.
"""

import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec
import trio

from measure.simulated_fleet import POOL, SimulatedFleet
from peridotwell.domain.configuration import (
    Configuration,
    Defaults,
    Override,
    Scope,
)
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.frames import (
    CreditRequest,
    CreditReturn,
    Frame,
    Heartbeat,
    encode_frame,
)
from peridotwell.metrics import Measure, Metrics, Series

__all__ = ('FRAME_HEADER', 'MEMORY_HEADER', 'frame_rows', 'memory_rows')

ROUTER_COUNT = 10
ENGINE_COUNT = 30
FRAME_COUNT = 2000
OBJECT_COUNT = 1000
SAMPLES_PER_HISTOGRAM = 300
MICROSECONDS_PER_SECOND = 1e6
FRAME_HEADER = ('frame', 'bytes', 'us to receive and handle')
MEMORY_HEADER = ('object', 'bytes each', 'bytes on the wire')

Row = tuple[object, ...]


def frame_rows() -> Iterator[Row]:
    """Yield size and CPU time of the frequent frames between routers.

    They are measured in a data centre of 10 routers.
    """
    return iter(trio.run(_time_frames))


async def _time_frames() -> list[Row]:
    fleet = SimulatedFleet(ROUTER_COUNT, ENGINE_COUNT, 10, 1, Defaults())
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(4)
        router = fleet.routers[0]
        nursery.cancel_scope.cancel()
    sender = fleet.routers[1].peers.own.sender
    lent_target = next(
        target for target in fleet.targets() if router.credit.is_lender(target)
    )
    target_id = lent_target.wire_id
    pool_id = POOL.wire_id
    view = router.peers.view_hash('dc1', trio.current_time())
    digest = router.gossip._digest()
    frames = {
        'heartbeat': Heartbeat(
            sender,
            1,
            view,
            digest,
            pool_requests=((pool_id, 60),),
        ),
        'credit request and its grant': CreditRequest(
            sender, target_id, pool_id, 60, 1000
        ),
        'credit return': CreditReturn(sender, ((target_id, 1),)),
    }
    return [
        (
            name,
            len(encode_frame(frame)) + 2,
            _microseconds_per_frame(router, frame),
        )
        for name, frame in frames.items()
    ]


def _microseconds_per_frame(router, frame: Frame) -> float:  # type: ignore[no-untyped-def]
    content = encode_frame(frame)
    began = time.process_time()
    for _ in range(FRAME_COUNT):
        router.receive(content)
    return round(
        (time.process_time() - began) / FRAME_COUNT * MICROSECONDS_PER_SECOND, 1
    )


def memory_rows() -> Iterator[Row]:
    """Yield the memory of each object that a router stores in large numbers."""
    yield _memory_row('target', _create_targets)
    yield _memory_row('histogram of 300 samples', _create_histograms)
    override = Override('x', Scope.customer, 'customer-1', 'share', 2, 'why')
    encoded_bytes = len(msgspec.json.encode(override))
    yield (*_memory_row('exception', _create_overrides)[:2], encoded_bytes)


def _memory_row(name: str, create: Callable[[], object]) -> Row:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    objects = create()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return name, round((after - before) / OBJECT_COUNT), ''


def _create_targets() -> TargetMembership:
    membership = TargetMembership()
    membership.apply_listing(
        Target(
            f'target-{number}',
            f'10.0.0.{number}:80',
            TargetKind.engine,
            Pool('dc1', f'model-{number % 18}'),
        )
        for number in range(OBJECT_COUNT)
    )
    return membership


def _create_histograms() -> Metrics:
    metrics = Metrics('', '')
    for number in range(OBJECT_COUNT):
        series = Series(f'c-{number}', 'normal', Measure.first_token)
        sketch = metrics.sketch(series)
        for sample in range(SAMPLES_PER_HISTOGRAM):
            sketch.add(0.01 + sample * 0.001)
    return metrics


def _create_overrides() -> Configuration:
    overrides = tuple(
        Override(f'x{number}', Scope.customer, f'c{number}', 'share', 2, 'why')
        for number in range(OBJECT_COUNT)
    )
    document = msgspec.json.encode(Configuration(overrides=overrides))
    return msgspec.json.decode(document, type=Configuration)
