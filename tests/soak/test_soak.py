"""A short soak in CI, and every seed that ever failed."""

import pytest
import trio

from tests.soak.run import soak

SECONDS = 8
# Seed, and what it found.
REGRESSIONS = (
    (6, 'the end of a stream was lost at its deadline, its connection kept'),
)


@pytest.mark.parametrize('seed', [2, *(seed for seed, _ in REGRESSIONS)])
def test_promises_hold_under_faults(seed, tmp_path):
    violations, cluster, faults = trio.run(soak, seed, SECONDS, tmp_path)
    assert not violations, faults.played
    assert cluster.checker.outcomes['book 200'] > 0
