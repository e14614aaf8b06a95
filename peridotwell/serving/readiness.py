"""Whether this router should get work, and why not."""

from peridotwell.fleet.credit_exchange import CreditExchange
from peridotwell.fleet.target_membership import TargetMembership
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('Readiness',)


class Readiness:
    """What the platform's balancer is told."""

    def __init__(
        self,
        configuration: ConfigurationStore,
        membership: TargetMembership,
        credit: CreditExchange,
    ) -> None:
        self.is_stopping = False
        self._configuration = configuration
        self._membership = membership
        self._credit = credit

    def not_ready_reason(self, now: float) -> str:
        """Return why this router is not ready, or an empty text."""
        if self.is_stopping:
            return 'stopping'
        return self.cannot_serve_reason(now)

    def cannot_serve_reason(self, now: float) -> str:
        """Return why calls cannot be served; a stopping router still can."""
        if not self._configuration.is_loaded:
            return 'no configuration from the platform or another router yet'
        if not self._membership.targets():
            return 'no list of targets from the platform or another router yet'
        if not self._credit.is_settled(now):
            return 'still hearing from the other routers'
        return ''
