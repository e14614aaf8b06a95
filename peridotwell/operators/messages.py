"""JSON documents of the operators' API."""

import msgspec

from peridotwell.domain.configuration import Configuration

__all__ = (
    'TargetStatus',
    'RouterAddress',
    'RouterStatus',
    'ChangeReport',
    'EncodedSketch',
    'QuarantineEntry',
    'ErrorReport',
)


class TargetStatus(msgspec.Struct, frozen=True):
    """A router's view of one target; `state` is live or leaving.

    `own_calls` is the number of requests of this router on the target.
    """

    name: str
    data_centre: str
    pool: str
    state: str
    slots: int
    own_calls: int
    doubted: bool


class RouterAddress(msgspec.Struct, frozen=True):
    """The address of the operators' API of a router."""

    name: str
    operators: str


class RouterStatus(msgspec.Struct, frozen=True):
    """The status of one router.

    `obstacle` says why the router is not ready; it is empty if it is ready.
    `control_bytes`, `control_frames`, `platform_calls` and `counters` are
    totals since its start.
    """

    name: str
    data_centre: str
    operators: str
    version: int
    ready: bool
    obstacle: str
    platform_reachable: bool
    running_calls: int
    waiting_calls: int
    unsettled_claims: int
    quarantined: int
    live_routers: tuple[RouterAddress, ...]
    control_bytes: int
    control_frames: int
    platform_calls: int
    uptime_seconds: float
    targets: tuple[TargetStatus, ...]
    counters: dict[str, int]


class ChangeReport(msgspec.Struct, frozen=True):
    """The result of a change.

    `in_force` names the routers that have applied it, `unconfirmed` the live
    routers that have not reported so in time.
    """

    configuration: Configuration
    in_force: tuple[str, ...] = ()
    unconfirmed: tuple[str, ...] = ()
    dry_run: bool = False


class EncodedSketch(msgspec.Struct, frozen=True):
    """A histogram in the protobuf encoding of DDSketch, base64 in JSON."""

    customer: str
    priority_class: str
    measure: str
    sketch: bytes


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A quarantined request, identified by 16 hexadecimal digits."""

    fingerprint: str
    lost_targets: int
    expires_in_seconds: float


class ErrorReport(msgspec.Struct, frozen=True):
    """The body of an error response."""

    code: str
    message: str
