"""Slopes for docs/CAPACITY.md: microseconds a frame, bytes a kept thing."""

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
from peridotwell.fleet.frames import (
    CreditRequest,
    CreditReturn,
    Frame,
    Heartbeat,
    encode_frame,
)
from peridotwell.fleet.target_membership import TargetMembership
from peridotwell.metrics import Measure, Metrics, Series

__all__ = ('FRAME_HEADER', 'MEMORY_HEADER', 'frame_rows', 'memory_rows')

ROUTERS = 10
ENGINES = 30
FRAMES = 2000
KEPT = 1000
SAMPLES = 300
MICROSECONDS = 1e6
FRAME_HEADER = ('frame', 'bytes', 'us to receive and act')
MEMORY_HEADER = ('kept thing', 'bytes each', 'bytes on the wire')

Row = tuple[object, ...]


def frame_rows() -> Iterator[Row]:
    """Yield the cost of each frequent frame in a data centre of 10 routers."""
    return iter(trio.run(_time_frames))


async def _time_frames() -> list[Row]:
    fleet = SimulatedFleet(ROUTERS, ENGINES, 10, 1, Defaults())
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(4)
        router = fleet.routers[0]
        nursery.cancel_scope.cancel()
    sender = fleet.routers[1].peers.own.sender
    lent_here = next(
        target for target in fleet.targets() if router.credit.is_lender(target)
    )
    number = lent_here.wire_id
    pool = POOL.wire_id
    view = router.peers.view_hash('dc1', trio.current_time())
    digest = router.gossip._digest()
    frames = {
        'heartbeat': Heartbeat(
            sender,
            1,
            view,
            digest,
            pool_calls=((pool, 60),),
        ),
        'ask and its grant': CreditRequest(sender, number, pool, 60, 1000),
        'giveback': CreditReturn(sender, ((number, 1),)),
    }
    return [
        (name, len(encode_frame(frame)) + 2, _time_frame(router, frame))
        for name, frame in frames.items()
    ]


def _time_frame(router, frame: Frame) -> float:  # type: ignore[no-untyped-def]
    content = encode_frame(frame)
    began = time.process_time()
    for _ in range(FRAMES):
        router.receive(content)
    return round((time.process_time() - began) / FRAMES * MICROSECONDS, 1)


def memory_rows() -> Iterator[Row]:
    """Yield the memory of things that a router keeps many of."""
    yield _weigh('target', _make_membership)
    yield _weigh('histogram of 300 samples', _make_sketches)
    override = Override('x', Scope.customer, 'customer-1', 'share', 2, 'why')
    wire = len(msgspec.json.encode(override))
    yield (*_weigh('exception', _make_overrides)[:2], wire)


def _weigh(name: str, make: Callable[[], object]) -> Row:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return name, round((after - before) / KEPT), ''


def _make_membership() -> TargetMembership:
    membership = TargetMembership()
    membership.apply_listing(
        Target(
            f'target-{number}',
            f'10.0.0.{number}:80',
            TargetKind.engine,
            Pool('dc1', f'model-{number % 18}'),
        )
        for number in range(KEPT)
    )
    return membership


def _make_sketches() -> Metrics:
    metrics = Metrics('', '')
    for number in range(KEPT):
        series = Series(f'c-{number}', 'normal', Measure.first_token)
        sketch = metrics.sketch(series)
        for sample in range(SAMPLES):
            sketch.add(0.01 + sample * 0.001)
    return metrics


def _make_overrides() -> Configuration:
    overrides = tuple(
        Override(f'x{number}', Scope.customer, f'c{number}', 'share', 2, 'why')
        for number in range(KEPT)
    )
    document = msgspec.json.encode(Configuration(overrides=overrides))
    return msgspec.json.decode(document, type=Configuration)
