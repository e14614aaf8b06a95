"""Tests of the blame for crashes of targets, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from peridotwell.policy.crashes.crash_blame import (
    RECORD_TTL_SECONDS,
    CrashBlame,
)
from peridotwell.policy.crashes.loss_records import MAX_LOSSES, Loss, LossRecord

BAD, HEAD, DOCUMENT, OTHER = range(4)
CONTACT_SECONDS = 3.0


def lose(blame, count, parts, start=0, now=0.0):
    """Lose `count` targets, each under a request of its own."""
    for number in range(start, start + count):
        blame.record_loss(100 + number, 200 + number, parts, now)


def test_part_is_blamed_that_all_losses_have_in_common():
    blame = CrashBlame()
    for number, other in enumerate((HEAD, DOCUMENT, OTHER)):
        lose(blame, 1, (BAD, other), number)
    assert blame.groups == (frozenset((BAD,)),)
    assert blame.blamed_group((HEAD, BAD, 9)) == {BAD}
    assert blame.blamed_group((HEAD, DOCUMENT)) is None


def test_in_a_tie_only_requests_with_all_tied_parts_are_refused():
    blame = CrashBlame()
    lose(blame, 3, (HEAD, BAD))
    assert blame.blamed_group((HEAD, BAD, OTHER)) == {HEAD, BAD}
    assert blame.blamed_group((HEAD, OTHER)) is None
    assert blame.blamed_group((BAD, OTHER)) is None


def test_one_more_loss_without_the_other_part_ends_a_tie():
    blame = CrashBlame()
    lose(blame, 3, (HEAD, BAD))
    lose(blame, 1, (BAD, OTHER), start=3)
    assert blame.groups == (frozenset((BAD,)),)


def test_answer_that_begins_on_a_tied_part_ends_a_tie():
    blame = CrashBlame()
    lose(blame, 3, (HEAD, BAD))
    assert [each.cause for each in blame.record_begin((HEAD,), 1)] == [HEAD]
    assert blame.groups == (frozenset((BAD,)),)


def test_repeats_of_one_request_blame_no_part():
    """They are refused by their whole content."""
    blame = CrashBlame()
    for incarnation in range(8):
        blame.record_loss(incarnation, 5, (HEAD, BAD), 0)
    assert not blame.groups


def test_many_requests_lost_with_one_target_blame_no_part():
    blame = CrashBlame()
    for content in range(64):
        blame.record_loss(1, content, (HEAD, BAD), 0)
    assert not blame.groups


def test_part_on_which_an_answer_began_recently_is_no_suspect():
    blame = CrashBlame()
    blame.record_begin((HEAD,), 0)
    lose(blame, 5, (HEAD,), now=1)
    assert not blame.groups
    lose(blame, 3, (HEAD,), start=5, now=3)
    assert blame.groups == (frozenset((HEAD,)),)


def test_sound_parts_under_less_losses_are_not_blamed():
    """A sound part waited on three of the targets that another part crashed."""
    blame = CrashBlame()
    lose(blame, 3, (BAD, HEAD))
    lose(blame, 3, (BAD, OTHER), start=3)
    for number in range(3):
        blame.record_loss(100 + number, 300 + number, (DOCUMENT,), 0)
    assert blame.groups == (frozenset((BAD,)),)


def test_two_parts_that_crash_targets_are_both_blamed():
    blame = CrashBlame()
    lose(blame, 4, (BAD, HEAD))
    lose(blame, 3, (OTHER,), start=4)
    blame.record_begin((HEAD,), 0)
    assert set(blame.groups) == {frozenset((BAD,)), frozenset((OTHER,))}


def test_answer_at_another_router_clears_a_part_there_and_here():
    one, other = CrashBlame(), CrashBlame()
    other.record_begin((HEAD,), 4.5)
    lose(one, 3, (HEAD,), now=5)
    cleared = other.merge(one.to_repeat(5), 5)
    assert [each.cause for each in cleared] == [HEAD]
    one.merge(cleared, 5)
    assert not one.groups
    assert not other.groups


def test_blame_expires_on_all_routers_and_is_not_renewed_by_repeats():
    one, other = CrashBlame(), CrashBlame()
    lose(one, 3, (BAD,))
    now = 0.0
    while now < RECORD_TTL_SECONDS + 5:
        now += 2
        other.merge(one.to_repeat(now), now + 0.5)
        one.merge(other.to_repeat(now), now + 0.5)
        for blame in (one, other):
            blame.expire(now)
        assert bool(one.groups) == (now < RECORD_TTL_SECONDS)
    assert not other.groups
    late = CrashBlame()
    late.merge(one.to_repeat(now), now)
    assert not late.groups


def test_router_that_learns_late_forgets_at_the_same_time():
    one, late = CrashBlame(), CrashBlame()
    lose(one, 3, (BAD,))
    late.merge(one.to_repeat(200), 1000)
    late.expire(1000 + RECORD_TTL_SECONDS - 201)
    assert late.groups
    late.expire(1000 + RECORD_TTL_SECONDS - 199)
    assert not late.groups


def test_records_are_bounded():
    blame = CrashBlame()
    for part in range(10_000):
        blame.record_loss(part, part, (part,), 0)
        blame.record_begin((20_000 + part,), 0)
    lose(blame, 100, (BAD,))
    records = list(blame.to_repeat(0))
    assert len(records) <= 2048
    assert max(len(each.losses) for each in records) == MAX_LOSSES


losses = st.builds(Loss, st.integers(0, 50), st.integers(0, 5))
records = st.builds(
    LossRecord,
    st.just(BAD),
    st.lists(losses, max_size=40, unique=True).map(
        lambda each: tuple(sorted(each)[:MAX_LOSSES])
    ),
    st.lists(st.integers(0, 50), max_size=20, unique=True).map(
        lambda each: tuple(sorted(each))
    ),
    st.floats(0, 300),
)


@given(records, records, records)
def test_records_merge_alike_in_any_order(one, other, third):
    merged = one.merge(other).merge(third)
    assert merged == third.merge(other).merge(one)
    assert merged == one.merge(other.merge(third))
    assert merged.merge(merged) == merged
    assert merged.merge(one) == merged


# Guards against a part that is never blamed, as each target that it crashes
# has many requests with it: their losses filled the record.
def test_part_under_many_requests_of_each_lost_target_is_blamed():
    blame = CrashBlame()
    for incarnation in range(3):
        for content in range(MAX_LOSSES):
            fingerprint = incarnation * MAX_LOSSES + content
            parts = (BAD, OTHER + fingerprint)
            blame.record_loss(100 + incarnation, fingerprint, parts, 0)
    assert blame.blamed_group((BAD,)) == {BAD}
