"""Text tables that the operators' tool prints."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import msgspec
from ddsketch import DDSketch
from ddsketch.pb import ddsketch_pb2
from ddsketch.pb.proto import DDSketchProto

from peridotwell.domain.configuration import Configuration
from peridotwell.operators.messages import (
    ChangeReport,
    EncodedSketch,
    QuarantineEntry,
    RouterStatus,
)

__all__ = (
    'HistogramSummary',
    'merge_sketches',
    'format_table',
    'status_table',
    'target_table',
    'configuration_table',
    'history_table',
    'quantile_table',
    'quarantine_table',
    'change_lines',
)

MILLISECONDS_PER_SECOND = 1000
COLUMN_SEPARATOR = '  '

Row = Sequence[object]


@dataclass(frozen=True)
class HistogramSummary:
    """Count and quantiles of a histogram; times in milliseconds."""

    customer: str
    priority_class: str
    measure: str
    count: int
    median: float
    p95: float
    p99: float


def merge_sketches(sketches: Iterable[EncodedSketch]) -> list[HistogramSummary]:
    """Merge the histograms of all routers; return a row for each series."""
    merged: dict[tuple[str, str, str], DDSketch] = {}
    for encoded in sketches:
        series = (encoded.customer, encoded.priority_class, encoded.measure)
        message = ddsketch_pb2.DDSketch.FromString(encoded.sketch)
        sketch = DDSketchProto.from_proto(message)
        if series in merged:
            merged[series].merge(sketch)
        else:
            merged[series] = sketch
    return [
        HistogramSummary(
            *series, round(sketch.count), *_quantiles_in_milliseconds(sketch)
        )
        for series, sketch in sorted(merged.items())
        if sketch.count
    ]


def format_table(header: Row, rows: Iterable[Row]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        yield COLUMN_SEPARATOR.join(padded).rstrip()


def status_table(routers: Iterable[RouterStatus]) -> Iterator[str]:
    """Yield a table with a row for each router."""
    header = (
        'router',
        'data centre',
        'version',
        'ready',
        'running',
        'waiting',
        'platform',
        'targets live',
        'leaving',
        'suspects',
        'routers seen',
        'control B/s',
    )
    rows = [
        (
            router.name,
            router.data_centre,
            router.version,
            router.obstacle or 'yes',
            router.running_calls,
            router.waiting_calls,
            'reachable' if router.platform_reachable else 'unreachable',
            _count_in_state(router, 'live'),
            _count_in_state(router, 'leaving'),
            router.quarantined,
            len(router.live_routers) + 1,
            round(router.control_bytes / max(router.uptime_seconds, 1)),
        )
        for router in routers
    ]
    yield from format_table(header, rows)


def target_table(routers: Sequence[RouterStatus]) -> Iterator[str]:
    """Yield a row for each target, with calls summed over all routers."""
    header = ('target', 'data centre', 'pool', 'state', 'slots', 'calls')
    calls: dict[str, int] = {}
    for router in routers:
        for target in router.targets:
            previous = calls.get(target.name, 0)
            calls[target.name] = previous + target.own_calls
    rows = [
        (
            target.name,
            target.data_centre,
            target.pool,
            'doubted' if target.doubted else target.state,
            target.slots or 'unlimited',
            calls[target.name],
        )
        for target in routers[0].targets
    ]
    yield from format_table(header, rows)


def configuration_table(cfg: Configuration) -> Iterator[str]:
    """Yield tables of the defaults, the exceptions and the contracts."""
    yield f'version {cfg.version}'
    defaults = msgspec.structs.asdict(cfg.defaults)
    yield from format_table(('default', 'value'), defaults.items())
    yield ''
    header = ('exception', 'scope', 'subject', 'default', 'value', 'reason')
    rows = [
        (
            override.name,
            override.scope.value,
            override.subject,
            override.field,
            override.value,
            override.reason,
        )
        for override in cfg.overrides
    ]
    yield from format_table(header, rows)
    yield ''
    contracts = [
        (contract.prefix, contract.pool, ' '.join(contract.repeatable_methods))
        for contract in cfg.contracts
    ]
    yield from format_table(('prefix', 'pool', 'repeatable'), contracts)


def history_table(cfg: Configuration) -> Iterator[str]:
    """Yield a table of the latest changes, newest first."""
    header = ('version', 'change id', 'author', 'change', 'reason')
    rows = [
        (
            entry.version,
            entry.change_id,
            entry.author,
            entry.summary,
            entry.reason,
        )
        for entry in cfg.history
    ]
    yield from format_table(header, rows)


def quantile_table(quantiles: Iterable[HistogramSummary]) -> Iterator[str]:
    """Yield a table with a row for each histogram."""
    header = (
        'customer',
        'class',
        'measure',
        'count',
        'median ms',
        'p95 ms',
        'p99 ms',
    )
    rows = [
        (
            row.customer,
            row.priority_class,
            row.measure,
            row.count,
            row.median,
            row.p95,
            row.p99,
        )
        for row in quantiles
    ]
    yield from format_table(header, rows)


def quarantine_table(entries: Iterable[QuarantineEntry]) -> Iterator[str]:
    """Yield a table with a row for each quarantined request."""
    header = ('fingerprint', 'lost targets', 'expires in s')
    rows = [
        (entry.fingerprint, entry.lost_targets, round(entry.expires_in_seconds))
        for entry in entries
    ]
    yield from format_table(header, rows)


def change_lines(report: ChangeReport) -> Iterator[str]:
    """Yield the effect that a change had, or would have."""
    entry = report.configuration.history[0]
    if report.dry_run:
        yield f'would become version {entry.version}: {entry.summary}'
        return
    yield f'version {entry.version} accepted: {entry.summary}'
    yield f'in force on {", ".join(report.in_force)}'
    if report.unconfirmed:
        yield f'not yet confirmed by {", ".join(report.unconfirmed)}'


def _count_in_state(router: RouterStatus, state: str) -> int:
    return sum(target.state == state for target in router.targets)


def _quantiles_in_milliseconds(sketch: DDSketch) -> list[float]:
    quantiles = (
        sketch.get_quantile_value(quantile) for quantile in (0.5, 0.95, 0.99)
    )
    return [
        round((seconds or 0) * MILLISECONDS_PER_SECOND, 1)
        for seconds in quantiles
    ]
