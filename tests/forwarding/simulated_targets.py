"""Sixty routers that place requests on simulated targets, without a network.

The routers use their own code for the exchange of counts and for the choice of
targets; frames are delivered in memory at once. A simulated target runs each
request for a given time, and counts how many it holds.
"""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field, replace

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.prompt import Prompt, PromptPart
from peridotwell.domain.routing_table import (
    EngineProperties,
    RequestKind,
    RoutingTable,
    ServiceProperties,
)
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import NoRoom
from peridotwell.forwarding.adapters import ReportedLoad
from peridotwell.forwarding.choosing.target_selection import TargetSelector
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.health.outlier_ejection import OutlierEjection
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot
from tests.fleet.relays.test_update_exchange import Router
from tests.fleet.replica.test_service_directory import Decoder
from tests.forwarding.targets.test_crash_tracker import make_request

ENGINES = 'engines'
PLAIN = 'plain'
DATA_CENTRES = 'abcd'
TICK_SECONDS = 0.05
SLOTS = 16
LOAD_FACTOR = 2
EXTRA_REQUESTS = 3


class TargetDecoder(Decoder):
    """Decodes targets from keys such as `t/engines/e1`."""

    def decode_table(self, content, revision):
        engine = EngineProperties(SLOTS, 330_000, can_fetch_cache=True)
        services = {
            ENGINES: ServiceProperties(ENGINES, engine),
            PLAIN: ServiceProperties(PLAIN),
        }
        return RoutingTable(int(content), revision, services=services)

    def decode_target(self, key, content):
        _, service, name = key.split('/')
        data_centre = content.decode()
        return Target(
            name,
            '10.0.0.1:80',
            TargetKind.service,
            Pool(data_centre, service),
        )


class PlacingRouter(Router):
    """A router that chooses targets for requests."""

    def __init__(self, name, routers, data_centre, snapshot):
        super().__init__(name, routers, data_centre, TargetDecoder(), snapshot)
        self.tracker = TargetTracker(
            self.directory, OutlierEjection(), self.sharing, self.knowledge
        )
        self.selector = TargetSelector(
            self.tracker,
            self.knowledge.cache_index,
            data_centre,
            DeploymentBounds(load_factor=LOAD_FACTOR),
        )


@dataclass(frozen=True)
class Job:
    """A request that arrives at a router, and how long a target works on it."""

    arrives_at: float
    router: int
    service: str
    seconds: float
    first_part_seconds: float
    subject: str = ''
    shared_tokens: int = 0


@dataclass
class Sends:
    """The requests sent, by service, and those over the load bound."""

    sent: Counter = field(default_factory=Counter)
    over_bound: Counter = field(default_factory=Counter)

    def share_over_bound(self, service):
        return self.over_bound[service] / max(self.sent[service], 1)


class SimulatedFleet:
    """Routers in four data centres and the targets of two services."""

    def __init__(self, routers, engines, plain_targets):
        names = [
            *(f'{ENGINES}/e{number}' for number in range(engines)),
            *(f'{PLAIN}/p{number}' for number in range(plain_targets)),
        ]
        entries = [Entry('table', b'1', 1)]
        for number, name in enumerate(names):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            entries.append(Entry(f't/{name}', data_centre.encode(), 2 + number))
        snapshot = Snapshot(tuple(entries), len(entries))
        by_address = {}
        self.routers = [
            PlacingRouter(f'r{n}', by_address, DATA_CENTRES[n % 4], snapshot)
            for n in range(routers)
        ]
        for router in self.routers:
            router.sharing.discovery.add_peers(
                each.hello for each in self.routers
            )
            router.inbox.clear()
        self.loads = Counter()
        self.totals = Counter()
        self.counts = {ENGINES: engines, PLAIN: plain_targets}
        self.sends = Sends()
        # By name of the target, a function of the time; others report none.
        self.paces = {}
        # Targets that report that they are full, however few requests they run.
        self.always_full = frozenset()
        self.sent_to = Counter()
        self.waits = Counter()
        self._order = itertools.count()
        self._events = []

    def run(self, jobs, end, count_from=0.0):
        """Run until `end` and count the requests sent from `count_from` on."""
        for job in jobs:
            self._schedule(job.arrives_at, self._start, job)
        tick_at = 0.0
        while tick_at < end:
            while self._events and self._events[0][0] <= tick_at:
                now, _, action, *arguments = heapq.heappop(self._events)
                action(now, count_from, *arguments)
            for router in self.routers:
                router.sharing.tick(tick_at)
            for router in self.routers:
                router.receive_frames(tick_at)
            tick_at += TICK_SECONDS
        return self.sends

    def _schedule(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._order), action, *arguments)
        )

    def _start(self, now, count_from, job):
        router = self.routers[job.router]
        request = self._make_request(job)
        try:
            choice = router.selector.choose(request, (), now)
        except NoRoom:
            self.waits[job.service] += 1
            self._schedule(now + TICK_SECONDS, self._start, job)
            return
        name = choice.target.name
        if now >= count_from:
            self._count_send(job.service, name)
        self.loads[name] += 1
        self.totals[job.service] += 1
        router.tracker.record_start(request, choice, now)
        pace = self._pace(name, now)
        first_part_at = now + job.first_part_seconds * pace
        self._schedule(first_part_at, self._first_part, job, request, choice)
        end_at = now + job.seconds * pace
        self._schedule(end_at, self._end, job, request, choice)

    def _pace(self, name, now):
        pace = self.paces.get(name)
        return pace(now) if pace else 1

    def _count_send(self, service, name):
        mean = self.totals[service] / self.counts[service]
        self.sends.sent[service] += 1
        self.sent_to[name] += 1
        if self.loads[name] > LOAD_FACTOR * mean + EXTRA_REQUESTS:
            self.sends.over_bound[service] += 1

    def _first_part(self, now, count_from, job, request, choice):
        tracker = self.routers[job.router].tracker
        name = choice.target.name
        load = SLOTS + 1 if name in self.always_full else self.loads[name]
        report = ReportedLoad(
            min(load, SLOTS),
            max(load - SLOTS, 0),
            SLOTS,
            self._pace(name, now) if name in self.paces else None,
        )
        tracker.record_activity(choice.target, now)
        tracker.record_report(choice.target, report, now)
        if request.prompt is not None:
            tracker.record_prefill_end(request, choice)

    def _end(self, now, count_from, job, request, choice):
        self.loads[choice.target.name] -= 1
        self.totals[job.service] -= 1
        tracker = self.routers[job.router].tracker
        tracker.record_end(choice.target, job.seconds)

    def _make_request(self, job):
        request_id = str(next(self._order))
        request = replace(
            make_request(), request_id=request_id, service=job.service
        )
        if not job.subject:
            return request
        route = replace(
            request.route, kind=RequestKind.streaming, objective_seconds=0.3
        )
        parts = (
            PromptPart(job.subject, job.shared_tokens),
            PromptPart(request_id, 300),
        )
        return replace(request, route=route, prompt=Prompt('m', parts, 300, 50))
