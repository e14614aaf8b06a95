"""Routers and brittle targets without a network, with a clock of their own.

Each router sees the requests of the others as they were up to a second ago, and
hears within half a second what targets say of themselves. A target
falls over when it rejects more requests in a second than it bears, and is back
as another incarnation.
"""

import random
from dataclasses import dataclass, field, replace

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.brittle.brittle_targets import (
    BrittleTargets,
    RequestCounts,
)
from peridotwell.policy.brittle.brittleness import Brittleness

STEP_SECONDS = 0.02
CONTACT_SECONDS = 3.0
REPORT_SECONDS = 1.0
NEWS_SECONDS = 0.5
REPEAT_SECONDS = 2.0
DOWN_SECONDS = 3.0
# Targets that have named a number fall over from then on.
FALLS_FROM_SECONDS = 3.0
MEAN_WORK_SECONDS = 0.5
POOL = Pool('a', 'svc')


@dataclass
class SimulatedTarget:
    """A target with `slots`, of which it may be able to use only `usable`."""

    target: Target
    max_rejections: float | None
    slots: int
    usable: int
    tells_load: bool = True
    down_until: float = 0
    # Router and end of each running request.
    running: list[tuple[int, float]] = field(default_factory=list)
    rejected: list[float] = field(default_factory=list)
    arrived: list[float] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)

    def answer(self, *, is_rejection=False):
        if self.max_rejections is None:
            return None
        if not self.tells_load:
            return Brittleness(self.max_rejections, is_rejection)
        return Brittleness(
            self.max_rejections,
            is_rejection,
            running=len(self.running),
            waiting=0,
            slots=self.slots,
        )

    def recent_rejections(self, now):
        begin = max([now - 1, *self.starts[-1:]])
        return sum(at > begin for at in self.rejected)


@dataclass
class SimulatedRouter:
    """A router; `others` are its peers' requests by target, as last told."""

    number: int
    policy: BrittleTargets
    own: dict[str, int] = field(default_factory=dict)
    reported: dict[str, int] = field(default_factory=dict)
    others: dict[str, int] = field(default_factory=dict)

    def counts(self, name):
        own = self.own.get(name, 0)
        return RequestCounts(own, own + self.others.get(name, 0))


class BrittleFleet:
    """The routers, the targets and the time."""

    def __init__(
        self, routers, max_rejections, *, targets=6, slots=8, tells_load=True
    ):
        self.random = random.Random(routers)
        self.now = 0.0
        self.max_rejections = max_rejections
        self.cut = set()
        self.frozen = set()
        self.sent = 0
        self.served = 0
        self.refused = 0
        self.targets = [
            SimulatedTarget(
                Target(f't{number}', 'h:1', TargetKind.engine, POOL),
                max_rejections,
                slots,
                slots,
                tells_load,
            )
            for number in range(targets)
        ]
        self.routers = []
        self._news = {}
        for _ in range(routers):
            self.start_router()
        self.meet()

    @property
    def capacity_per_second(self):
        slots = sum(target.slots for target in self.targets)
        return slots / MEAN_WORK_SECONDS

    def start_router(self):
        """Start a router that knows the others, who do not know it yet."""
        number = len(self.routers)
        router = SimulatedRouter(number, BrittleTargets(number))
        self.routers.append(router)
        router.policy.set_routers(range(number + 1))
        return router

    def meet(self):
        for router in self.routers:
            if router.number not in self.cut:
                router.policy.set_routers(range(len(self.routers)))

    def run(self, seconds, load):
        """Send `load` times the capacity to the routers, evenly."""
        end = self.now + seconds
        per_step = load * self.capacity_per_second * STEP_SECONDS
        due = 0.0
        while self.now < end:
            self.now += STEP_SECONDS
            self._end_requests()
            due += per_step
            while due >= 1:
                due -= 1
                self._send(self.random.choice(self.routers))
            self._tell()

    def most_rejections(self, begin=0):
        """Return the most rejections of one target in a second."""
        return max(
            (
                sum(first <= at < first + 1 for at in target.rejected)
                for target in self.targets
                for first in target.rejected
                if first >= begin
            ),
            default=0,
        )

    def falls(self):
        return sum(len(target.falls) for target in self.targets)

    def fall(self, target):
        """Let a target fall over."""
        target.falls.append(self.now)
        target.down_until = self.now + DOWN_SECONDS
        for number, _ in target.running:
            self._lose(self.routers[number], target)
        target.running = []
        target.target = replace(
            target.target, incarnation=str(len(target.falls))
        )

    def _lose(self, router, target):
        router.own[target.target.name] -= 1
        router.policy.record_unreachable(target.target, self.now)

    def _send(self, router):
        if router.number in self.frozen:
            return
        accepting = [
            target
            for target in self.targets
            if self._is_up(target)
            and router.policy.accepts(
                target.target, router.counts(target.target.name), self.now
            )
        ]
        if not accepting:
            self.refused += 1
            return
        self.random.shuffle(accepting)
        target = min(
            accepting,
            key=lambda each: router.counts(each.target.name).total,
        )
        self._dispatch(router, target)

    def _is_up(self, target):
        if self.now < target.down_until:
            return False
        if len(target.starts) <= len(target.falls):
            target.starts.append(self.now)
        return True

    def _dispatch(self, router, target):
        self.sent += 1
        name = target.target.name
        router.policy.record_send(target.target, router.counts(name), self.now)
        target.arrived.append(self.now)
        if len(target.running) >= target.usable:
            target.rejected.append(self.now)
            self._record(router, target, target.answer(is_rejection=True))
            if target.max_rejections is not None:
                bears = target.max_rejections
                if (
                    self.now >= FALLS_FROM_SECONDS
                    and target.recent_rejections(self.now) > bears
                ):
                    self.fall(target)
            return
        router.own[name] = router.own.get(name, 0) + 1
        seconds = self.random.uniform(0.2, 1.8) * MEAN_WORK_SECONDS
        target.running.append((router.number, self.now + seconds))

    def _record(self, router, target, answer):
        news = router.policy.record_answer(target.target, answer, self.now)
        if news is not None and router.number not in self.cut:
            self._news[news.key] = news

    def _end_requests(self):
        for target in self.targets:
            ended = [
                number for number, end in target.running if end <= self.now
            ]
            target.running = [
                (number, end)
                for number, end in target.running
                if end > self.now
            ]
            for number in ended:
                self.served += 1
                self.routers[number].own[target.target.name] -= 1
                self._record(self.routers[number], target, target.answer())

    def _tell(self):
        in_touch = [
            router
            for router in self.routers
            if router.number not in self.cut | self.frozen
        ]
        if self.now % REPORT_SECONDS < STEP_SECONDS:
            self._tell_counts(in_touch)
        if self.now % NEWS_SECONDS < STEP_SECONDS:
            news, self._news = tuple(self._news.values()), {}
            for router in in_touch:
                router.policy.notices.merge(news, self.now)
        if self.now % REPEAT_SECONDS < STEP_SECONDS:
            self.repeat(in_touch)

    def repeat(self, in_touch):
        """Let some routers repeat what they know, and all expire."""
        told = {
            record.key: record
            for router in in_touch[:3]
            for record in router.policy.notices.to_repeat(self.now)
        }
        for router in in_touch:
            router.policy.notices.merge(told.values(), self.now)
            router.policy.expire(self.now)

    def _tell_counts(self, in_touch):
        for router in in_touch:
            router.reported = dict(router.own)
        for target in self.targets:
            name = target.target.name
            total = sum(router.reported.get(name, 0) for router in self.routers)
            for router in in_touch:
                router.others[name] = total - router.reported.get(name, 0)


def burst_fleet(routers, max_rejections=5, **changes):
    """Return a fleet that has known for 3 s that its targets are brittle."""
    fleet = BrittleFleet(routers, max_rejections, **changes)
    fleet.run(CONTACT_SECONDS, 0.5)
    return fleet
