"""The fleet-wide configuration: defaults and exceptions with reasons.

The document's types are msgspec structs instead of data classes, because
unknown keys must be refused by name.
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
    """What an override applies to."""

    customer = 'customer'
    pool = 'pool'
    priority_class = 'class'


class Defaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Values in force wherever no override says otherwise.

    `load_bound` is the multiple of the mean load that no engine may exceed.
    `share` weighs customers against each other when a pool is saturated.
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
    """One exception: another value of one default for one subject."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
    scope: Scope
    subject: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    field: str
    value: float | bool
    reason: ReasonText
    author: str = ''


class HistoryEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted change, newest first in the document."""

    version: int
    change_id: str
    reason: str
    author: str
    written_at: float
    summary: str


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One version of everything that operators decide."""

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
        """Return the defaults with the overrides for this call applied."""
        subjects = {
            Scope.customer: customer,
            Scope.pool: pool,
            Scope.priority_class: priority_class,
        }
        chosen = {
            override.field: override.value
            for override in self.overrides
            if subjects[override.scope] == override.subject
        }
        if not chosen:
            return self.defaults
        return msgspec.structs.replace(self.defaults, **chosen)


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's wish: what to set, add and remove, and why.

    `based_on` is the version that the operator looked at; a change based on
    another version than the one in force is refused.
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
    """Decode a stored document. Raises msgspec.ValidationError."""
    return msgspec.json.decode(document, type=Configuration)
