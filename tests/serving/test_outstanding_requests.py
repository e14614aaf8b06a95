"""Tests of the requests that are outstanding at each target, and their logs."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.metrics import Metrics
from peridotwell.serving import outstanding_requests, request_recall
from peridotwell.serving.outstanding_requests import OutstandingRequests
from peridotwell.serving.request_recall import (
    RequestRecall,
    TargetStanding,
    TargetStandings,
)

TARGET = Target('t', '127.0.0.1:1', TargetKind.service, Pool('a', 's'))


class FixedStandings(TargetStandings):
    """All targets have the same standing."""

    def __init__(self):
        self.now = TargetStanding.listed

    def standing(self, target):
        return self.now

    def status_path(self, target):
        return '/'


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that are logged, as names with fields."""
    logged = []

    def log(name, **fields):
        logged.append((name, fields))

    for module in (outstanding_requests, request_recall):
        monkeypatch.setattr(module, 'log_event', log)
    return logged


def make_recall(outstanding):
    standings = FixedStandings()
    metrics = Metrics('', 'test')
    return standings, RequestRecall(outstanding, standings, metrics)


async def test_a_leaving_target_has_lines_of_its_outstanding_requests(lines):
    outstanding = OutstandingRequests()
    standings, recall = make_recall(outstanding)
    with (
        outstanding.track(TARGET, 'r1', 'book'),
        outstanding.track(TARGET, 'r2', 'ask', 2) as second,
    ):
        second.record_sent(1.0)
        outstanding.record_sign(TARGET, 1.2)
        (requests,) = outstanding.all_targets()
        assert not recall.has_just_left(requests, 3.0)
        standings.now = TargetStanding.left
        assert recall.has_just_left(requests, 3.0)
        assert not recall.has_just_left(requests, 3.1)
    names = [name for name, _ in lines]
    assert names == [
        'target.leaving.outstanding',
        'attempt.at_left_target',
        'attempt.at_left_target',
        'target.leaving.ended',
    ]
    leaving, ended = lines[0][1], lines[1][1]
    assert leaving['target'] == 't'
    assert leaving['outstanding'] == 2
    assert leaving['unread'] == 1
    assert leaving['kinds'] == 'ask:1,book:1'
    assert leaving['silent'] == 1.8
    assert ended['request'] == 'r2'
    assert ended['sign_since_sent']
    assert not ended['begun']


async def test_requests_at_targets_that_stay_have_no_lines(lines):
    outstanding = OutstandingRequests()
    _, recall = make_recall(outstanding)
    with outstanding.track(TARGET, 'r1', 'book'):
        (requests,) = outstanding.all_targets()
        recall.has_just_left(requests, 1.0)
    assert not lines
    assert not outstanding.all_targets()
