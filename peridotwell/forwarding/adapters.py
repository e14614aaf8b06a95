"""Abstract adapters for a deployment's header fields and store entries.

The forwarding code uses only the types below. Each deployment implements the
adapters; no other code reads or writes the names of its header fields.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotwell.domain.prompt import Prompt
from peridotwell.domain.routing_table import (
    Regions,
    Route,
    RoutingTable,
    ServiceProperties,
)
from peridotwell.domain.store_order import StoreOrder
from peridotwell.domain.target import Target, wire_id
from peridotwell.policy.placement.prompt_cache_index import CachedPart
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.target_client import ResponseReader
from peridotwell.serving.target_response import TargetResponse

__all__ = (
    'HeaderFields',
    'ResumedStream',
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
class ResumedStream:
    """A stream that a caller has received in part and wants to go on.

    `first_request` is the id of the request that brought its first event, ''
    if the caller does not tell; `last_event_id` that of the last event that
    the caller has.
    """

    first_request: str
    last_event_id: str = ''


@dataclass(frozen=True)
class CallerMetadata:
    """The content of a caller's header fields.

    `deadline_seconds` is None if the caller sets none. `passed_fields`
    are the fields that targets get as they are. `resumed_stream` is None if
    the caller resumes none.
    """

    request_id: str
    api_key: str
    deadline_seconds: float | None
    prompt: Prompt | None
    passed_fields: HeaderFields
    resumed_stream: ResumedStream | None = None


@dataclass(frozen=True)
class RoutedRequest:
    """A caller's request with its route and customer.

    Times are in seconds of the router's own clock. `target_path` is the
    path with the query, byte for byte. `fingerprint` is the fingerprint of the
    content. `is_handed_over` tells that another router has handed it over. It
    goes only to targets and routers in the `allowed_regions`.
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
    resumed_stream: ResumedStream | None = None
    is_handed_over: bool = False
    allowed_regions: Regions = None

    @property
    def stream_id(self) -> int:
        """The wire id of the stream that the request begins or resumes."""
        if self.resumed_stream is None:
            return wire_id(self.request_id)
        return wire_id(self.resumed_stream.first_request)


@dataclass(frozen=True)
class TargetRequest:
    """A request to a target, sent `now`.

    `resume_after` is the id of the last event that the caller has received.
    `fetch_from` is an engine that has more of the prompt cached, from which
    the target copies it.
    """

    routed_request: RoutedRequest
    target: Target
    now: float
    resume_after: str = ''
    fetch_from: Target | None = None


@dataclass(frozen=True)
class ReportedLoad:
    """The load that a target reports; `slots` is 0 if it reports none.

    `pace` tells how long work takes there, as a multiple of its normal time,
    None if not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class CallerAdapter(ABC):
    """Decodes the header fields of callers."""

    @abstractmethod
    def request_id(self, exchange: HttpExchange) -> str:
        """Return the id of a request for the logs, or ''."""

    @abstractmethod
    def read(self, exchange: HttpExchange) -> CallerMetadata:
        """Decode the fields. Raises BadRequest."""


class TargetAdapter(ResponseReader):
    """Encodes requests to targets and decodes their responses."""

    @abstractmethod
    def request_fields(self, request: TargetRequest) -> HeaderFields:
        """Return all fields of the request to a target."""

    @abstractmethod
    def has_receipt(self, response: TargetResponse) -> bool:
        """Return whether a receipt proves that the target itself responded."""

    @abstractmethod
    def reported_load(self, response: TargetResponse) -> ReportedLoad | None:
        """Return the load that the response reports, or None."""

    @abstractmethod
    def unread_load(self, response: TargetResponse) -> str:
        """Return the load report, shortened, if a part of it is not read.

        Returns '' if there is no report, or all of it is read.
        """

    @abstractmethod
    def status_path(self, service: ServiceProperties | None) -> str:
        """Return the path at which targets of a service tell their status.

        A request there is no request of a caller. `service` is None if the
        table in force lacks it.
        """

    @abstractmethod
    def cache_path(self) -> str:
        """Return the path at which an engine lists its cached parts."""

    @abstractmethod
    def decode_cache_list(self, content: bytes) -> tuple[CachedPart, ...]:
        """Decode an engine's list of cached parts. Raises EntryError."""

    @abstractmethod
    def caller_fields(self, response: TargetResponse) -> HeaderFields:
        """Return the header fields of the response for the caller."""

    @abstractmethod
    def may_forward(self, response: TargetResponse) -> bool:
        """Return whether the caller may get the status of the response.

        A status that means "not run" to callers must not be forwarded if the
        target may have run the request.
        """


class EntryDecoder(ABC):
    """Decodes the store entries that the router reads."""

    @abstractmethod
    def is_table(self, key: str) -> bool:
        """Return whether `key` is the key of the configuration."""

    @abstractmethod
    def is_target(self, key: str) -> bool:
        """Return whether `key` is the key of a target."""

    @abstractmethod
    def evacuation_key(self, data_centre: str) -> str:
        """Return the key that evacuates a data centre."""

    @abstractmethod
    def evacuated_data_centre(self, key: str) -> str | None:
        """Return the data centre that a key evacuates; None for other keys.

        Only the presence of the key counts, not its content.
        """

    @abstractmethod
    def decode_table(
        self, content: bytes, revision: StoreOrder
    ) -> RoutingTable:
        """Decode a configuration. Raises EntryError."""

    @abstractmethod
    def table_version(self, content: bytes) -> int | None:
        """Return the version of a configuration; None if it cannot be read.

        The rest of the configuration is not decoded.
        """

    @abstractmethod
    def decode_target(self, key: str, content: bytes) -> Target:
        """Decode a target. Raises EntryError."""
