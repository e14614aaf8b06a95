"""The checks of what targets say of themselves report violations."""

from types import SimpleNamespace

import pytest

from tests.soak.notices import NoticeChecker

TARGET = 't0 start 1'


@pytest.fixture
def router():
    return SimpleNamespace(
        name='r0', process=SimpleNamespace(pid=1), disturbed_at=-10
    )


@pytest.fixture
def checker():
    return NoticeChecker([])


def send(checker, router, request_id, now):
    checker.record_sent(request_id, router, now)
    checker.record_arrival(request_id, TARGET, now + 0.1)


def tell_leaving(checker, router):
    checker.record_sent('q0', router, 0)
    checker.say_leaving('q0', 's', TARGET)
    checker.record_answer('q0', 's', 0)


def test_request_to_a_target_long_after_it_said_it_leaves(checker, router):
    tell_leaving(checker, router)
    send(checker, router, 'q1', 1.9)
    assert not checker._violations
    send(checker, router, 'q2', 2.1)
    assert 'leaves' in checker._violations[0]


def test_router_that_was_not_told_or_was_disturbed_is_excused(checker, router):
    checker.record_sent('q0', router, 0)
    checker.say_leaving('q0', 's', TARGET)
    send(checker, router, 'q1', 9)
    checker.record_answer('q0', 's', 9)
    router.disturbed_at = 10
    send(checker, router, 'q2', 15)
    assert not checker._violations


def test_third_request_within_a_pause(checker, router):
    checker.record_sent('q0', router, 0)
    checker.say_pause('q0', TARGET, 3, 0)
    for number, now in enumerate((0.3, 0.6, 1, 3.1)):
        send(checker, router, f'q{number + 1}', now)
    assert not checker._violations
    send(checker, router, 'q9', 2)
    assert 'pause' in checker._violations[0]
