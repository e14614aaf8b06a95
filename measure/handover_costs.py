"""What a request costs that a router hands over, beside a direct one.

Runs three routers and three targets in this process, with one router cut from
all targets for the second half: `python -m measure.handover_costs`.
"""

import statistics
import sys
import time

import trio

from tests.peridotwell_platform.cut_fleet import CutFleet, start_fleet

REQUESTS = 300
WARM_UP_SECONDS = 3.0
PATHS = ('/read/x', '/draft/x', '/book/x')
MILLISECONDS = 1000


async def measure(fleet: CutFleet, path: str) -> tuple[float, float, float]:
    """Return the median and 99th percentile latency, and processor time.

    All are in milliseconds a request. The processor time is that of the
    routers, the target and the caller together.
    """
    latencies = []
    processor_time = time.process_time()
    for _ in range(REQUESTS):
        started_at = time.perf_counter()
        response = await fleet.send(0, path)
        latencies.append((time.perf_counter() - started_at) * MILLISECONDS)
        if response.status != 200:
            raise RuntimeError(f'status {response.status}')
    spent = (time.process_time() - processor_time) * MILLISECONDS / REQUESTS
    return (
        statistics.median(latencies),
        statistics.quantiles(latencies, n=100)[-1],
        spent,
    )


def write_row(path: str, how: str, figures: tuple[float, float, float]) -> None:
    """Write one row of the table."""
    columns = ' | '.join(f'{figure:.1f}' for figure in figures)
    sys.stdout.write(f'| {path} | {how} | {columns} |\n')


async def main() -> None:
    """Measure direct requests, then those that are handed over."""
    sys.stdout.write('| request | way | median ms | p99 ms | processor ms |\n')
    sys.stdout.write('| --- | --- | --- | --- | --- |\n')
    async with trio.open_nursery() as nursery:
        fleet = await start_fleet(nursery)
        for path in PATHS:
            write_row(path, 'direct', await measure(fleet, path))
        await fleet.cut(0, 'refused')
        with trio.move_on_after(WARM_UP_SECONDS):
            while True:
                await fleet.send(0, PATHS[0])
        for path in PATHS:
            write_row(path, 'handed over', await measure(fleet, path))
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(main)
