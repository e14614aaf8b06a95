"""The configuration of the fleet: defaults, overrides and contracts.

The types are msgspec structs instead of data classes, so that unknown keys
are rejected by name.
"""

from enum import Enum
from typing import Annotated

import msgspec

from peridotwell.domain.contract import Contract

__all__ = (
    'Scope',
    'Defaults',
    'Override',
    'HistoryEntry',
    'Configuration',
    'Change',
    'decode_configuration',
)

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
ReasonText = Annotated[str, msgspec.Meta(min_length=3, max_length=400)]


class Scope(Enum):
    """The kind of subject that an override applies to."""

    customer = 'customer'
    pool = 'pool'
    priority_class = 'class'


class Defaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Values that apply unless an override replaces them.

    `load_bound` is the multiple of the mean load that no engine may exceed.
    `share` is the weight of a customer against others when a pool is
    saturated.
    """

    load_bound: Annotated[float, msgspec.Meta(ge=1.05, le=10)] = 1.25
    follow_hints: bool = True
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 1
    share: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1
    queue_seconds: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 2
    queue_limit: PositiveInt = 256
    deadline_seconds: Seconds = 300
    first_byte_seconds: Seconds = 30
    silence_seconds: Seconds = 10
    retry_fraction: Fraction = 0.1
    crash_limit: Annotated[int, msgspec.Meta(ge=1, le=10)] = 2
    quarantine_seconds: Seconds = 600
    claim_window_seconds: Seconds = 86_400


class Override(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another value of one default for one subject."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
    scope: Scope
    subject: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    field: str
    value: float | bool
    reason: ReasonText
    author: str = ''


class HistoryEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted change; the document lists the newest first."""

    version: int
    change_id: str
    reason: str
    author: str
    written_at: float
    summary: str


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One version of the configuration."""

    version: int = 0
    defaults: Defaults = Defaults()
    overrides: tuple[Override, ...] = ()
    contracts: tuple[Contract, ...] = ()
    change_id: str = ''
    history: tuple[HistoryEntry, ...] = ()

    def for_request(
        self,
        customer: str = '',
        pool: str = '',
        priority_class: str = '',
    ) -> Defaults:
        """Return the defaults with the overrides that apply to a request."""
        subjects = {
            Scope.customer: customer,
            Scope.pool: pool,
            Scope.priority_class: priority_class,
        }
        overridden = {
            override.field: override.value
            for override in self.overrides
            if subjects[override.scope] == override.subject
        }
        if not overridden:
            return self.defaults
        return msgspec.structs.replace(self.defaults, **overridden)


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change that an operator requests, with its reason.

    `based_on` is the version that the operator has read. A change that is
    based on a version other than the current one is refused.
    """

    change_id: str
    reason: ReasonText
    based_on: int
    author: str = ''
    set_defaults: dict[str, float | bool] = {}
    add_overrides: tuple[Override, ...] = ()
    remove_overrides: tuple[str, ...] = ()
    add_contracts: tuple[Contract, ...] = ()
    remove_contracts: tuple[str, ...] = ()


def decode_configuration(document: bytes) -> Configuration:
    """Decode a stored configuration. Raises msgspec.ValidationError."""
    return msgspec.json.decode(document, type=Configuration)
