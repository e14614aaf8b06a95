"""A short soak run for CI, including every seed that has found a fault."""

import pytest
import trio

from tests.soak.run import soak

FAULT_SECONDS = 8
# Pairs of a seed and the fault that it found.
REGRESSIONS = (
    (6, 'a stream reached its deadline and was neither ended nor closed'),
    (3667, 'requests given up during a partition made a brittle target fall'),
)
# Groups of faults to leave out: bounds of time bind routers in touch only.
CALM = (('store',), ('store', 'routers', 'paths'))
# A run without faults of stores and routers shows nothing if it binds fewer.
MIN_BOUND_SHARE = 0.25


@pytest.mark.parametrize('seed', [2, *(seed for seed, _ in REGRESSIONS)])
def test_guarantees_hold_under_faults(seed, tmp_path):
    report = trio.run(soak, seed, FAULT_SECONDS, tmp_path)
    assert not report.violations, report
    assert report.outcomes['book 200'] > 0


@pytest.mark.parametrize('without', CALM)
def test_guarantees_hold_at_routers_in_touch(without, tmp_path):
    report = trio.run(soak, 1, FAULT_SECONDS, tmp_path, 3, 6, without)
    assert not report.violations, report
    assert report.outcomes['probe 200'] > 0
    if 'routers' in without:
        assert report.bound_share >= MIN_BOUND_SHARE, report
