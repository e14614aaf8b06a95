"""Counters, and latency histograms for each customer and priority class.

Counters are also sent to statsd as they change. Histograms are DDSketches
with a relative error of 2%; those of several routers can be merged without
loss of accuracy, and operators fetch them over HTTP. The names are listed in
docs/operators/metrics.md.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

import statsd
from ddsketch import DDSketch

__all__ = ('Measure', 'Series', 'Metrics', 'render_metrics')

RELATIVE_ERROR = 0.02
MAX_SERIES = 2000
QUANTILES = (0.5, 0.95, 0.99)
# Replaces the customer of new series once there are MAX_SERIES of them.
OTHER_CUSTOMERS = '(others)'


class Measure(Enum):
    """The duration that a histogram records, in seconds."""

    first_token = 'first_token'
    between_tokens = 'between_tokens'
    whole_answer = 'whole_answer'


@dataclass(frozen=True)
class Series:
    """Identifies one histogram."""

    customer: str
    priority_class: str
    measure: Measure


class Metrics:
    """The counters and histograms of this router."""

    def __init__(self, statsd_address: str, prefix: str) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._sketches: dict[Series, DDSketch] = {}
        self._statsd = _make_statsd_client(statsd_address, prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counters[name] += amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def record_total(self, name: str, total: int) -> None:
        """Raise a counter to a total that is counted elsewhere."""
        increase = total - self.counters[name]
        if increase > 0:
            self.count(name, increase)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value, also at statsd."""
        self.gauges[name] = value
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def sketch(self, series: Series) -> DDSketch:
        """Return the histogram of a series; add its values in seconds."""
        existing = self._sketches.get(series)
        if existing is not None:
            return existing
        if len(self._sketches) >= MAX_SERIES:
            series = Series(
                OTHER_CUSTOMERS,
                series.priority_class,
                series.measure,
            )
        return self._sketches.setdefault(series, DDSketch(RELATIVE_ERROR))

    def sketches(self) -> Mapping[Series, DDSketch]:
        """Return every histogram."""
        return self._sketches


def render_metrics(metrics: Metrics) -> Iterator[str]:
    """Yield the lines of the metrics page: counters, gauges, quantiles."""
    for name, count in sorted(metrics.counters.items()):
        yield f'peridotwell_total{{name="{name}"}} {count}'
    for name, value in sorted(metrics.gauges.items()):
        yield f'peridotwell_gauge{{name="{name}"}} {value}'
    for series, sketch in metrics.sketches().items():
        labels = f'customer="{series.customer}",class="{series.priority_class}"'
        name = f'peridotwell_{series.measure.value}_seconds'
        for quantile in QUANTILES:
            value = sketch.get_quantile_value(quantile) or 0
            yield f'{name}{{{labels},quantile="{quantile}"}} {value:.6f}'
        yield f'{name}_count{{{labels}}} {int(sketch.count)}'


def _make_statsd_client(address: str, prefix: str) -> statsd.StatsClient | None:
    if not address:
        return None
    host, _, port = address.rpartition(':')
    return statsd.StatsClient(host, int(port), prefix=prefix)
