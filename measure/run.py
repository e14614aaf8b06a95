"""Run every measurement and print its table: `make measure`.

Figures of one run belong together: compare them as ratios. The tables go to
build/measure/ too, with a plot of cache reuse and skew over the load bound.
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
from measure.scenario import SIZES, TROUBLES, Outcome, Size, run_scenario
from peridotwell.operators.tables import format_table

__all__ = ('main',)

FOLDER = Path('build/measure')
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
HEADER = (
    'fleet',
    'trouble',
    'policy',
    'reuse',
    'worst/mean',
    'over bound',
    'by',
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
    size, trouble, policy, bound, use_hints = case
    if policy is CreditPolicy:
        return run_scenario(size, policy, trouble, bound, use_hints=use_hints)
    return run_scenario(size, policy, trouble, bound)


def _percent(part: float, whole: float) -> float:
    return round(100 * part / max(whole, 1), 1)


def _row(case: Case, outcome: Outcome) -> tuple[object, ...]:
    size, trouble, policy, _, use_hints = case
    tried = outcome.turns + outcome.refused
    name = policy.name if use_hints else f'{policy.name}, no hints'
    return (
        size.name,
        trouble,
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


def _show(name: str, header: tuple[str, ...], rows: list[object]) -> None:
    lines = [name, *format_table(header, rows), '']  # type: ignore[arg-type]
    text = '\n'.join(lines)
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
    (FOLDER / f'{name.replace(" ", "-")}.txt').write_text(f'{text}\n')


def measure_policies() -> None:
    """Compare the policies in every trouble and fleet."""
    cases: list[Case] = [
        (size, trouble, policy, 1.25, use_hints)
        for size in SIZES
        for trouble in TROUBLES
        for policy in POLICIES
        for use_hints in ((True, False) if policy is CreditPolicy else (True,))
    ]
    rows: list[object] = []
    records = []
    for case, outcome in _run_cases(cases):
        rows.append(_row(case, outcome))
        records.append({'case': rows[-1], **asdict(outcome)})
    (FOLDER / 'policies.json').write_text(json.dumps(records, default=str))
    _show('policies', HEADER, rows)


def measure_curve() -> None:
    """Show cache reuse and skew over the load bound, and plot them."""
    cases: list[Case] = [
        (SIZES[1], trouble, CreditPolicy, bound, True)
        for trouble in ('steady', 'churn')
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
    header = ('trouble', 'bound', 'reuse', 'worst/mean', 'over', 'control B/s')
    _show('curve over the load bound', header, rows)
    _plot(points)


def _plot(points: dict[str, list[tuple[float, float, float]]]) -> None:
    import matplotlib

    matplotlib.use('svg')
    from matplotlib import pyplot as plt

    figure, (reuse, skew) = plt.subplots(1, 2, figsize=(9, 3.5))
    for trouble, series in points.items():
        bounds = [bound for bound, _, _ in series]
        reuse.plot(bounds, [value for _, value, _ in series], label=trouble)
        skew.plot(bounds, [value for _, _, value in series], label=trouble)
    reuse.set(xlabel='load bound', ylabel='cache reuse')
    skew.set(xlabel='load bound', ylabel='worst engine / mean')
    skew.plot(BOUNDS, BOUNDS, linestyle=':', label='the bound')
    skew.legend()
    figure.tight_layout()
    figure.savefig(FOLDER / 'curve.svg')


def measure_costs() -> None:
    """Measure decisions and the router's own cost a request and a token."""
    _show(
        'microseconds a decision',
        ('engines', 'order', 'hinted', 'caps'),
        list(router_costs.decision_rows()),
    )
    _show(
        'router against pass-through',
        router_costs.PATH_HEADER,
        list(router_costs.path_rows()),
    )


def measure_slopes() -> None:
    """Measure what each frame and each kept thing costs."""
    _show('frames', unit_costs.FRAME_HEADER, list(unit_costs.frame_rows()))
    _show('memory', unit_costs.MEMORY_HEADER, list(unit_costs.memory_rows()))


def measure_platform() -> None:
    """Measure claims a second and the platform's calls."""
    _show(
        'claims',
        platform_costs.CLAIM_HEADER,
        list(platform_costs.claim_rows()),
    )
    _show(
        'platform calls and control bytes of one router',
        platform_costs.CALL_HEADER,
        list(platform_costs.call_rows()),
    )


def main(argv: list[str]) -> None:
    """Run the chosen measurements."""
    FOLDER.mkdir(parents=True, exist_ok=True)
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
