"""The documents that routers and the operators' tool exchange."""

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
    """One target as a router sees it; `state` is live or leaving."""

    name: str
    data_centre: str
    pool: str
    state: str
    slots: int
    own_calls: int
    doubted: bool


class RouterAddress(msgspec.Struct, frozen=True):
    """Where operators reach a router."""

    name: str
    operators: str


class RouterStatus(msgspec.Struct, frozen=True):
    """One router's view; times in seconds, sizes in bytes since its start."""

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
    """What became of a change: the version and who has it in force."""

    configuration: Configuration
    in_force: tuple[str, ...] = ()
    unconfirmed: tuple[str, ...] = ()
    dry_run: bool = False


class EncodedSketch(msgspec.Struct, frozen=True):
    """One histogram in DDSketch's protobuf encoding (base64 in JSON)."""

    customer: str
    priority_class: str
    measure: str
    sketch: bytes


class QuarantineEntry(msgspec.Struct, frozen=True):
    """One fingerprint (16 hexadecimal digits) with its lost targets."""

    fingerprint: str
    lost_targets: int
    expires_in_seconds: float


class ErrorReport(msgspec.Struct, frozen=True):
    """Why a request of the operators' tool failed."""

    code: str
    message: str
