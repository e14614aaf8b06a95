"""What a deployment's headers and entries mean, behind abstract classes.

The forwarding path knows only the types below. An adapter for a deployment
implements the adapters; nothing else reads or writes its header names.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotwell.domain.prompt import Prompt
from peridotwell.domain.routing_table import Route, RoutingTable
from peridotwell.domain.target import Target
from peridotwell.policy.prompt_cache_index import CachedPart
from peridotwell.serving.asgi import HttpExchange
from peridotwell.serving.target_client import ResponseReader, TargetResponse

__all__ = (
    'HeaderFields',
    'CallerMetadata',
    'RoutedRequest',
    'TargetRequest',
    'ReportedLoad',
    'CallerAdapter',
    'TargetAdapter',
    'EntryDecoder',
)

HeaderFields = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class CallerMetadata:
    """What a caller's header fields say.

    `deadline_seconds` is None when the caller states none. `passed_fields`
    are the fields that targets get as they are.
    """

    request_id: str
    api_key: str
    deadline_seconds: float | None
    prompt: Prompt | None
    passed_fields: HeaderFields


@dataclass(frozen=True)
class RoutedRequest:
    """A request that has a route and a customer.

    Times are of the router's own clock, in seconds. `target_path` is the
    path with the query, byte for byte. `fingerprint` is the fingerprint of the
    content.
    """

    request_id: str
    customer: str
    route: Route
    service: str
    priority: int
    method: str
    target_path: bytes
    passed_fields: HeaderFields
    body: bytes
    prompt: Prompt | None
    arrived_at: float
    deadline_at: float
    fingerprint: int
    table_version: int


@dataclass(frozen=True)
class TargetRequest:
    """A call on its way to a target, `now`.

    `resume_after` is the id of the last event that the caller has.
    `fetch_from` is an engine that has more of the prompt cached, from which
    the target copies it.
    """

    call: RoutedRequest
    target: Target
    now: float
    resume_after: str = ''
    fetch_from: Target | None = None


@dataclass(frozen=True)
class ReportedLoad:
    """What a target says of its own load; `slots` 0 if it does not say."""

    running: int
    waiting: int
    slots: int


class CallerAdapter(ABC):
    """The callers' header fields."""

    @abstractmethod
    def request_id(self, exchange: HttpExchange) -> str:
        """Return the id of a request for the logs, or ''."""

    @abstractmethod
    def read(self, exchange: HttpExchange) -> CallerMetadata:
        """Decode the fields. Raises BadRequest."""


class TargetAdapter(ResponseReader):
    """The targets' header fields, in both directions."""

    @abstractmethod
    def request_fields(self, request: TargetRequest) -> HeaderFields:
        """Return all fields of the request to a target."""

    @abstractmethod
    def has_receipt(self, answer: TargetResponse) -> bool:
        """Whether the answer proves that the target itself made it."""

    @abstractmethod
    def reported_load(self, answer: TargetResponse) -> ReportedLoad | None:
        """Return the load that the answer reports, if it does."""

    @abstractmethod
    def cache_path(self) -> str:
        """Return the path at which an engine lists its cached parts."""

    @abstractmethod
    def decode_cache_list(self, content: bytes) -> tuple[CachedPart, ...]:
        """Decode an engine's list of cached parts. Raises EntryError."""

    @abstractmethod
    def caller_fields(self, answer: TargetResponse) -> HeaderFields:
        """Return the answer's fields for the caller."""

    @abstractmethod
    def may_forward(self, answer: TargetResponse) -> bool:
        """Whether the status means the same to the caller.

        A status that tells callers "not run" may not follow work that a
        target did.
        """


class EntryDecoder(ABC):
    """The store's entries that the router reads."""

    @abstractmethod
    def is_table(self, key: str) -> bool:
        """Whether the key holds the configuration."""

    @abstractmethod
    def is_target(self, key: str) -> bool:
        """Whether the key holds a target."""

    @abstractmethod
    def decode_table(self, content: bytes, revision: int) -> RoutingTable:
        """Decode a configuration. Raises EntryError."""

    @abstractmethod
    def decode_target(self, key: str, content: bytes) -> Target:
        """Decode a target. Raises EntryError."""
