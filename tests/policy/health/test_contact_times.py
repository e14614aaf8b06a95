"""Tests of the times of the last data from targets."""

from peridotwell.policy.health.contact_times import RECENT_SECONDS, ContactTimes


def test_contact_is_recent_for_a_moment():
    contacts = ContactTimes()
    contacts.record('t0', 1)
    assert contacts.is_recent('t0', 1 + RECENT_SECONDS / 2)
    assert not contacts.is_recent('t0', 1 + 2 * RECENT_SECONDS)
    assert contacts.is_old('t0', 1 + 2 * RECENT_SECONDS)
    assert not contacts.is_recent('t1', 1)
    assert not contacts.is_old('t1', 1)


def test_targets_that_are_gone_are_forgotten():
    contacts = ContactTimes()
    contacts.record('t0', 1)
    contacts.record('t1', 1)
    contacts.keep_only(('t1',))
    assert not contacts.is_recent('t0', 1)
    assert contacts.is_recent('t1', 1)
