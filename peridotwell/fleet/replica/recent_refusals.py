"""Tells which requests were refused by an older table than one taken since.

A router that does not know of a newer configuration refuses requests that it
allows. It finds out only when it takes that configuration: then it checks the
last refusals again and logs how many they are.
"""

from collections import deque
from dataclasses import dataclass, field

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.domain.store_order import StoreOrder
from peridotwell.logs import log_failure

__all__ = ('RecentRefusals', 'Refusal', 'RefusedByOlder')

MAX_REFUSALS = 64
MAX_AGE_SECONDS = 10.0


@dataclass(frozen=True)
class Refusal:
    """A request that was refused for its path or its API key.

    `version` is that of the table in force, `known_revision` the last known
    revision of the store, and `knowledge_age` the age of the knowledge in
    seconds, None if nothing was known.
    """

    refused_at: float
    request_id: str
    host: str
    path: str
    api_key: str = field(repr=False)
    version: int
    known_revision: StoreOrder
    knowledge_age: float | None

    def is_allowed_by(self, table: RoutingTable) -> bool:
        """Return whether a table has the route and the key of the request."""
        route = table.find_route(self.host, self.path)
        if route is None:
            return False
        if route.anonymous or not table.has_customers:
            return True
        return table.find_customer(self.api_key) is not None


@dataclass(frozen=True)
class RefusedByOlder:
    """The number of requests that a newer table allows, first and last."""

    count: int
    first: Refusal
    last: Refusal


class RecentRefusals:
    """The last refusals, at most `MAX_REFUSALS` of `MAX_AGE_SECONDS`."""

    def __init__(self) -> None:
        self._refusals: deque[Refusal] = deque(maxlen=MAX_REFUSALS)

    def record(self, refusal: Refusal) -> None:
        """Record a refusal; the oldest one is forgotten if there are many."""
        self._refusals.append(refusal)

    def pop_allowed_by(
        self, table: RoutingTable, now: float
    ) -> RefusedByOlder | None:
        """Return the refusals by older tables that a table allows, if any.

        They are forgotten; a still newer table may allow the others.
        """
        recent = [
            refusal
            for refusal in self._refusals
            if now - refusal.refused_at <= MAX_AGE_SECONDS
        ]
        allowed = [
            refusal
            for refusal in recent
            if refusal.version < table.version and refusal.is_allowed_by(table)
        ]
        self._refusals.clear()
        self._refusals.extend(each for each in recent if each not in allowed)
        if not allowed:
            return None
        return RefusedByOlder(len(allowed), allowed[0], allowed[-1])

    def log_allowed_by(
        self, table: RoutingTable, source: str, now: float
    ) -> None:
        """Log the refusals by older tables that a table allows, if any.

        `source` says from where the table was taken.
        """
        refused = self.pop_allowed_by(table, now)
        if refused is None:
            return
        last = refused.last
        log_failure(
            'table.refused_by_older',
            refused=refused.count,
            table=last.version,
            version=table.version,
            last_age=round(now - last.refused_at, 3),
            knowledge_age=last.knowledge_age,
            source=source,
            known_revision=last.known_revision,
            revision=table.revision,
            first_age=round(now - refused.first.refused_at, 3),
            request=last.request_id,
        )
