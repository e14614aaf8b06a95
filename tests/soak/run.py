"""A randomized soak test: real routers, injected faults, checked guarantees.

    python -m tests.soak.run --seeds 1-50 --seconds 20

Prints one line for each seed. If a guarantee was violated, the exit status is
1, and the routers' logs are kept in the folder that is printed.
"""

import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Collection
from pathlib import Path

import trio
from absl import app, flags

from tests.soak.callers import Callers
from tests.soak.cluster import Router, SoakCluster, start_cluster
from tests.soak.faults import FaultInjector
from tests.soak.judge import judge

__all__ = ('soak',)

SEEDS = flags.DEFINE_string(
    'seeds',
    '',
    'First and last seed, as 1-50; by default, the current time is the seed.',
)
SECONDS = flags.DEFINE_float(
    'seconds', 20, 'Seconds during which faults are injected.'
)
ROUTERS = flags.DEFINE_integer('routers', 3, 'Number of router processes.')
TARGETS = flags.DEFINE_integer('targets', 4, 'Number of simulated targets.')
WITHOUT = flags.DEFINE_list(
    'without', [], 'Groups of faults to leave out: store, routers, paths.'
)

CALLERS_PER_ROUTER = 4
START_TIMEOUT_SECONDS = 15
# All routers must serve again within this time after the last fault.
RECOVERY_TIMEOUT_SECONDS = 12
REQUIRED_SUCCESSES = 5


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    routers: int = 3,
    targets: int = 4,
    without: Collection[str] = (),
) -> tuple[list[str], SoakCluster, FaultInjector]:
    """Run one seed; return the violations, the cluster and the injector.

    Faults are injected for `seconds`, but none of the groups in `without`;
    `routers` and `targets` are numbers.
    """
    async with trio.open_nursery() as nursery:
        cluster = await start_cluster(nursery, folder, routers, targets, seed)
        try:
            callers = Callers(cluster, seed)
            await _wait_until_all_serve(cluster, callers, START_TIMEOUT_SECONDS)
            injector = FaultInjector(cluster, seed, without)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as load_nursery:
                    for router in cluster.routers * CALLERS_PER_ROUTER:
                        load_nursery.start_soon(callers.run, router)
                    load_nursery.start_soon(injector.run)
            await _end_faults(cluster)
            await _wait_until_all_serve(
                cluster, callers, RECOVERY_TIMEOUT_SECONDS
            )
        finally:
            cluster.kill_routers()
        cluster.record_failed_tasks()
        cluster.checker.violations.extend(judge(cluster.records))
        nursery.cancel_scope.cancel()
    return cluster.checker.violations, cluster, injector


async def _wait_until_all_serve(
    cluster: SoakCluster, callers: Callers, seconds: float
) -> None:
    """Wait until each router serves; record a violation if one does not."""
    for router in cluster.routers:
        with trio.move_on_after(seconds) as scope:
            await _wait_until_router_serves(router, callers)
        if scope.cancelled_caught:
            why = f'{router.name} does not serve after {seconds} s'
            cluster.checker.violations.append(why)


async def _wait_until_router_serves(router: Router, callers: Callers) -> None:
    served = 0
    while served < REQUIRED_SUCCESSES:
        outcome = await callers.send_once(router, 'book')
        served = served + 1 if outcome.status == 200 else 0
        await trio.sleep(0.05)


async def _end_faults(cluster: SoakCluster) -> None:
    cluster.store_proxy.clear_faults()
    cluster.store.faults.clear()
    for target in cluster.targets:
        target.proxy.clear_faults()
        target.is_failing = False
        target.failing_share = 0
        target.slow_seconds = 0
        target.stutters = False
        target.cuts = False
        target.pause_seconds = 0
        target.limit = ''
        target.max_rejections = ''
        cluster.restart_target(target)
        cluster.publish_target(target, 'ready')
    for router in cluster.routers:
        for path in router.paths.proxies.values():
            path.clear_faults()
        # A planned stop that is under way must be allowed to complete.
        while router.is_stopping and router.process.poll() is None:
            await trio.sleep(0.05)
        cluster.resume_router(router)


def _seed_range() -> range:
    first, _, last = SEEDS.value.partition('-')
    if not first:
        current_time = int(time.time())
        return range(current_time, current_time + 1)
    return range(int(first), int(last or first) + 1)


def main(_: list[str]) -> int:
    """Run the seeds that were asked for and return the exit status."""
    # SIGTERM raises KeyboardInterrupt, so that the routers are killed too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in _seed_range():
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations, cluster, injector = trio.run(
            soak,
            seed,
            SECONDS.value,
            folder,
            ROUTERS.value,
            TARGETS.value,
            WITHOUT.value,
        )
        counts = dict(sorted(cluster.checker.outcome_counts.items()))
        sys.stdout.write(
            f'seed {seed}: {len(violations)} violations, {counts}\n'
        )
        for line in violations:
            sys.stdout.write(f'    {line}\n')
        if violations:
            failed += 1
            sys.stdout.write(f'    {injector.injected}\n    logs: {folder}\n')
        else:
            shutil.rmtree(folder)
        sys.stdout.flush()
    return int(failed > 0)


if __name__ == '__main__':
    app.run(main)
