"""Run the measurements and print a table for each: `make measure`.

Compare only figures of the same run, and only as ratios. The tables are written
to build/measure/ too, with a plot of the cache reuse and the load imbalance
against the load bound.
"""

import json
import logging
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict
from multiprocessing import Pool
from pathlib import Path

from absl import app, flags

from measure import platform_costs, router_costs, unit_costs
from measure.policies import (
    CreditPolicy,
    LeastLoadedPolicy,
    PlainRendezvousPolicy,
    Policy,
    RandomPolicy,
    ReportedLoadBoundPolicy,
    TwoChoicesPolicy,
)
from measure.scenario import CONDITIONS, SIZES, Outcome, Size, run_scenario
from peridotwell.operators.tables import format_table

__all__ = ('main',)

OUTPUT_FOLDER = Path('build/measure')
PROCESSES = 4
POLICIES: tuple[type[Policy], ...] = (
    RandomPolicy,
    LeastLoadedPolicy,
    TwoChoicesPolicy,
    PlainRendezvousPolicy,
    ReportedLoadBoundPolicy,
    CreditPolicy,
)
BOUNDS = (1.1, 1.25, 1.5, 2, 3)
POLICY_HEADER = (
    'fleet',
    'condition',
    'policy',
    'reuse',
    'worst/mean',
    'over bound',
    'worst excess',
    'moved %',
    'refused %',
    'others refused %',
    'control B/s',
)
ONLY = flags.DEFINE_list(
    'only',
    ['policies', 'curve', 'costs', 'slopes', 'platform'],
    'Measurements to run.',
)

Case = tuple[Size, str, type[Policy], float, bool]


def _run_case(case: Case) -> Outcome:
    size, condition, policy, bound, use_hints = case
    if policy is CreditPolicy:
        return run_scenario(size, policy, condition, bound, use_hints=use_hints)
    return run_scenario(size, policy, condition, bound)


def _percent(part: float, whole: float) -> float:
    return round(100 * part / max(whole, 1), 1)


def _row(case: Case, outcome: Outcome) -> tuple[object, ...]:
    size, condition, policy, _, use_hints = case
    tried = outcome.turns + outcome.refused
    name = policy.name if use_hints else f'{policy.name}, no hints'
    return (
        size.name,
        condition,
        name,
        f'{outcome.reuse:.2f}',
        f'{outcome.worst_ratio:.2f}',
        f'{_percent(outcome.over_bound, outcome.dispatches)}%',
        outcome.worst_excess,
        _percent(outcome.moved, outcome.returning),
        _percent(outcome.refused, tried),
        _percent(outcome.refused_quiet, tried),
        round(outcome.control_bytes),
    )


def _run_cases(cases: list[Case]) -> Iterator[tuple[Case, Outcome]]:
    with Pool(PROCESSES) as pool:
        yield from zip(cases, pool.imap(_run_case, cases), strict=True)


def _print_table(
    name: str, header: tuple[str, ...], rows: list[object]
) -> None:
    lines = [name, *format_table(header, rows), '']  # type: ignore[arg-type]
    text = '\n'.join(lines)
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
    (OUTPUT_FOLDER / f'{name.replace(" ", "-")}.txt').write_text(f'{text}\n')


def measure_policies() -> None:
    """Compare the policies for every fleet size and condition."""
    cases: list[Case] = [
        (size, condition, policy, 1.25, use_hints)
        for size in SIZES
        for condition in CONDITIONS
        for policy in POLICIES
        for use_hints in ((True, False) if policy is CreditPolicy else (True,))
    ]
    rows: list[object] = []
    records = []
    for case, outcome in _run_cases(cases):
        rows.append(_row(case, outcome))
        records.append({'case': rows[-1], **asdict(outcome)})
    (OUTPUT_FOLDER / 'policies.json').write_text(
        json.dumps(records, default=str)
    )
    _print_table('policies', POLICY_HEADER, rows)


def measure_curve() -> None:
    """Measure and plot cache reuse and load imbalance by load bound."""
    cases: list[Case] = [
        (SIZES[1], condition, CreditPolicy, bound, True)
        for condition in ('steady', 'churn')
        for bound in BOUNDS
    ]
    rows: list[object] = []
    points: dict[str, list[tuple[float, float, float]]] = {}
    for case, outcome in _run_cases(cases):
        rows.append(
            (
                case[1],
                case[3],
                f'{outcome.reuse:.2f}',
                f'{outcome.worst_ratio:.2f}',
                f'{_percent(outcome.over_bound, outcome.dispatches)}%',
                round(outcome.control_bytes),
            )
        )
        points.setdefault(case[1], []).append(
            (
                case[3],
                outcome.reuse,
                outcome.worst_ratio,
            )
        )
    header = (
        'condition',
        'bound',
        'reuse',
        'worst/mean',
        'over bound',
        'control B/s',
    )
    _print_table('curve over the load bound', header, rows)
    _plot(points)


def _plot(points: dict[str, list[tuple[float, float, float]]]) -> None:
    import matplotlib

    matplotlib.use('svg')
    from matplotlib import pyplot as plt

    figure, (reuse, imbalance) = plt.subplots(1, 2, figsize=(9, 3.5))
    for condition, series in points.items():
        bounds = [bound for bound, _, _ in series]
        reuse.plot(bounds, [value for _, value, _ in series], label=condition)
        imbalance.plot(
            bounds, [value for _, _, value in series], label=condition
        )
    reuse.set(xlabel='load bound', ylabel='cache reuse')
    imbalance.set(xlabel='load bound', ylabel='worst engine / mean')
    imbalance.plot(BOUNDS, BOUNDS, linestyle=':', label='the bound')
    imbalance.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT_FOLDER / 'curve.svg')


def measure_costs() -> None:
    """Measure the costs of decisions and of the router's request path."""
    _print_table(
        'microseconds a decision',
        ('engines', 'order', 'hinted', 'caps'),
        list(router_costs.decision_rows()),
    )
    _print_table(
        'router against pass-through',
        router_costs.PATH_HEADER,
        list(router_costs.path_rows()),
    )


def measure_slopes() -> None:
    """Measure the CPU time of each frame and the memory of each object."""
    _print_table(
        'frames', unit_costs.FRAME_HEADER, list(unit_costs.frame_rows())
    )
    _print_table(
        'memory', unit_costs.MEMORY_HEADER, list(unit_costs.memory_rows())
    )


def measure_platform() -> None:
    """Measure the rate of claims and the rate of calls to the platform."""
    _print_table(
        'claims',
        platform_costs.CLAIM_HEADER,
        list(platform_costs.claim_rows()),
    )
    _print_table(
        'platform calls and control bytes of one router',
        platform_costs.CALL_HEADER,
        list(platform_costs.call_rows()),
    )


def main(argv: list[str]) -> None:
    """Run the chosen measurements."""
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    logging.disable(logging.INFO)
    began = time.monotonic()
    steps = {
        'policies': measure_policies,
        'curve': measure_curve,
        'costs': measure_costs,
        'slopes': measure_slopes,
        'platform': measure_platform,
    }
    for name in ONLY.value:
        steps[name]()
    sys.stdout.write(f'{time.monotonic() - began:.0f} s in all\n')


if __name__ == '__main__':
    app.run(main)
