"""One caller's request as the router understands it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from peridotwell.domain.contract import Contract

__all__ = ('CallerRequest',)


@dataclass(frozen=True)
class CallerRequest:
    """A request, parsed and checked.

    `deadline_at` is a time of the router's own clock in seconds. `chat` is
    empty for requests without one. `hint` names the target that served the
    chat's previous turn, or is empty.
    """

    request_id: str
    customer: str
    priority_class: str
    method: str
    path: str
    body: bytes
    contract: Contract
    deadline_at: float
    chat: str = ''
    placement_hint: str = ''
    idempotency_key: str = ''
    is_streamed: bool = False
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def is_idempotent(self) -> bool:
        """Whether running this request twice does no harm."""
        return self.method in self.contract.repeatable_methods
