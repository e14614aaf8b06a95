"""Which request a response is for."""

import httpcore
import pytest

from peridotwell.attempt_errors import ResponseMismatch
from peridotwell.serving.response_ownership import ResponseOwnership


class Connection:
    """A connection to a target."""


def check(ownership, connection, request_id, response_id=None, **changes):
    """Check a response, by default one with the id of its request."""
    resp = httpcore.Response(200, extensions={'network_stream': connection})
    options = {'is_refusal': False, 'require_id': True, **changes}
    return ownership.check(
        resp,
        request_id,
        request_id if response_id is None else response_id,
        **options,
    )


# Guards against a copy of the response before, a success or a refusal, that is
# taken for the response to a request with the same id: the id of a request that
# ran on two connections at once is known of the first one only.
@pytest.mark.parametrize('is_refusal', [False, True])
def test_a_response_that_may_be_a_copy_is_a_mismatch(is_refusal):
    ownership = ResponseOwnership()
    first, second = Connection(), Connection()
    check(ownership, first, 'a')
    check(ownership, second, 'a')
    check(ownership, first, 'b')
    assert not ownership.was_last('a')
    with pytest.raises(ResponseMismatch, match='copy'):
        check(ownership, second, 'a', is_refusal=is_refusal)


def test_a_response_to_a_new_request_is_no_copy():
    ownership = ResponseOwnership()
    connection = Connection()
    ids = ('a', 'b', 'a')
    assert [check(ownership, connection, each) for each in ids] == [0, 1, 2]
    assert ownership.was_last('a')
    assert not ownership.was_last('b')


def test_a_response_without_an_id_is_no_copy_unless_it_is_a_refusal():
    ownership = ResponseOwnership()
    connection = Connection()
    check(ownership, connection, 'a', '', require_id=False)
    check(ownership, connection, 'a', '', require_id=False)
    with pytest.raises(ResponseMismatch, match='no request'):
        check(ownership, connection, 'a', '', is_refusal=True)
