"""Tests of numbers in texts from outside."""

import pytest

from peridotwell.domain.counts import is_count


@pytest.mark.parametrize('text', ['0', '7', '007', '123456789012345678'])
def test_whole_numbers_are_counts(text):
    assert is_count(text)
    assert int(text) >= 0


# Guards against texts that look like numbers and cannot be converted.
@pytest.mark.parametrize('text', ['', '-1', '1.5', '²', '1²', '٣', '9' * 5000])
def test_other_texts_are_no_counts(text):
    assert not is_count(text)
