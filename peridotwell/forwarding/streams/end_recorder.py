"""Records how responses of one kind end, and logs what that changes."""

from peridotwell.domain.target import Target
from peridotwell.logs import log_failure
from peridotwell.policy.evidence.early_ends import EarlyEnds
from peridotwell.policy.evidence.end_marks import EndCounts, EndGroup, EndMarks
from peridotwell.policy.evidence.end_verdict import EndEvidence, EndVerdict
from peridotwell.policy.evidence.process_evidence import ProcessEvidence
from peridotwell.serving.target_response import BodyEnd, ResponseOrigin

__all__ = ('EndRecorder',)


class EndRecorder:
    """What is known of the ends of a service's streams, or of its others."""

    def __init__(
        self,
        end_marks: EndMarks,
        service: str,
        *,
        is_stream: bool,
        early_ends: EarlyEnds | None = None,
    ) -> None:
        self._end_marks = end_marks
        self._early_ends = early_ends or EarlyEnds()
        self._group = EndGroup(service, is_stream)

    @property
    def are_marks_usual(self) -> bool:
        """Whether nearly all whole responses have marked ends."""
        return self._end_marks.are_usual(self._group)

    def may_be_cut(self, origin: ResponseOrigin | None) -> bool:
        """Whether a response has no marked end, unlike most others."""
        if origin is None or origin.body_end is not BodyEnd.connection:
            return False
        return self._end_marks.are_marked(self._group)

    def record(self, target: str, body_end: BodyEnd) -> None:
        """Record whether the end of a body was marked, if there was one."""
        if body_end is BodyEnd.none:
            return
        if body_end is BodyEnd.connection:
            self._end_marks.record_unmarked(self._group, target)
            return
        counts = self._end_marks.record_marked(self._group, target)
        self._log_change('ends.marks_usual', counts)

    def record_check(self, target: str, *, is_whole: bool) -> None:
        """Record whether a response without a marked end was whole."""
        counts = self._end_marks.record_checked(
            self._group, target, is_whole=is_whole
        )
        self._log_change('ends.marks_unusual', counts)

    def record_early_end(self, target: Target, now: float) -> None:
        """Record that another target has sent what a stream lacked."""
        if self._early_ends.record(target, now):
            log_failure(
                'target.ends_early',
                target=target.name,
                incarnation=target.incarnation,
            )

    def judge(
        self, target: Target, process: ProcessEvidence, now: float
    ) -> EndVerdict:
        """Record an end without a mark that nobody checks.

        Returns whether it is whole, by what was known before.
        """
        evidence = EndEvidence(
            process,
            is_habit=self._end_marks.is_believed(self._group, target.name),
            has_early_ends=self._early_ends.are_recent(target, now),
        )
        self._end_marks.record_unmarked(self._group, target.name)
        return evidence.verdict()

    def _log_change(self, event: str, counts: EndCounts | None) -> None:
        if counts is not None:
            log_failure(
                event,
                service=self._group.service,
                streams=self._group.is_stream,
                marked=counts.marked,
                unmarked=counts.unmarked,
            )
