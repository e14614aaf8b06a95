"""The components that all forwarded requests share."""

from dataclasses import dataclass

from peridotwell.fleet.replica.table_check import TableCheck
from peridotwell.forwarding.adapters import CallerAdapter, TargetAdapter
from peridotwell.forwarding.crash_tracker import CrashTracker
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.handover_client import HandoverClient
from peridotwell.forwarding.reachability_prober import ReachabilityProber
from peridotwell.forwarding.silence_limits import SilenceLimits
from peridotwell.forwarding.stream_affinity import StreamAffinity
from peridotwell.forwarding.target_selection import TargetSelector
from peridotwell.forwarding.waiting_room import WaitingRoom
from peridotwell.serving.request_recall import RequestRecall

__all__ = ('ForwardingComponents',)


@dataclass(frozen=True)
class ForwardingComponents:
    """The components that the request handler uses."""

    dispatcher: Dispatcher
    selector: TargetSelector
    waiting_room: WaitingRoom
    handover_client: HandoverClient
    prober: ReachabilityProber
    crash_tracker: CrashTracker
    silence_limits: SilenceLimits
    stream_affinity: StreamAffinity
    caller_adapter: CallerAdapter
    target_adapter: TargetAdapter
    table_check: TableCheck
    request_recall: RequestRecall
