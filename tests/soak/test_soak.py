"""A short soak run for CI, including every seed that has found a fault."""

from dataclasses import replace

import pytest
import trio

from tests.soak.burst_faults import BURST_FAULTS
from tests.soak.leaving_faults import LEAVING_FAULTS
from tests.soak.out_of_step import OUT_OF_STEP
from tests.soak.run import soak
from tests.soak.site import DAY, FIELD

FAULT_SECONDS = 8
BUSY_SECONDS = 12
# Pairs of a seed and the fault that it found.
REGRESSIONS = (
    (6, 'a stream reached its deadline and was neither ended nor closed'),
    (3667, 'requests given up during a partition made a brittle target fall'),
)
# Groups of faults to leave out: bounds of time bind routers in touch only.
CALM = (('store',), ('store', 'routers', 'paths'))
# A run without faults of stores and routers shows nothing if it binds fewer.
MIN_BOUND_SHARE = 0.25
# Callers that use up the processor of each router.
MANY_CALLERS = 300
# Of a day: what a store may do at any time, but for watches that it leaves
# without an answer (issue 62), and series of changes.
DAY_PARTS = (
    'storm',
    'big_table',
    'alterations',
    'half_answer',
    'silent_watches',
    'slow_wake',
    'cut_watches',
    'slow_link',
    'turn_away',
    'forget',
)
DAY_SECONDS = 12
# Of a day: versions in all ways in which an operator may write them.
SHAPES_PARTS = ('two_at_once', 'late_write', 'repeat', 'big_table')
SHAPES_SECONDS = 8
# Faults of targets alone.
ONLY_TARGETS = ('store', 'routers', 'paths', 'brittle')
TARGETS_SECONDS = 8
OUT_OF_STEP_SECONDS = 10
ONLY_CHANGES = ('store', 'routers', 'paths', 'brittle', 'field')


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


# Guards against changes that are in force too late, and requests at targets
# that have left, at routers that are short of processor time and else calm.
def test_busy_routers_act_on_changes_in_time(tmp_path):
    site = replace(FIELD, callers=MANY_CALLERS)
    report = trio.run(
        soak, 11, BUSY_SECONDS, tmp_path, 2, 8, ONLY_CHANGES, site
    )
    assert not report.violations, report
    assert report.outcomes['probe 200'] > 0
    assert report.bound_share >= MIN_BOUND_SHARE, report


def test_guarantees_hold_under_faults_of_the_field(tmp_path):
    report = trio.run(soak, 5951, FAULT_SECONDS, tmp_path, 5, 9, (), FIELD)
    assert not report.violations, report
    assert report.outcomes['book 200'] > 0


# Guards against additions that are in force too late (issue 62).
def test_guarantees_hold_on_a_day_full_of_changes(tmp_path):
    report = trio.run(
        soak, 6262, DAY_SECONDS, tmp_path, 4, 6, CALM[1], DAY, DAY_PARTS
    )
    assert not report.violations, report
    assert report.outcomes['probe 200'] > 0
    assert report.bound_share >= MIN_BOUND_SHARE, report


# Guards against acknowledged versions that no router takes: an older one is
# executed after them, or one entry has an unusual shape (issue 65).
def test_guarantees_hold_on_a_day_of_versions_of_all_shapes(tmp_path):
    site = replace(DAY, shapes=65)
    report = trio.run(
        soak, 65, SHAPES_SECONDS, tmp_path, 3, 6, CALM[1], site, SHAPES_PARTS
    )
    assert not report.violations, report
    assert report.outcomes['probe 200'] > 0
    assert report.bound_share >= MIN_BOUND_SHARE, report


# Guards against requests that are left at targets which stand still and leave:
# they run when the target goes on (issue 68).
def test_guarantees_hold_when_targets_stand_still_and_leave(tmp_path):
    site = replace(DAY, callers=4)
    report = trio.run(
        soak,
        6805,
        TARGETS_SECONDS,
        tmp_path,
        3,
        8,
        ONLY_TARGETS,
        site,
        LEAVING_FAULTS,
    )
    assert not report.violations, report
    assert report.outcomes['book 200'] > 0


# Guards against streams that look whole though their target ended them early,
# or left out an event (issue 71), and against events that come twice (68).
def test_guarantees_hold_when_targets_end_streams_early(tmp_path):
    site = replace(DAY, callers=4)
    report = trio.run(
        soak,
        6811,
        TARGETS_SECONDS,
        tmp_path,
        3,
        6,
        ONLY_TARGETS,
        site,
        ('odd_answers', *BURST_FAULTS),
    )
    assert not report.violations, report
    assert report.outcomes['draft 200'] > 0


# Guards against streams of two versions at routers that are cut off, a data
# centre together, while a target of a new version joins (issue 78).
def test_guarantees_hold_when_routers_are_out_of_step(tmp_path):
    report = trio.run(
        soak,
        7807,
        OUT_OF_STEP_SECONDS,
        tmp_path,
        6,
        6,
        ONLY_TARGETS,
        replace(DAY, callers=2),
        (OUT_OF_STEP,),
    )
    assert not report.violations, report
    assert report.outcomes['ask 200'] > 0
