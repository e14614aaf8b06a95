"""Which requests may lie unread at a target."""

import pytest

from peridotwell.policy.health.unread_requests import RequestProgress, is_read


@pytest.mark.parametrize(
    ('sent_at', 'last_sign_at', 'has_begun', 'expected'),
    [
        (None, None, False, True),
        (10.0, None, False, False),
        (10.0, None, True, True),
        (10.0, 9.0, False, False),
        # On its way, or in a queue, when the target sent data.
        (10.0, 10.1, False, False),
        (10.0, 10.6, False, True),
    ],
)
def test_a_request_is_read_if_data_came_well_after_it(
    sent_at, last_sign_at, has_begun, expected
):
    progress = RequestProgress(sent_at, last_sign_at, has_begun)
    assert is_read(progress) is expected
