"""How the last target of a stream ended it, and whether that is its end."""

from peridotwell.domain.target import Target
from peridotwell.errors import RequestError, RunState
from peridotwell.forwarding.handover.handover_protocol import origin_of
from peridotwell.forwarding.streams.end_recorder import EndRecorder
from peridotwell.forwarding.streams.stream_log import CUT, RestAsked
from peridotwell.policy.evidence.end_verdict import EndVerdict
from peridotwell.policy.evidence.process_evidence import NO_EVIDENCE
from peridotwell.serving.target_response import (
    ResponseOrigin,
    TargetResponse,
)

__all__ = ('StreamBroken', 'StreamEnding')


class StreamBroken(RequestError):
    """A stream broke off after the caller had received its beginning.

    The connection is closed without the end of the body, so that the caller
    does not take the stream for complete.
    """

    code = 'stream_broken'
    status = 502
    default_run_state = RunState.unknown


class StreamEnding:
    """The end that came last, and what is known of it.

    `origin` is how the response of the last target came, `target_end` what
    marked its end. `rest` tells whether the rest was asked for, `verdict` how
    an end was judged that nobody checked.
    """

    def __init__(self, ends: EndRecorder) -> None:
        self.origin: ResponseOrigin | None = None
        self.target_end = CUT
        self.rest = RestAsked.no_doubt
        self.verdict: EndVerdict | None = None
        self._ends = ends
        # Of the last events that came to their end. A response that failed
        # since then tells nothing of that end.
        self._end_origin: ResponseOrigin | None = None
        self._target: Target | None = None
        self._process = NO_EVIDENCE

    @property
    def is_marked(self) -> bool:
        """Whether the end has a mark."""
        return self._end_origin is None or self._end_origin.is_end_marked

    @property
    def are_marks_usual(self) -> bool:
        """Whether nearly all whole streams of the service have marked ends."""
        return self._ends.are_marks_usual

    def begin(
        self, response: TargetResponse, *, is_handover: bool
    ) -> ResponseOrigin:
        """Record that a response has begun, and return how it came."""
        self.origin = origin_of(response, is_handover=is_handover)
        return self.origin

    def begin_events(self) -> None:
        """Record that the end of the events of a response is still to come."""
        self.target_end = CUT

    def record(self, response: TargetResponse, target: Target) -> None:
        """Record that the events of a response have come to their end."""
        self._end_origin = self.origin or response.origin
        self.target_end = self._end_origin.body_end.value
        self._target = target
        self._process = response.process

    def record_mark(self) -> None:
        """Record the mark of the end, if it has one."""
        if self._target is None or self._end_origin is None:
            return
        if self._end_origin.is_end_marked:
            self._ends.record(self._target.name, self._end_origin.body_end)

    def record_check(
        self, target: Target | None, now: float, *, is_whole: bool
    ) -> None:
        """Record whether another target has told that the stream is whole.

        One that may be cut itself tells nothing by sending no rest.
        """
        if is_whole and self._ends.may_be_cut(self.origin):
            return
        if target is None:
            return
        self._ends.record_check(target.name, is_whole=is_whole)
        if not is_whole:
            self._ends.record_early_end(target, now)

    def check(
        self, now: float, *, is_passed_end_marked: bool, is_elsewhere: bool
    ) -> None:
        """Raise StreamBroken at an end that may be a break.

        With `is_elsewhere`, another router has judged it.
        """
        if self.is_marked:
            return
        if is_passed_end_marked:
            raise StreamBroken(
                'The stream ended without a mark, and may go on.'
            )
        is_checked = self.rest is RestAsked.no_rest
        if is_checked or is_elsewhere or self._target is None:
            return
        self.verdict = self._ends.judge(self._target, self._process, now)
        if not self.verdict.is_whole:
            raise StreamBroken(
                'The stream ended without a mark, unlike others of the '
                f'target, and may go on ({self.verdict.value}).'
            )
