"""Tests of what follows a complete response that may be cut."""

from types import SimpleNamespace

import pytest
import trio

from peridotwell.forwarding.answering.buffered_responses import (
    BufferedResponse,
    BufferedResponseForwarder,
)
from peridotwell.forwarding.sending.retries import RetryDecision
from peridotwell.policy.evidence.end_marks import EndGroup, EndMarks
from peridotwell.serving.target_response import BodyEnd, ResponseOrigin

CHOICE = SimpleNamespace(target=SimpleNamespace(name='t'), is_handover=False)


def response(body, body_end, status=200):
    origin = ResponseOrigin(body_end, 0)
    return BufferedResponse(status, (), body, CHOICE, origin)


CUT = response(b'cut', BodyEnd.connection)
WHOLE = response(b'whole', BodyEnd.length)
GROUP = EndGroup('svc', is_stream=False)
ERROR = response(b'error', BodyEnd.length, 500)


class ScriptedForwarder(BufferedResponseForwarder):
    """Gets these responses, one after the other."""

    def __init__(self, responses):
        super().__init__(SimpleNamespace(end_marks=EndMarks()), None, None)
        self.remaining = list(responses)

    async def _get(self, request, attempts):
        return self.remaining.pop(0)


# Guards against cut responses of several targets, one after the other.
@pytest.mark.parametrize(
    ('responses', 'runs', 'expected'),
    [
        ([WHOLE], 3, WHOLE),
        ([CUT, WHOLE], 3, WHOLE),
        ([CUT, CUT, WHOLE], 3, WHOLE),
        ([CUT, CUT, ERROR], 3, CUT),
        ([CUT, CUT, CUT], 3, CUT),
        ([CUT], 1, CUT),
    ],
)
async def test_targets_are_asked_while_attempts_last(responses, runs, expected):
    decisions = [RetryDecision.other_target] * (runs - 1)
    attempts = SimpleNamespace(
        after_run=lambda now: (
            decisions.pop() if decisions else RetryDecision.give_up
        )
    )
    request = SimpleNamespace(
        route=SimpleNamespace(may_repeat=True),
        service='svc',
        request_id='r',
        deadline_at=trio.current_time() + 1,
    )
    forwarder = ScriptedForwarder(responses)
    assert await forwarder.get(request, attempts) == expected
    assert not forwarder.remaining


class SendingForwarder(BufferedResponseForwarder):
    """Gets responses with these ends from its targets."""

    def record_ends(self, *body_ends):
        for body_end in body_ends:
            self._record_end('svc', 't', body_end)

    def record_whole_ends(self, count):
        for _ in range(count):
            self._record_check('svc', CUT, CUT)


# Guards against whole responses that are asked for again, because responses
# without a body count as ones whose bodies have a marked end.
def test_responses_without_a_body_do_not_make_marks_usual():
    end_marks = EndMarks()
    dispatcher = SimpleNamespace(end_marks=end_marks)
    forwarder = SendingForwarder(dispatcher, None, None)
    forwarder.record_whole_ends(50)
    assert not end_marks.are_usual(GROUP)
    forwarder.record_ends(*[BodyEnd.none] * 500)
    assert not end_marks.are_usual(GROUP)
    forwarder.record_ends(*[BodyEnd.chunks] * 500)
    assert end_marks.are_usual(GROUP)


# Guards against cut responses that end the asking for others like them.
@pytest.mark.parametrize(
    ('other', 'is_usual'),
    [(b'cut', False), (b'cut off', True), (b'something else', True)],
)
def test_only_whole_responses_make_unmarked_ends_usual(other, is_usual):
    end_marks = EndMarks()
    dispatcher = SimpleNamespace(end_marks=end_marks)
    forwarder = SendingForwarder(dispatcher, None, None)
    forwarder.record_ends(*[BodyEnd.connection] * 50)
    assert end_marks.are_usual(GROUP)
    for _ in range(50):
        forwarder._record_check('svc', CUT, response(other, BodyEnd.length))
    assert end_marks.are_usual(GROUP) is is_usual
