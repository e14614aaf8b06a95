"""The memory of a process for responses of targets, and their turns."""

from functools import partial

import httpcore

from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.policy.room.buffer_budget import (
    BudgetObserver,
    BufferBudget,
    BufferShare,
    buffer_bytes,
)
from peridotwell.serving.fair_turns import FairTurns

__all__ = ('BudgetRecorder', 'ResponseBuffers')


class BudgetRecorder(BudgetObserver):
    """Counts and logs the responses that are ended for their memory."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_ended(self, group: str, held_bytes: int) -> None:
        """Record that a response was ended."""
        event = 'response.over_budget' if group else 'caller.over_budget'
        self._metrics.count(event)
        log_failure(event, target=group, held_bytes=held_bytes)


class ResponseBuffers:
    """What the responses of all targets share in a process.

    `memory_bytes` is the memory of the machine, 0 if unknown.
    """

    def __init__(
        self, memory_bytes: int = 0, observer: BudgetObserver | None = None
    ) -> None:
        self.turns = FairTurns()
        self._budget = BufferBudget(buffer_bytes(memory_bytes), observer)

    def open_share(self, resp: httpcore.Response, group: str) -> BufferShare:
        """Return a share for a response; it is ended by its connection."""
        return self._budget.open(group, partial(_close, resp))


def _close(resp: httpcore.Response) -> None:
    """Close the connection of a response, so that its read ends at once."""
    connection = resp.extensions.get('network_stream')
    if connection is not None:
        connection.get_extra_info('socket').close()
