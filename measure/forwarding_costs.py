"""Measures the costs of a router's forwarding path and prints a table.

It prints the time to log a request, then the processing time and size of a
relay's batch of updates by number of routers. For each number of engines, it
prints the time to choose an engine for a prompt, and the processing time and
size of an update from another router.
"""

import io
import time

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.transport.frames import (
    CachedPrompt,
    RouterUpdate,
    UpdateBatch,
    decode_frame,
    encode_frame,
)
from peridotwell.logs import configure_logging, log_event
from peridotwell.policy.load.peer_counts import PeerCounts
from peridotwell.policy.placement.engine_choice import (
    CacheSource,
    EngineCandidate,
    PromptNeeds,
    choose_engine,
)
from peridotwell.policy.placement.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
)

__all__ = (
    'measure_choice',
    'measure_update',
    'measure_update_batch',
    'measure_log_line',
    'main',
)

ENGINE_COUNTS = (6, 70, 300)
ROUTER_COUNTS = (10, 60, 83)
ITERATIONS = 300
MICROSECONDS_PER_SECOND = 1_000_000
PROMPT_NEEDS = PromptNeeds('document', 'request', 500, 0.4)
PROMPT_PARTS = (CachedPart(1, 500), CachedPart(2, 10_000))


def _engines(count: int) -> list[Target]:
    return [
        Target(f'e-{number}', '10.0.0.1:80', TargetKind.engine, Pool('a', 'm'))
        for number in range(count)
    ]


def measure_choice(count: int) -> float:
    """Return the microseconds to choose one of `count` engines for a prompt."""
    engines = _engines(count)
    caches = PromptCacheIndex()
    for engine in engines[: count // 2]:
        caches.record_use(engine.name, PROMPT_PARTS, 0)
    shared_tokens = sum(part.tokens for part in PROMPT_PARTS)
    began = time.perf_counter()
    for _ in range(ITERATIONS):
        holders = caches.holders(PROMPT_PARTS, 1)
        candidates = [
            EngineCandidate(
                engine, 5, holders.get(engine.name, shared_tokens), 0
            )
            for engine in engines
        ]
        source = CacheSource(engines[0], 0)
        choose_engine(PROMPT_NEEDS, candidates, source, 2, 80_000, 10)
    return (time.perf_counter() - began) / ITERATIONS * MICROSECONDS_PER_SECOND


def measure_update(changed: int) -> tuple[float, int]:
    """Return the processing time in microseconds and the bytes of an update.

    The update reports the load of `changed` targets and two cached prompts.
    """
    counts = tuple((2**31 + number, 12) for number in range(changed))
    prompts = (CachedPrompt(2**31, ((2**63, 500), (2**62, 10_000))),) * 2
    content = encode_frame(
        RouterUpdate(
            1,
            1000,
            1,
            outstanding_requests=counts,
            prefill_tokens=counts,
            prompts=prompts,
        ),
    )
    loads = PeerCounts()
    began = time.perf_counter()
    for _ in range(ITERATIONS):
        update = decode_frame(content)
        assert isinstance(update, RouterUpdate)
        loads.update(update.sender, dict(update.outstanding_requests))
    duration = (
        (time.perf_counter() - began) / ITERATIONS * MICROSECONDS_PER_SECOND
    )
    return duration, len(content)


def measure_update_batch(routers: int) -> tuple[float, int]:
    """Return the processing time in microseconds and the bytes of a batch.

    A relay sends it; it holds one update of each of `routers` routers, with the
    load of two targets and one cached prompt.
    """
    counts = ((2**31, 12), (2**31 + 1, 3))
    prompts = (CachedPrompt(2**31, ((2**63, 500), (2**62, 10_000))),)
    updates = tuple(
        RouterUpdate(
            number,
            1000,
            2**31,
            outstanding_requests=counts,
            prefill_tokens=counts,
            prompts=prompts,
        )
        for number in range(routers)
    )
    content = encode_frame(UpdateBatch(1, True, 1000, updates))
    loads = PeerCounts()
    caches = PromptCacheIndex()
    began = time.perf_counter()
    for _ in range(ITERATIONS):
        batch = decode_frame(content)
        assert isinstance(batch, UpdateBatch)
        for update in batch.updates:
            loads.update(update.sender, dict(update.outstanding_requests))
            loads.update(update.sender, dict(update.prefill_tokens))
            caches.record_use('e-1', PROMPT_PARTS, 0)
    duration = (
        (time.perf_counter() - began) / ITERATIONS * MICROSECONDS_PER_SECOND
    )
    return duration, len(content)


def measure_log_line() -> float:
    """Return the microseconds to log an answered request."""
    configure_logging('r-1', 'north', io.StringIO())
    began = time.perf_counter()
    for number in range(ITERATIONS):
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
    return (time.perf_counter() - began) / ITERATIONS * MICROSECONDS_PER_SECOND


def main() -> None:
    """Run the measurements and print their results."""
    print(f'time to log a request, us: {measure_log_line():.0f}')
    for routers in ROUTER_COUNTS:
        duration, size = measure_update_batch(routers)
        print(f'batch from {routers} routers: {duration:.0f} us, {size} bytes')
    print('engines  choose us  update us  update bytes')
    for count in ENGINE_COUNTS:
        duration, size = measure_update(min(count, 20))
        chosen = measure_choice(count)
        print(f'{count:7} {chosen:10.0f} {duration:10.0f} {size:13}')


if __name__ == '__main__':
    main()
