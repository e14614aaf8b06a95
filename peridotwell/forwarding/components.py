"""The parts that carry a request, shared by all exchanges."""

from dataclasses import dataclass

from peridotwell.forwarding.adapters import CallerAdapter, TargetAdapter
from peridotwell.forwarding.crash_tracker import CrashTracker
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.target_selection import TargetSelector

__all__ = ('ForwardingComponents',)


@dataclass(frozen=True)
class ForwardingComponents:
    """What the front hands requests to."""

    dispatcher: Dispatcher
    placement: TargetSelector
    suspects: CrashTracker
    callers: CallerAdapter
    targets: TargetAdapter
