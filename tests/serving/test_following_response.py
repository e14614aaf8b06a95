"""Further responses in bodies that end with their connections."""

import time

import pytest

from peridotwell.attempt_errors import ResponseMismatch
from peridotwell.serving.following_response import FollowingResponse

SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Id: a\r\n\r\nbody'
PART_BYTES = 65_536
# Of a search that does not grow with the square of the part: about 0.01 s.
MAX_SEARCH_SECONDS = 0.5


def search(*parts, earlier_ids=()):
    following = FollowingResponse(earlier_ids)
    for part in parts:
        following.add(part)
    following.finish()


# Guards against a second response that is taken for the rest of the first one.
@pytest.mark.parametrize('body', [b'', b'{"a": 1}', b'data: x\n\n'])
@pytest.mark.parametrize('end', [25, 45, len(SECOND)])
def test_a_further_response_is_found(body, end):
    content = body + SECOND[:end]
    with pytest.raises(ResponseMismatch):
        search(content)
    with pytest.raises(ResponseMismatch):
        search(*(bytes([each]) for each in content))


# Guards against heads that are not found because their first fields are long.
def test_a_further_response_with_long_fields_is_found():
    fields = b'a: %b\r\n' % (b'x' * 1000)
    head = SECOND.replace(b'Content-Length', fields * 3 + b'Content-Length')
    with pytest.raises(ResponseMismatch):
        search(b'x' * 9000, head[:1500], head[1500:])


@pytest.mark.parametrize(
    'body',
    [
        b'spoken over HTTP/1.1 200',
        b'HTTP/1.1 200 OK\n\nis an example',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nis an example',
        b'data: HTTP/1.1 200 OK\r\ndata: a\r\n\r\n',
        b'x-request-id: a\r\n',
    ],
)
def test_a_body_that_speaks_of_responses_is_sound(body):
    search(body)
    search(*(bytes([each]) for each in body))


# Guards against a late response to an earlier request that comes amid a body.
def test_the_response_to_an_earlier_request_is_found_in_a_body():
    content = b'first half' + SECOND + b'second half'
    with pytest.raises(ResponseMismatch):
        search(content, earlier_ids=('z', 'a'))
    with pytest.raises(ResponseMismatch):
        search(*(bytes([each]) for each in content), earlier_ids=('z', 'a'))


def test_another_response_is_the_content_of_a_body_with_a_length():
    search(SECOND, earlier_ids=('b',))
    search(SECOND[:30], earlier_ids=('z', 'a'))


# Guards against a body that keeps a router from all its other requests: each
# status line in it was followed to the end of the part.
@pytest.mark.parametrize('earlier_ids', [(), ('z',)])
@pytest.mark.parametrize('line', [b'HTTP/1.1 200 ', b'a:HTTP/1.1 200 \r\n'])
def test_a_body_of_status_lines_is_searched_fast(line, earlier_ids):
    part = (line * PART_BYTES)[:PART_BYTES]
    following = FollowingResponse(earlier_ids)
    started_at = time.process_time()
    following.add(part)
    assert time.process_time() - started_at < MAX_SEARCH_SECONDS


# Guards against a response that is not found since what is like a status line
# comes right before it, or the response to another request.
@pytest.mark.parametrize(
    'before',
    [
        b'HTTP/1.1 200 ',
        b'HTTP/1.1 200 OK\r\nb: c\r\n',
        b'HTTP/1.1 200 OK\r\nb: c\n',
        SECOND.replace(b'Id: a', b'Id: b'),
    ],
)
def test_a_response_behind_what_is_like_one_is_found(before):
    with pytest.raises(ResponseMismatch):
        search(before + SECOND, earlier_ids=('z', 'a'))


# Guards against a part of a head amid a body with a length, wherever the length
# of the body ends: in the part, or behind it.
@pytest.mark.parametrize('end', [7, 12, 16, 25])
def test_a_part_of_a_head_with_the_rest_of_the_body_behind_is_found(end):
    content = b'first half' + SECOND[:17] + b'second half'
    following = FollowingResponse(('a',))
    following.add(content[: 10 + end])
    with pytest.raises(ResponseMismatch):
        following.finish(content[10 + end :])


# Guards against whole responses that are refused for what merely follows them.
@pytest.mark.parametrize('behind', [b'', SECOND, SECOND[:3], b'further bytes'])
def test_bytes_that_follow_a_whole_response_do_not_cost_it(behind):
    following = FollowingResponse(('a',))
    following.add(b'twelve bytes')
    following.finish(behind)


@pytest.mark.parametrize('behind', [b'', SECOND, SECOND[:3]])
def test_a_body_that_speaks_of_a_status_is_sound_before_a_response(behind):
    following = FollowingResponse(('a',))
    following.add(b'spoken over HTTP/1.1 200 OK')
    following.finish(behind)
