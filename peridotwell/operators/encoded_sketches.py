"""Histograms as operators fetch them, in the DDSketch protobuf encoding."""

from collections.abc import Iterator

from ddsketch.pb.proto import DDSketchProto

from peridotwell.metrics import Metrics, Series

__all__ = ('encoded_sketches',)


def encoded_sketches(metrics: Metrics) -> Iterator[tuple[Series, bytes]]:
    """Yield each histogram with its encoding."""
    for series, sketch in metrics.sketches().items():
        yield series, DDSketchProto.to_proto(sketch).SerializeToString()
