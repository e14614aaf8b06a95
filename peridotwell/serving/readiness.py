"""Whether this router is ready for requests, and why not."""

from peridotwell.fleet.lending.credit_exchange import CreditExchange
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('Readiness',)


class Readiness:
    """The readiness that is reported to the platform's load balancer."""

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
        """Return why this router is not ready, or an empty string."""
        if self.is_stopping:
            return 'stopping'
        return self.cannot_serve_reason(now)

    def cannot_serve_reason(self, now: float) -> str:
        """Return why requests cannot be served, or an empty string.

        Stopping is not such a reason: a stopping router still serves
        requests.
        """
        if not self._configuration.is_loaded:
            return 'no configuration from the platform or another router yet'
        if not self._membership.targets():
            return 'no list of targets from the platform or another router yet'
        if not self._credit.is_settled(now):
            return 'still hearing from the other routers'
        return ''
