"""What an answer of a brittle target says of it."""

import pytest

from peridotwell.policy.brittle.brittleness import parse_max_rejections


@pytest.mark.parametrize(
    ('text', 'per_second'),
    [
        ('5', 5),
        ('0', 0),
        ('2.5', 2.5),
        ('', None),
        ('many', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
    ],
)
def test_numbers_are_read_from_their_text(text, per_second):
    assert parse_max_rejections(text) == per_second
