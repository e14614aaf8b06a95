"""Tests of the signs that targets have started again."""

from dataclasses import replace

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.versions.restart_signs import RestartSigns

TARGET = Target(
    't1', '127.0.0.1:9', TargetKind.service, Pool('a', 's'), software='v1'
)
FOUND_AT = 5.0


def may_have_restarted(signs, known_until, target=TARGET, *, is_away=False):
    return signs.may_have_restarted(target, known_until, is_store_away=is_away)


@pytest.fixture
def signs():
    signs = RestartSigns()
    signs.record_end(TARGET, is_certain=True)
    return signs


# Guards against an entry that counts again because the store was asked before
# the next process was there.
def test_an_entry_counts_once_it_holds_later_than_a_process_was_found(signs):
    assert may_have_restarted(signs, FOUND_AT + 1)
    assert signs.record_found(TARGET, FOUND_AT)
    assert not signs.record_found(TARGET, FOUND_AT + 1)
    assert may_have_restarted(signs, FOUND_AT)
    assert not may_have_restarted(signs, FOUND_AT + 0.1)


# Guards against a doubt of the entry that the next process has written.
def test_the_entry_of_another_start_counts_at_once(signs):
    for changed in ({'software': 'v2'}, {'incarnation': '2'}):
        assert not may_have_restarted(signs, 0, replace(TARGET, **changed))


# Guards against streams that are refused after one broken connection while
# nobody can tell whether its target has restarted.
def test_one_broken_connection_counts_while_the_store_can_tell():
    signs = RestartSigns()
    signs.record_end(TARGET, is_certain=False)
    assert may_have_restarted(signs, 0)
    assert not may_have_restarted(signs, 0, is_away=True)
    signs.record_same(TARGET)
    assert not may_have_restarted(signs, 0)


# Guards against a weaker sign, or an older connection, that takes a certain
# sign back.
def test_a_certain_sign_stays(signs):
    signs.record_end(TARGET, is_certain=False)
    signs.record_same(TARGET)
    assert may_have_restarted(signs, 0, is_away=True)
    signs.keep_only(())
    assert not may_have_restarted(signs, 0)
