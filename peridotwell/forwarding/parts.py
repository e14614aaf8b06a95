"""The parts that carry a request, shared by all exchanges."""

from dataclasses import dataclass

from peridotwell.forwarding.dialect import CallerDialect, TargetDialect
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.placement import Placement
from peridotwell.forwarding.suspects import Suspects

__all__ = ('ForwardingParts',)


@dataclass(frozen=True)
class ForwardingParts:
    """What the front hands requests to."""

    dispatcher: Dispatcher
    placement: Placement
    suspects: Suspects
    callers: CallerDialect
    targets: TargetDialect
