"""Tests of ejection, silence detection and load estimates of targets."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.health.outlier_ejection import OutlierEjection
from peridotwell.policy.health.silence import SilenceDetector
from peridotwell.policy.load.target_load import LoadReport, TargetLoad

TARGETS = [
    Target(f't{number}', '10.0.0.1:80', TargetKind.service, Pool('a', 's'))
    for number in range(4)
]


def names(targets):
    return [target.name for target in targets]


def test_two_consecutive_failures_eject_a_target_one_does_not():
    ejection = OutlierEjection()
    assert not ejection.record_failure('t0', 0)
    assert ejection.record_failure('t0', 0)
    assert names(ejection.usable_targets(TARGETS, 0)) == ['t1', 't2', 't3']


def test_a_success_resets_the_count_of_failures():
    ejection = OutlierEjection()
    ejection.record_failure('t0', 0)
    ejection.record_success('t0')
    assert not ejection.record_failure('t0', 0)


def test_a_target_returns_and_is_ejected_longer_each_time():
    ejection = OutlierEjection()
    ejection.record_failure('t0', 0, is_unreachable=True)
    assert ejection.is_ejected('t0', 0.9)
    assert not ejection.is_ejected('t0', 1.1)
    ejection.record_failure('t0', 2, is_unreachable=True)
    assert ejection.is_ejected('t0', 3.9)
    assert not ejection.is_ejected('t0', 4.1)


def record_responses(ejection, name, pattern, now):
    """Record responses: `x` is an error of the target, `.` a success."""
    for step in pattern:
        if step == 'x':
            ejection.record_error_response(name, now)
        else:
            ejection.record_success(name)


def test_a_target_that_fails_part_of_its_requests_is_ejected():
    """Its health check passes, and most of its responses are good."""
    ejection = OutlierEjection()
    record_responses(ejection, 't0', '..x..xx', 0)
    assert names(ejection.usable_targets(TARGETS, 0)) == ['t1', 't2', 't3']


def test_error_ejection_grows_until_the_target_recovers():
    ejection = OutlierEjection()
    record_responses(ejection, 't0', 'xx', 0)
    assert not ejection.is_ejected('t0', 1.1)
    record_responses(ejection, 't0', '.x', 2)
    assert ejection.is_ejected('t0', 3.9)
    record_responses(ejection, 't0', '.' * 20, 5)
    record_responses(ejection, 't0', 'xx', 6)
    assert not ejection.is_ejected('t0', 7.1)


def test_a_few_requests_that_fail_on_all_targets_eject_none():
    ejection = OutlierEjection()
    for target in TARGETS:
        record_responses(ejection, target.name, '.........x' * 5, 0)
    assert ejection.usable_targets(TARGETS, 0) == TARGETS


def test_no_target_is_ejected_if_many_fail_part_of_their_requests():
    """Moving requests to other targets would only waste cached prompts."""
    ejection = OutlierEjection()
    for target in TARGETS[:2]:
        record_responses(ejection, target.name, 'xxx', 0)
    assert ejection.usable_targets(TARGETS, 0) == TARGETS


def test_at_most_half_of_a_service_is_ejected():
    """Targets that fail part of their requests still serve the rest."""
    ejection = OutlierEjection()
    for target in TARGETS[:3]:
        ejection.record_failure(target.name, 0)
        ejection.record_failure(target.name, 0)
    assert ejection.usable_targets(TARGETS, 0) == TARGETS


def test_only_reachable_targets_are_used():
    """Two of three data centres are unreachable and get no connections."""
    ejection = OutlierEjection()
    for target in TARGETS[:3]:
        ejection.record_failure(target.name, 0, is_unreachable=True)
    assert names(ejection.usable_targets(TARGETS, 0)) == ['t3']


# Guards against a cut path that looked whole because a request on it was left.
def test_silence_does_not_end_that_a_target_is_unreachable():
    ejection = OutlierEjection()
    ejection.record_failure('t0', 0, is_unreachable=True)
    ejection.record_failure('t0', 0)
    assert ejection.unreachable_targets() == {'t0'}
    ejection.record_error_response('t0', 1)
    assert not ejection.unreachable_targets()


def test_all_targets_are_used_if_none_is_reachable():
    ejection = OutlierEjection()
    for target in TARGETS:
        ejection.record_failure(target.name, 0, is_unreachable=True)
    assert ejection.usable_targets(TARGETS, 0) == TARGETS


@pytest.mark.parametrize(('now', 'silent'), [(0.5, False), (0.9, True)])
def test_a_target_with_requests_that_sends_no_data_is_silent(now, silent):
    silence = SilenceDetector()
    silence.record_request('t0', 0)
    assert silence.is_silent('t0', now) is silent


def test_any_byte_ends_the_silence():
    silence = SilenceDetector()
    silence.record_request('t0', 0)
    silence.record_activity('t0', 2)
    assert not silence.is_silent('t0', 2.1)


def test_an_idle_target_is_not_silent():
    silence = SilenceDetector()
    silence.record_request('t0', 0)
    silence.record_end('t0')
    assert not silence.is_silent('t0', 10)
    silence.record_request('t0', 10)
    assert not silence.is_silent('t0', 10.5)


def test_load_is_the_larger_of_counts_and_report():
    load = TargetLoad()
    load.record_start()
    assert load.estimate(0, other_requests=3) == 4
    load.record_report(LoadReport(running=7, waiting=2, received_at=0))
    assert load.estimate(0.1, other_requests=3) == 9


def test_a_report_is_corrected_by_requests_sent_since():
    load = TargetLoad()
    load.record_report(LoadReport(running=7, waiting=0, received_at=0))
    load.record_start()
    load.record_start()
    assert load.estimate(0.1, other_requests=0) == 9


def test_an_old_report_is_ignored():
    load = TargetLoad()
    load.record_report(LoadReport(running=7, waiting=0, received_at=0))
    assert load.estimate(5, other_requests=1) == 1


def test_an_unreachable_target_is_probed_when_its_ejection_ends():
    ejection = OutlierEjection()
    ejection.record_failure('t0', 0, is_unreachable=True)
    assert not ejection.to_probe(0.9)
    assert ejection.to_probe(1.1) == ('t0',)
    assert names(ejection.reachable_targets(TARGETS, 1.1)) == ['t1', 't2', 't3']
    assert ejection.record_reachable('t0')
    assert not ejection.record_reachable('t0')
    assert ejection.reachable_targets(TARGETS, 1.1) == list(TARGETS)
    assert not ejection.to_probe(9)


# Guards against a target that nothing tries again if its probe does not report.
def test_an_unreachable_target_is_used_if_no_probe_reports():
    ejection = OutlierEjection()
    ejection.record_failure('t0', 0, is_unreachable=True)
    assert ejection.reachable_targets(TARGETS, 2.1) == list(TARGETS)


def test_an_unreachable_target_is_probed_after_two_seconds_at_most():
    ejection = OutlierEjection()
    for now in (0, 10, 20, 30):
        ejection.record_failure('t0', now, is_unreachable=True)
        assert ejection.to_probe(now + 2.01) == ('t0',)
