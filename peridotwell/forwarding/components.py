"""The components that all forwarded requests share."""

from dataclasses import dataclass

from peridotwell.fleet.replica.table_check import TableCheck
from peridotwell.forwarding.adapters import CallerAdapter, TargetAdapter
from peridotwell.forwarding.choosing.target_selection import TargetSelector
from peridotwell.forwarding.choosing.waiting_room import WaitingRoom
from peridotwell.forwarding.handover.handover_client import HandoverClient
from peridotwell.forwarding.sending.dispatch import Dispatcher
from peridotwell.forwarding.sending.silence_limits import SilenceLimits
from peridotwell.forwarding.streams.stream_affinity import StreamAffinity
from peridotwell.forwarding.targets.crash_tracker import CrashTracker
from peridotwell.forwarding.targets.reachability_prober import (
    ReachabilityProber,
)
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
