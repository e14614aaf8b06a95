"""The state that forwarding routers exchange."""

from dataclasses import dataclass, field

from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.policy.brittle_targets import BrittleTargets
from peridotwell.policy.cold_targets import ColdTargets
from peridotwell.policy.crash_blame import CrashBlame
from peridotwell.policy.crashed_requests import CrashedRequests
from peridotwell.policy.event_steps import EventSteps
from peridotwell.policy.own_reach import OwnReach
from peridotwell.policy.peer_counts import PeerCounts
from peridotwell.policy.prompt_cache_index import PromptCacheIndex
from peridotwell.policy.service_versions import ServiceVersions
from peridotwell.policy.stream_versions import StreamVersions
from peridotwell.policy.target_limits import TargetLimits
from peridotwell.policy.target_notices import TargetNotices
from peridotwell.policy.target_paces import TargetPaces

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
