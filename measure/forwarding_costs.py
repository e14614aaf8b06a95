"""What the forwarding path costs a router.

Prints the time that a request spends on its log line; time to book and size of
relays' bundles; and one row a number of engines: time to choose an engine for
a prompt, time to book an update of another router, and its size.
"""

import io
import time

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.frames import (
    CachedPrompt,
    RouterUpdate,
    UpdateBatch,
    decode_frame,
    encode_frame,
)
from peridotwell.logs import configure_logging, log_event
from peridotwell.policy.engine_choice import (
    CacheSource,
    EngineCandidate,
    PromptNeeds,
    choose_engine,
)
from peridotwell.policy.peer_counts import PeerCounts
from peridotwell.policy.prompt_cache_index import CachedPart, PromptCacheIndex

__all__ = (
    'measure_choice',
    'measure_update',
    'measure_bundle',
    'measure_log_line',
    'main',
)

ENGINES = (6, 70, 300)
ROUTERS = (10, 60, 83)
ROUNDS = 300
MICRO = 1_000_000
NEEDS = PromptNeeds('document', 500, 0.4)
PARTS = (CachedPart(1, 500), CachedPart(2, 10_000))


def _engines(count: int) -> list[Target]:
    return [
        Target(f'e-{number}', '10.0.0.1:80', TargetKind.engine, Pool('a', 'm'))
        for number in range(count)
    ]


def measure_choice(count: int) -> float:
    """Return the microseconds to choose one of `count` engines."""
    engines = _engines(count)
    caches = PromptCacheIndex()
    for engine in engines[: count // 2]:
        caches.record_use(engine.name, PARTS, 0)
    began = time.perf_counter()
    for _ in range(ROUNDS):
        candidates = [
            EngineCandidate(
                engine,
                5,
                caches.missing_tokens(engine.name, PARTS, 1),
                0,
            )
            for engine in engines
        ]
        source = CacheSource(engines[0], 0)
        choose_engine(NEEDS, candidates, source, 2, 80_000)
    return (time.perf_counter() - began) / ROUNDS * MICRO


def measure_update(changed: int) -> tuple[float, int]:
    """Return microseconds to book, and bytes of, an update.

    It tells of `changed` targets and of two prompts.
    """
    pairs = tuple((2**31 + number, 12) for number in range(changed))
    prompts = (CachedPrompt(2**31, ((2**63, 500), (2**62, 10_000))),) * 2
    content = encode_frame(
        RouterUpdate(
            1,
            1000,
            1,
            outstanding_calls=pairs,
            prefill_tokens=pairs,
            prompts=prompts,
        ),
    )
    loads = PeerCounts()
    began = time.perf_counter()
    for _ in range(ROUNDS):
        update = decode_frame(content)
        assert isinstance(update, RouterUpdate)
        loads.update(update.sender, dict(update.outstanding_calls))
    took = (time.perf_counter() - began) / ROUNDS * MICRO
    return took, len(content)


def measure_bundle(routers: int) -> tuple[float, int]:
    """Return microseconds to book, and bytes of, a relay's bundle.

    Each router tells of two targets and one prompt in it.
    """
    pairs = ((2**31, 12), (2**31 + 1, 3))
    prompts = (CachedPrompt(2**31, ((2**63, 500), (2**62, 10_000))),)
    updates = tuple(
        RouterUpdate(
            number,
            1000,
            2**31,
            outstanding_calls=pairs,
            prefill_tokens=pairs,
            prompts=prompts,
        )
        for number in range(routers)
    )
    content = encode_frame(UpdateBatch(1, True, 1000, updates))
    loads = PeerCounts()
    caches = PromptCacheIndex()
    began = time.perf_counter()
    for _ in range(ROUNDS):
        bundle = decode_frame(content)
        assert isinstance(bundle, UpdateBatch)
        for update in bundle.updates:
            loads.update(update.sender, dict(update.outstanding_calls))
            loads.update(update.sender, dict(update.prefill_tokens))
            caches.record_use('e-1', PARTS, 0)
    took = (time.perf_counter() - began) / ROUNDS * MICRO
    return took, len(content)


def measure_log_line() -> float:
    """Return the microseconds that a request spends on its log line."""
    configure_logging('r-1', 'north', io.StringIO())
    began = time.perf_counter()
    for number in range(ROUNDS):
        log_event(
            'request.answered',
            request=f'{number:016x}',
            route='ask',
            customer='customer-1',
            target='e-1',
            subject='document',
            load=5,
            mean_load=4.3,
            missing_tokens=500,
            fetched_tokens=0,
            tokens_ahead=1200,
            status=200,
            attempts=1,
            first_seconds=0.0712,
            whole_seconds=0.4113,
            table=7,
        )
    return (time.perf_counter() - began) / ROUNDS * MICRO


def main() -> None:
    """Print the table."""
    print(f'log line of a request, us: {measure_log_line():.0f}')
    for routers in ROUTERS:
        took, size = measure_bundle(routers)
        print(f'bundle of {routers} routers: {took:.0f} us, {size} bytes')
    print('engines  choose us  update us  update bytes')
    for count in ENGINES:
        took, size = measure_update(min(count, 20))
        chosen = measure_choice(count)
        print(f'{count:7} {chosen:10.0f} {took:10.0f} {size:13}')


if __name__ == '__main__':
    main()
