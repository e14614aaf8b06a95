"""The check of rejections by brittle targets reports violations."""

from types import SimpleNamespace

from tests.soak.brittle import CONTACT_SECONDS, BrittleChecker


def reject(checker, router, times):
    for now in times:
        checker.record_sent(f'q{now}', router)
        checker.record_rejection(f'q{now}', 't0', 2, now)


def test_more_rejections_in_a_second_than_a_target_bears():
    checker = BrittleChecker([])
    reject(checker, SimpleNamespace(disturbed_at=-10), [0, 0.5, 1, 1.5])
    assert not checker._violations
    reject(checker, SimpleNamespace(disturbed_at=-10), [1.9])
    assert 't0 fell over: 3' in checker._violations[0]


def test_rejections_of_a_disturbed_router_are_excused():
    checker = BrittleChecker([])
    reject(checker, SimpleNamespace(disturbed_at=0), [0.1, 0.2, 0.3])
    assert not checker._violations
    begin = CONTACT_SECONDS
    reject(
        checker,
        SimpleNamespace(disturbed_at=0),
        [begin, begin + 0.1, begin + 0.2],
    )
    assert checker._violations
