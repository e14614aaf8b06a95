"""The order in which the requests of several customers are served.

Pattern: start-time fair queueing (Goyal, Vin and Cheng, 1996). A request is
ordered by its start tag, the work that its customer has had so far on a clock
that all customers share. The clock stands at the tag of the last request that
was sent, so a customer that sent nothing for a while neither saves up work nor
loses any. Each request counts as one. Requests that are refused or leave do
not count.
"""

from collections import Counter

__all__ = ('FairOrder',)

MAX_CUSTOMERS = 4096


class FairOrder:
    """The start tags of the requests of one service."""

    def __init__(self) -> None:
        self._virtual_time = float(0)
        # The start tag of each customer's next request, if it is later.
        self._next_tags: dict[str, float] = {}
        self._waiting: Counter[str] = Counter()

    def start_tag(self, customer: str) -> float:
        """Return the start tag of a customer's next request.

        Requests of the customer that wait come before it.
        """
        return self._next_tag(customer) + self._waiting[customer]

    def record_wait_start(self, customer: str) -> None:
        """Record that a request waits."""
        self._waiting[customer] += 1

    def record_wait_end(self, customer: str) -> None:
        """Record that a request no longer waits, for whatever reason."""
        self._waiting[customer] -= 1
        if not self._waiting[customer]:
            self._waiting.pop(customer)

    def record_sent(self, customer: str) -> None:
        """Record that a request of a customer is sent."""
        tag = self._next_tag(customer)
        self._virtual_time = max(self._virtual_time, tag)
        if len(self._next_tags) >= MAX_CUSTOMERS:
            self._remove_idle()
        self._next_tags[customer] = tag + 1

    def _next_tag(self, customer: str) -> float:
        return max(self._next_tags.get(customer, 0), self._virtual_time)

    def _remove_idle(self) -> None:
        """Remove customers that have no more work ahead than a new one."""
        self._next_tags = {
            customer: tag
            for customer, tag in self._next_tags.items()
            if tag > self._virtual_time
        }
