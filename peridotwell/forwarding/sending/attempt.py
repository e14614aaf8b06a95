"""One attempt to run a request on a target."""

from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.policy.placement.choice import Choice
from peridotwell.serving.event_stream import MayGiveUp

__all__ = ('Attempt',)


@dataclass(frozen=True, eq=False)
class Attempt:
    """One attempt to run a request on a target.

    `may_leave` returns whether a silent target may be left at a time, because
    the request may go on elsewhere. `resume_after` is the id of the last event
    that the caller has received, or empty. `runs_left` is the number of targets
    that may run the request. Attempts are compared by identity.
    """

    request: RoutedRequest
    choice: Choice
    number: int
    may_leave: MayGiveUp
    resume_after: str = ''
    runs_left: int = 1

    @property
    def goes_on(self) -> bool:
        """Whether it goes on with a stream that an earlier attempt began."""
        return bool(self.resume_after) or (
            self.request.resumed_stream is not None
        )

    @property
    def target(self) -> Target:
        """The target of the attempt."""
        return self.choice.target

    @property
    def target_name(self) -> str:
        """The name of the target of the attempt."""
        return self.choice.target.name
