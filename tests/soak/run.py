"""A randomized soak: real routers, faults from outside, promises checked.

    python -m tests.soak.run --seeds 1-50 --seconds 20

Prints one line a seed; exit status 1 if a promise was broken. Logs of the
routers stay in the folder that is printed then.
"""

import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import trio
from absl import app, flags

from tests.soak.callers import Callers
from tests.soak.cluster import Router, SoakCluster, start_cluster
from tests.soak.faults import FaultInjector

__all__ = ('soak',)

SEEDS = flags.DEFINE_string('seeds', '', 'First and last seed; else one new.')
SECONDS = flags.DEFINE_float('seconds', 20, 'How long faults are played.')
ROUTERS = flags.DEFINE_integer('routers', 3, 'Routers, each a process.')
TARGETS = flags.DEFINE_integer('targets', 4, 'Targets.')

CALLERS_A_ROUTER = 4
START_SECONDS = 15
# After the last fault, everything is served again within this time.
RECOVER_SECONDS = 12
RECOVERED_IN_A_ROW = 5


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    routers: int = 3,
    targets: int = 4,
) -> tuple[list[str], SoakCluster, FaultInjector]:
    """Play one seed; return what was broken, and what was seen."""
    async with trio.open_nursery() as nursery:
        cluster = await start_cluster(nursery, folder, routers, targets)
        try:
            callers = Callers(cluster, seed)
            await _wait_served(cluster, callers, START_SECONDS)
            faults = FaultInjector(cluster, seed)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as playing:
                    for router in cluster.routers * CALLERS_A_ROUTER:
                        playing.start_soon(callers.run, router)
                    playing.start_soon(faults.run)
            await _heal(cluster)
            await _wait_served(cluster, callers, RECOVER_SECONDS)
        finally:
            cluster.end()
        nursery.cancel_scope.cancel()
    return cluster.checker.violations, cluster, faults


async def _wait_served(
    cluster: SoakCluster, callers: Callers, seconds: float
) -> None:
    """Wait until each router serves; book it as broken if one does not."""
    for router in cluster.routers:
        with trio.move_on_after(seconds) as scope:
            await _wait_router(router, callers)
        if scope.cancelled_caught:
            why = f'{router.name} does not serve after {seconds} s'
            cluster.checker.violations.append(why)


async def _wait_router(router: Router, callers: Callers) -> None:
    served = 0
    while served < RECOVERED_IN_A_ROW:
        outcome = await callers.ask_once(router, 'book')
        served = served + 1 if outcome.status == 200 else 0
        await trio.sleep(0.05)


async def _heal(cluster: SoakCluster) -> None:
    cluster.store_proxy.heal()
    cluster.store.faults.clear()
    for target in cluster.targets:
        target.link.heal()
        target.fails = False
        cluster.list_target(target, 'ready')
    for router in cluster.routers:
        # A stop that faults have begun is played to its end.
        while router.is_stopping and router.process.poll() is None:
            await trio.sleep(0.05)
        router.resume(cluster.log(router))


def _seeds() -> range:
    first, _, last = SEEDS.value.partition('-')
    if not first:
        fresh = int(time.time())
        return range(fresh, fresh + 1)
    return range(int(first), int(last or first) + 1)


def main(_: list[str]) -> int:
    """Play the seeds asked for."""
    # Ended like this too, it ends the routers that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in _seeds():
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations, cluster, faults = trio.run(
            soak, seed, SECONDS.value, folder, ROUTERS.value, TARGETS.value
        )
        counts = dict(sorted(cluster.checker.outcomes.items()))
        sys.stdout.write(f'seed {seed}: {len(violations)} broken, {counts}\n')
        for line in violations:
            sys.stdout.write(f'    {line}\n')
        if violations:
            failed += 1
            sys.stdout.write(f'    {faults.played}\n    logs: {folder}\n')
        else:
            shutil.rmtree(folder)
        sys.stdout.flush()
    return int(failed > 0)


if __name__ == '__main__':
    app.run(main)
