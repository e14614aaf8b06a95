"""Costs of decisions and of the request path."""

import resource
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import httpcore
import msgspec

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.credits import load_caps
from peridotwell.policy.placement import (
    HintedPlacement,
    RendezvousPlacement,
    placement_hint,
)
from standins.cluster import LocalCluster, Process

__all__ = ('PATH_HEADER', 'decision_rows', 'path_rows')

ENGINE_COUNTS = (6, 30, 60, 300)
REPEATS = 300
MICROSECONDS = 1e6
MILLISECONDS = 1e3
CALLERS = 8
REQUESTS = 60
STREAMS = 10
STREAM_TOKENS = 200
PATH_HEADER = (
    'path',
    'requests/s',
    'median ms, 1 caller',
    'CPU ms a request',
    'tokens/s',
    'CPU us a token',
    'memory MB',
)

Row = tuple[object, ...]


def decision_rows() -> Iterator[Row]:
    """Yield microseconds for one decision by the number of engines."""
    for count in ENGINE_COUNTS:
        yield _decision_row(count)


def _decision_row(count: int) -> Row:
    pool = Pool('dc1', 'ink')
    targets = [
        Target(f'engine-{number}', 'x', TargetKind.engine, pool)
        for number in range(count)
    ]
    hint = placement_hint(targets[-1])
    plain = RendezvousPlacement()
    hinted = HintedPlacement()
    return (
        count,
        _time(lambda turn: next(plain.order(f'{turn}', targets))),
        _time(lambda turn: next(hinted.order('c', targets, hint))),
        _time(lambda turn: load_caps(targets, turn, 1.25)),
    )


def _time(step) -> float:  # type: ignore[no-untyped-def]
    began = time.perf_counter()
    for turn in range(REPEATS):
        step(turn)
    taken = time.perf_counter() - began
    return round(taken / REPEATS * MICROSECONDS, 1)


def path_rows() -> Iterator[Row]:
    """Yield the costs of a pass-through and of a router, same engine."""
    with LocalCluster() as cluster:
        engine = cluster.start_engine(
            'e1',
            '--token_seconds=0',
            '--slots=1000',
        )
        baseline = cluster.start(
            'pass-through',
            '-m',
            'measure.passthrough',
            f'--target={engine.address}',
        )
        router = cluster.start_router('r1')
        cluster.wait_live(router, 'e1')
        for process in (baseline, router):
            yield _measure_path(cluster, process)


def _measure_path(cluster: LocalCluster, process: Process) -> Row:
    cluster.chat(process, 'warm up')
    latencies = sorted(_one_call(process, 1, 'x') for _ in range(REQUESTS))
    before = _cpu_seconds(process)
    began = time.perf_counter()
    _in_parallel(process, REQUESTS, 1)
    rate = CALLERS * REQUESTS / (time.perf_counter() - began)
    cpu = (_cpu_seconds(process) - before) / (CALLERS * REQUESTS)
    before = _cpu_seconds(process)
    began = time.perf_counter()
    _in_parallel(process, STREAMS, STREAM_TOKENS)
    tokens = CALLERS * STREAMS * STREAM_TOKENS
    token_rate = tokens / (time.perf_counter() - began)
    token_cpu = (_cpu_seconds(process) - before) / tokens
    return (
        process.name,
        round(rate),
        round(latencies[len(latencies) // 2] * MILLISECONDS, 1),
        round(cpu * MILLISECONDS, 2),
        round(token_rate),
        round(token_cpu * MICROSECONDS),
        _memory_megabytes(process),
    )


def _in_parallel(process: Process, requests: int, tokens: int) -> None:
    def call_often(caller: int) -> None:
        for number in range(requests):
            _one_call(process, tokens, f'{caller}-{number}')

    callers = [
        threading.Thread(target=call_often, args=(caller,))
        for caller in range(CALLERS)
    ]
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()


_local = threading.local()


def _one_call(process: Process, tokens: int, text: str) -> float:
    pool = getattr(_local, 'pool', None)
    if pool is None:
        pool = httpcore.ConnectionPool()
        _local.pool = pool
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
    ticks = int(fields[13]) + int(fields[14])
    return ticks / 100


def _memory_megabytes(process: Process) -> int:
    status = Path(f'/proc/{process.popen.pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return int(line.split()[1]) * resource.getpagesize() // 4096 // 1024
