"""Spans of time in which one process of a target served at its address.

Evidence of one process counts for no other: what came from a target came from
the process that serves now only if one span covers both.
"""

import math
from dataclasses import dataclass

from peridotwell.policy.evidence.process_evidence import ResponseTimes

__all__ = ('ProcessSpan', 'ProcessSpans', 'add_lost')

# The ends of a process's connections may arrive so far apart after a cut.
MAX_SKEW_SECONDS = 3.0
# A response of which parts come so much later is of a process that lives.
OUTLIVE_SECONDS = 0.3


@dataclass(frozen=True)
class ProcessSpan:
    """That one process has served at least since a time.

    `lost_at` is when it was seen that no connection to it stands any more.
    """

    since: float
    lost_at: float = math.inf


@dataclass(frozen=True)
class ProcessSpans:
    """The span of the process that serves, if it is known, and earlier ones."""

    serving: ProcessSpan | None = None
    lost: tuple[ProcessSpan, ...] = ()

    def is_same(self, seen_at: float) -> bool:
        """Return whether what came at a time came from what serves now."""
        return self.serving is not None and self.serving.since <= seen_at

    def has_ended(
        self, times: ResponseTimes, last_at: float, now: float
    ) -> bool:
        """Return whether a response came from a process that has ended.

        Its last part came at `last_at`. A response may arrive, or be read, once
        the next process serves: when its request was sent counts. Targets also
        close connections that nobody uses: if all have ended long ago, or parts
        have come since, that says nothing of a response that ends now.
        """
        return not self.is_same(times.sent_at) and any(
            span.since <= times.seen_at
            and times.sent_at < span.lost_at
            and last_at - span.lost_at < OUTLIVE_SECONDS
            and now - span.lost_at <= MAX_SKEW_SECONDS
            for span in self.lost
        )


def add_lost(
    lost: tuple[ProcessSpan, ...], span: ProcessSpan
) -> tuple[ProcessSpan, ...]:
    """Return the spans of processes that ended, without the old ones."""
    recent = (
        known
        for known in lost
        if span.lost_at - known.lost_at <= MAX_SKEW_SECONDS
    )
    return (*recent, span)
