"""What the platform's list and observations say of targets' processes."""

from peridotwell.domain.target import Target
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.serving.request_recall import TargetStanding, TargetStandings

__all__ = ('MembershipStandings',)

HEALTH_PATH = '/health'


class MembershipStandings(TargetStandings):
    """Tells which targets of the membership have left.

    One whose removal is doubted has not: the list may be wrong.
    """

    def __init__(self, membership: TargetMembership) -> None:
        self._membership = membership

    def standing(self, target: Target) -> TargetStanding:
        """Return what is known of a process of a target."""
        known = self._membership.target(target.name)
        if known is None or known.address != target.address:
            return TargetStanding.left
        if _is_other_process(known, target):
            return TargetStanding.replaced
        return TargetStanding.left if known.leaving else TargetStanding.listed

    def status_path(self, target: Target) -> str:
        """Return the path of the status checks of a target."""
        return HEALTH_PATH


def _is_other_process(known: Target, target: Target) -> bool:
    """Whether another incarnation runs; '' is one that is not known yet."""
    incarnations = {known.incarnation, target.incarnation} - {''}
    return len(incarnations) > 1
