"""Counters and histograms, for each customer and class.

Counters go to statsd as they change. Histograms are DDSketches (relative
error 2%), which merge over routers without loss; operators fetch them over
HTTP. Names are listed in docs/operators/metrics.md.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

import statsd
from ddsketch import DDSketch
from ddsketch.pb.proto import DDSketchProto

__all__ = ('Measure', 'Series', 'Metrics', 'render_metrics')

RELATIVE_ERROR = 0.02
MAX_SERIES = 2000
QUANTILES = (0.5, 0.95, 0.99)
# Takes the place of the customer when there are too many series.
OTHER_CUSTOMERS = '(others)'


class Measure(Enum):
    """What a histogram holds, in seconds."""

    first_token = 'first_token'
    between_tokens = 'between_tokens'
    whole_answer = 'whole_answer'


@dataclass(frozen=True)
class Series:
    """The identity of one histogram."""

    customer: str
    priority_class: str
    measure: Measure


class Metrics:
    """This router's counters and histograms."""

    def __init__(self, statsd_address: str, prefix: str) -> None:
        self.counters: Counter[str] = Counter()
        self._sketches: dict[Series, DDSketch] = {}
        self._statsd = _make_client(statsd_address, prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Report a present value to statsd."""
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def sketch(self, series: Series) -> DDSketch:
        """Return the histogram of a series; add values to it in seconds."""
        found = self._sketches.get(series)
        if found is not None:
            return found
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

    def encoded_sketches(self) -> Iterator[tuple[Series, bytes]]:
        """Yield each histogram in DDSketch's protobuf encoding."""
        for series, sketch in self._sketches.items():
            yield series, DDSketchProto.to_proto(sketch).SerializeToString()


def render_metrics(metrics: Metrics) -> Iterator[str]:
    """Yield lines of text: counters, then quantiles of each histogram."""
    for name, count in sorted(metrics.counters.items()):
        yield f'peridotwell_total{{name="{name}"}} {count}'
    for series, sketch in metrics.sketches().items():
        labels = f'customer="{series.customer}",class="{series.priority_class}"'
        name = f'peridotwell_{series.measure.value}_seconds'
        for quantile in QUANTILES:
            value = sketch.get_quantile_value(quantile) or 0
            yield f'{name}{{{labels},quantile="{quantile}"}} {value:.6f}'
        yield f'{name}_count{{{labels}}} {int(sketch.count)}'


def _make_client(address: str, prefix: str) -> statsd.StatsClient | None:
    if not address:
        return None
    host, _, port = address.rpartition(':')
    return statsd.StatsClient(host, int(port), prefix=prefix)
