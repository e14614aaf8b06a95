"""Measures placement decisions and the request path of a router."""

import os
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import httpcore
import msgspec

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.placement.placement import (
    HintedPlacement,
    RendezvousPlacement,
    placement_hint,
)
from peridotwell.policy.room.credits import load_caps
from standins.cluster import LocalCluster, Process

__all__ = ('PATH_HEADER', 'decision_rows', 'path_rows')

ENGINE_COUNTS = (6, 30, 60, 300)
ITERATIONS = 300
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
CONCURRENT_CALLERS = 8
REQUESTS_PER_CALLER = 60
STREAMS_PER_CALLER = 10
TOKENS_PER_STREAM = 200
PATH_HEADER = (
    'path',
    'requests/s',
    'median ms, 1 caller',
    'CPU ms per request',
    'tokens/s',
    'CPU us per token',
    'memory MB',
)

Row = tuple[object, ...]


def decision_rows() -> Iterator[Row]:
    """Yield one row for each number of engines: microseconds per decision.

    The columns are the number of engines, the order by rendezvous hashing, the
    order with a placement hint, and the load caps.
    """
    for count in ENGINE_COUNTS:
        yield _decision_row(count)


def _decision_row(count: int) -> Row:
    pool = Pool('dc1', 'ink')
    targets = [
        Target(f'engine-{number}', 'x', TargetKind.engine, pool)
        for number in range(count)
    ]
    hint = placement_hint(targets[-1])
    unhinted = RendezvousPlacement()
    hinted = HintedPlacement()
    return (
        count,
        _microseconds_per_call(
            lambda iteration: next(unhinted.order(f'{iteration}', targets))
        ),
        _microseconds_per_call(
            lambda iteration: next(hinted.order('c', targets, hint))
        ),
        _microseconds_per_call(
            lambda iteration: load_caps(targets, iteration, 1.25)
        ),
    )


def _microseconds_per_call(operation) -> float:  # type: ignore[no-untyped-def]
    began = time.perf_counter()
    for iteration in range(ITERATIONS):
        operation(iteration)
    duration = time.perf_counter() - began
    return round(duration / ITERATIONS * MICROSECONDS_PER_SECOND, 1)


def path_rows() -> Iterator[Row]:
    """Yield the costs of a pass-through proxy and of a router.

    Both forward to the same engine; the columns are named by PATH_HEADER.
    """
    with LocalCluster() as cluster:
        engine = cluster.start_engine(
            'e1',
            '--token_seconds=0',
            '--slots=1000',
        )
        pass_through = cluster.start(
            'pass-through',
            '-m',
            'measure.passthrough',
            f'--target={engine.address}',
        )
        router = cluster.start_router('r1')
        cluster.wait_live(router, 'e1')
        for process in (pass_through, router):
            yield _measure_path(cluster, process)


def _measure_path(cluster: LocalCluster, process: Process) -> Row:
    cluster.chat(process, 'warm up')
    latencies = sorted(
        _timed_request(process, 1, 'x') for _ in range(REQUESTS_PER_CALLER)
    )
    before = _cpu_seconds(process)
    began = time.perf_counter()
    _send_in_parallel(process, REQUESTS_PER_CALLER, 1)
    request_rate = (
        CONCURRENT_CALLERS * REQUESTS_PER_CALLER / (time.perf_counter() - began)
    )
    request_cpu = (_cpu_seconds(process) - before) / (
        CONCURRENT_CALLERS * REQUESTS_PER_CALLER
    )
    before = _cpu_seconds(process)
    began = time.perf_counter()
    _send_in_parallel(process, STREAMS_PER_CALLER, TOKENS_PER_STREAM)
    tokens = CONCURRENT_CALLERS * STREAMS_PER_CALLER * TOKENS_PER_STREAM
    token_rate = tokens / (time.perf_counter() - began)
    token_cpu = (_cpu_seconds(process) - before) / tokens
    return (
        process.name,
        round(request_rate),
        round(latencies[len(latencies) // 2] * MILLISECONDS_PER_SECOND, 1),
        round(request_cpu * MILLISECONDS_PER_SECOND, 2),
        round(token_rate),
        round(token_cpu * MICROSECONDS_PER_SECOND),
        _memory_megabytes(process),
    )


def _send_in_parallel(process: Process, requests: int, tokens: int) -> None:
    def send_requests(caller: int) -> None:
        for number in range(requests):
            _timed_request(process, tokens, f'{caller}-{number}')

    threads = [
        threading.Thread(target=send_requests, args=(caller,))
        for caller in range(CONCURRENT_CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


_thread_state = threading.local()


def _timed_request(process: Process, tokens: int, text: str) -> float:
    pool = getattr(_thread_state, 'pool', None)
    if pool is None:
        pool = httpcore.ConnectionPool()
        _thread_state.pool = pool
    document = {
        'model': 'ink',
        'messages': [{'role': 'user', 'content': text}],
        'stream': tokens > 1,
        'max_tokens': tokens,
    }
    began = time.perf_counter()
    pool.request(
        'POST',
        f'http://{process.address}/v1/chat/completions',
        content=msgspec.json.encode(document),
    )
    return time.perf_counter() - began


def _cpu_seconds(process: Process) -> float:
    fields = Path(f'/proc/{process.popen.pid}/stat').read_text().split()
    # User and system time.
    ticks = int(fields[13]) + int(fields[14])
    return ticks / os.sysconf('SC_CLK_TCK')


def _memory_megabytes(process: Process) -> int:
    status = Path(f'/proc/{process.popen.pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    # The file gives kilobytes.
    return int(line.split()[1]) // 1024
