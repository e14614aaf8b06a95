"""A caller's request after parsing."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from peridotwell.domain.contract import Contract

__all__ = ('CallerRequest',)


@dataclass(frozen=True)
class CallerRequest:
    """A parsed and validated request.

    `deadline_at` is a time of the router's own clock in seconds. `chat` is
    the id of the chat, empty for requests without one. `placement_hint`
    identifies the target that served the chat's previous turn; it is empty
    if that is unknown.
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
        """Whether the contract allows this request to run more than once."""
        return self.method in self.contract.repeatable_methods
