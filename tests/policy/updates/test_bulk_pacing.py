"""Tests of the pacing of large messages."""

from peridotwell.policy.updates.bulk_pacing import BulkPacer


def sent_bytes(pacer, size, seconds):
    """Return the bytes sent when a message is always waiting."""
    total = 0
    for step in range(int(seconds * 100)):
        now = step / 100
        if pacer.may_send(now):
            pacer.record_sent(size, now)
            total += size
    return total


def test_large_messages_use_three_tenths_of_the_link():
    for size in (3000, 20_000, 200_000):
        total = sent_bytes(BulkPacer(625_000), size, seconds=10)
        assert 0.28 * 6_250_000 <= total <= 0.33 * 6_250_000 + size


def test_a_link_of_unknown_rate_sets_no_limit():
    assert sent_bytes(BulkPacer(0), 1000, seconds=1) == 100_000


def test_an_idle_link_saves_up_no_more_than_a_burst():
    pacer = BulkPacer(1000)
    pacer.record_sent(10, 0)
    assert pacer.may_send(60)
    pacer.record_sent(300, 60)
    assert not pacer.may_send(60.5)
    assert pacer.may_send(61)
