"""The state that forwarding routers exchange."""

from dataclasses import dataclass, field

from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.policy.brittle.brittle_targets import BrittleTargets
from peridotwell.policy.crashes.crash_blame import CrashBlame
from peridotwell.policy.crashes.crashed_requests import CrashedRequests
from peridotwell.policy.evidence.event_steps import EventSteps
from peridotwell.policy.health.own_reach import OwnReach
from peridotwell.policy.health.target_notices import TargetNotices
from peridotwell.policy.limits.cold_targets import ColdTargets
from peridotwell.policy.limits.target_limits import TargetLimits
from peridotwell.policy.load.peer_counts import PeerCounts
from peridotwell.policy.load.target_paces import TargetPaces
from peridotwell.policy.placement.prompt_cache_index import PromptCacheIndex
from peridotwell.policy.versions.service_versions import ServiceVersions
from peridotwell.policy.versions.stream_versions import StreamVersions

__all__ = ('ForwardingState',)


@dataclass(frozen=True)
class ForwardingState:
    """The state that forwarding routers exchange.

    `peer_requests` counts the outstanding requests of the other routers,
    `peer_prefill_tokens` the prompt tokens that they wait for.
    """

    directory: ServiceDirectory
    cache_index: PromptCacheIndex
    peer_requests: PeerCounts
    peer_prefill_tokens: PeerCounts
    service_versions: ServiceVersions = field(default_factory=ServiceVersions)
    stream_versions: StreamVersions = field(default_factory=StreamVersions)
    target_notices: TargetNotices = field(default_factory=TargetNotices)
    crash_blame: CrashBlame = field(default_factory=CrashBlame)
    crashed_requests: CrashedRequests = field(default_factory=CrashedRequests)
    target_limits: TargetLimits = field(default_factory=TargetLimits)
    brittle_targets: BrittleTargets = field(default_factory=BrittleTargets)
    cold_targets: ColdTargets = field(default_factory=ColdTargets)
    event_steps: EventSteps = field(default_factory=EventSteps)
    own_reach: OwnReach = field(default_factory=OwnReach)
    target_paces: TargetPaces = field(default_factory=TargetPaces)
