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
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, replace
from pathlib import Path

import trio
from absl import app, flags

from tests.soak.cluster import SoakCluster, start_cluster
from tests.soak.configuration_rule import bound_share
from tests.soak.control import record_lateness
from tests.soak.day_faults import DAY_FAULTS, DayFaults
from tests.soak.faults import FaultInjector
from tests.soak.field_faults import FieldFaults
from tests.soak.guarantees import GuaranteeChecker
from tests.soak.judge import judge
from tests.soak.order_rule import count_allowances
from tests.soak.out_of_step import OUT_OF_STEP
from tests.soak.records import Late, select
from tests.soak.replay import replay
from tests.soak.site import DAY, ERAS, FIELD, Site
from tests.soak.sound_streams import count_sound_cut, judge_sound_streams
from tests.soak.start_rule import record_busy
from tests.soak.time_limit import default_limit, run_within
from tests.soak.unexcused import judge_unexcused

__all__ = ('Report', 'soak')

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
    'without',
    [],
    'Groups of faults to leave out: store, routers, paths, brittle, field.',
)
FIELD_SITE = flags.DEFINE_bool(
    'field', False, 'Run a deployment like those of users, with its faults.'
)
DAY_PARTS = flags.DEFINE_list(
    'day',
    [],
    f'Run a day of such a deployment, with some of these faults, or "all" but '
    f'the last one: {", ".join((*DAY_FAULTS, OUT_OF_STEP))}.',
)
flags.register_validator(
    'day',
    lambda names: names == ['all'] or set(names) <= {*DAY_FAULTS, OUT_OF_STEP},
    f'A fault of a day is "all" or one of: '
    f'{", ".join((*DAY_FAULTS, OUT_OF_STEP))}.',
)
PLAIN = flags.DEFINE_bool(
    'plain', False, 'All versions of a day have one shape; else it is drawn.'
)
CALLERS = flags.DEFINE_integer(
    'callers', 0, 'Number of callers of each router; 0: that of the deployment.'
)
ERA = flags.DEFINE_enum(
    'eras',
    'drawn',
    ('drawn', *ERAS),
    "What the store's answers tell of restores; drawn: by the seed.",
)
LIMIT = flags.DEFINE_float(
    'limit', 0, 'Seconds after which a run is ended; 0: the usual limit.'
)
KEEP = flags.DEFINE_bool('keep', False, 'Keep the logs of all seeds.')

START_TIMEOUT_SECONDS = 15
# All routers must serve again within this time after the last fault.
RECOVERY_TIMEOUT_SECONDS = 12
# Traffic and changes go on for this time after the strike.
AFTER_STRIKE_SECONDS = 10
MAX_UNEXCUSED_LINES = 10
# Routers that can start at once without waiting for a processor.
ROUTERS_AT_ONCE = 6


@dataclass(frozen=True)
class Report:
    """What a run has shown.

    `outcomes` counts the outcomes by kind of request and status or error,
    `late_seconds` has the longest delay of a timer by process of the soak, and
    `router_late_seconds` the longest one that a router has logged. A bound of
    time held for `bound_share` of the requests that were handled.
    """

    violations: tuple[str, ...]
    outcomes: Counter[str]
    injected: tuple[str, ...]
    late_seconds: dict[str, float]
    router_late_seconds: float
    bound_share: float
    # What a judgement finds that makes no allowance for the soak itself.
    unexcused: tuple[str, ...]
    # How many cases each allowance has excused.
    allowed: Counter[str]
    # Sound streams that were cut, by how their targets ended them.
    sound_cut: Counter[str]


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    routers: int = 3,
    targets: int = 4,
    without: Collection[str] = (),
    site: Site | None = None,
    day: Collection[str] = (),
    limit: float = 0,
) -> Report:
    """Run one seed, and report what it has shown.

    Faults are injected for `seconds`, but none of the groups in `without`;
    `routers` and `targets` are numbers. With a `site` other than the small one,
    faults of the field are added, or those of a `day`, and the run ends with a
    strike. A run that has not ended after `limit` seconds is ended without a
    verdict; 0: the usual limit.
    """
    cluster = SoakCluster(folder, site or Site())
    cluster.has_peer_ways = OUT_OF_STEP in day
    limit = limit or default_limit(seconds, _share_of(routers))

    async def run() -> None:
        await _run_faults(
            cluster, seed, seconds, routers, targets, without, day
        )
        await cluster.collect_records()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_lateness, cluster.records, 'injector')
        nursery.start_soon(record_busy, cluster.records)
        nursery.start_soon(_interrupt_on_sigterm)
        try:
            has_ended = await run_within(limit, cluster, run)
        finally:
            cluster.stop()
        nursery.cancel_scope.cancel()
    if has_ended:
        return _judge(cluster)
    return _report_no_verdict(cluster, limit)


async def _interrupt_on_sigterm() -> None:
    """Raise KeyboardInterrupt on SIGTERM, so that all processes are ended."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            raise KeyboardInterrupt


async def _run_faults(
    cluster: SoakCluster,
    seed: int,
    seconds: float,
    routers: int,
    targets: int,
    without: Collection[str],
    day: Collection[str],
) -> None:
    """Run the cluster, with faults meanwhile."""
    share = _share_of(routers)
    await start_cluster(cluster, routers, targets, seed)
    await cluster.wait_until_all_serve(START_TIMEOUT_SECONDS * share)
    injector = FaultInjector(cluster, seed, without)
    field: FieldFaults | DayFaults = FieldFaults(cluster, seed)
    if day:
        field = DayFaults(cluster, seed, day)
    has_field = cluster.site != Site() and 'field' not in without
    for callers in cluster.callers:
        await callers.call('run')
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.run)
            if has_field:
                nursery.start_soon(field.run, cluster.injected)
    if has_field:
        await cluster.store.call('clear_faults')
        await field.strike()
        with trio.move_on_after(AFTER_STRIKE_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(injector.run_changes)
                nursery.start_soon(field.run_changes, cluster.injected)
    for callers in cluster.callers:
        await callers.call('stop')
    await _end_faults(cluster)
    await cluster.wait_until_all_serve(RECOVERY_TIMEOUT_SECONDS * share)


def _share_of(routers: int) -> float:
    """Return how much longer all routers take than a few."""
    return max(1, routers / ROUTERS_AT_ONCE)


def _report_no_verdict(cluster: SoakCluster, limit: float) -> Report:
    why = f'no verdict: the run had not ended after {limit:.0f} s'
    return Report(
        (why, *cluster.violations),
        Counter(),
        tuple(cluster.injected),
        {},
        cluster.longest_loop_delay(),
        0,
        (),
        Counter(),
        Counter(),
    )


def _judge(cluster: SoakCluster) -> Report:
    cluster.record_failed_tasks()
    cluster.record_logs()
    deadline = cluster.site.deadline_seconds
    checker = GuaranteeChecker(deadline)
    replay(cluster.records, checker)
    late_seconds: dict[str, float] = {}
    for late in select(cluster.records, Late):
        longest = max(late.seconds, late_seconds.get(late.process, 0))
        late_seconds[late.process] = round(longest, 3)
    return Report(
        (
            *cluster.violations,
            *checker.violations,
            *judge(cluster.records),
            *judge_sound_streams(cluster.records, deadline),
        ),
        checker.outcome_counts,
        tuple(cluster.injected),
        late_seconds,
        cluster.longest_loop_delay(),
        round(bound_share(cluster.records), 2),
        tuple(judge_unexcused(cluster.records)),
        count_allowances(cluster.records),
        count_sound_cut(cluster.records, deadline),
    )


async def _end_faults(cluster: SoakCluster) -> None:
    await cluster.store.call('clear_faults')
    for target in cluster.targets:
        await target.proxy.call('clear_faults')
        await target.remote.call('go_on')
        await cluster.store.call('resume_reports', target.name)
        await target.remote.set(
            is_failing=False,
            failing_share=0,
            slow_seconds=0,
            stutters=False,
            cuts=False,
            odd_answers=False,
            oddity='',
            pause_seconds=0,
            limit='',
            max_rejections='',
        )
        await cluster.restart_target(target)
        await cluster.publish_target(target, 'ready')
    for router in cluster.routers:
        for path in router.paths.values():
            await path.call('clear_faults')
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


def _site(seed: int) -> Site:
    site = FIELD if FIELD_SITE.value else Site()
    if DAY_PARTS.value:
        site = replace(DAY, shapes=0 if PLAIN.value else seed)
    drawn = ERAS[seed % len(ERAS)]
    return replace(
        site,
        callers=CALLERS.value or site.callers,
        eras=drawn if ERA.value == 'drawn' else ERA.value,
    )


def _print(seed: int, report: Report) -> None:
    counts = dict(sorted(report.outcomes.items()))
    sys.stdout.write(
        f'seed {seed}: {len(report.violations)} violations, {counts}\n'
        f'    own longest delays in seconds: {report.late_seconds}, '
        f"the routers' {report.router_late_seconds}; "
        f'bounds held for a share of {report.bound_share}\n'
        f'    without allowances: {len(report.unexcused)}, '
        f'allowed: {dict(report.allowed)}\n'
        f'    sound streams cut: {dict(report.sound_cut)}\n'
    )
    for line in report.unexcused[:MAX_UNEXCUSED_LINES]:
        sys.stdout.write(f'    ({line})\n')
    for line in report.violations:
        sys.stdout.write(f'    {line}\n')
    if report.violations or KEEP.value:
        sys.stdout.write(f'    {report.injected}\n')


def main(_: list[str]) -> int:
    """Run the seeds that were asked for and return the exit status."""
    failed = 0
    for seed in _seed_range():
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        report = trio.run(
            soak,
            seed,
            SECONDS.value,
            folder,
            ROUTERS.value,
            TARGETS.value,
            WITHOUT.value,
            _site(seed),
            DAY_FAULTS if DAY_PARTS.value == ['all'] else DAY_PARTS.value,
            LIMIT.value,
        )
        _print(seed, report)
        failed += bool(report.violations)
        if report.violations or KEEP.value:
            sys.stdout.write(f'    logs: {folder}\n')
        else:
            shutil.rmtree(folder)
        sys.stdout.flush()
    return int(failed > 0)


if __name__ == '__main__':
    app.run(main)
