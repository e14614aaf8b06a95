"""Checks whether a target may still get a request once it is connected."""

import trio

from peridotwell.attempt_errors import TargetDoubted, TargetLeft
from peridotwell.domain.target import Target
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.forwarding.targets.restart_watch import RestartWatch
from peridotwell.forwarding.targets.target_standings import has_left
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.serving.outstanding_requests import OutstandingRequest

__all__ = ('SendCheck',)


class SendCheck:
    """Is called with a connection to a target, right before a request is sent.

    Raises TargetLeft if the target has left since it was chosen, or if its data
    centre was evacuated; TargetDoubted if a stream would go on at a target that
    may have another software version than its entry.
    """

    def __init__(
        self,
        tracker: TargetTracker,
        restarts: RestartWatch,
        attempt: Attempt,
        outstanding: OutstandingRequest,
    ) -> None:
        self._tracker = tracker
        self._restarts = restarts
        self._attempt = attempt
        self._outstanding = outstanding

    def __call__(self) -> None:
        """Raise an error if the request must not be sent."""
        now = trio.current_time()
        target = self._attempt.target
        self._restarts.record_found(target, now)
        self._require_listed(target)
        if self._attempt.goes_on and self._restarts.may_have_restarted(target):
            raise TargetDoubted(
                f'{target.name} may have started again with another version: '
                'choose another target.'
            )
        self._outstanding.record_sent(now)

    def _require_listed(self, target: Target) -> None:
        directory = self._tracker.directory
        if has_left(target, directory, self._tracker.notices):
            raise TargetLeft(f'{target.name} has left: choose another target.')
        if directory.evacuations.covers(target):
            directory.evacuations.diverted += 1
            raise TargetLeft(
                f'The data centre of {target.name} is evacuated: choose '
                'another target.'
            )
