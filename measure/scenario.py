"""Simulates returning chats on one fleet under one condition, such as churn."""

import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from trio.testing import MockClock

from measure.policies import Policy
from measure.simulated_fleet import (
    SimulatedEngine,
    SimulatedFleet,
    SimulatedRouter,
)
from peridotwell.domain.configuration import Defaults

__all__ = ('Size', 'Outcome', 'SIZES', 'CONDITIONS', 'run_scenario')

MEAN_SERVICE_SECONDS = 5
MEAN_PAUSE_SECONDS = 15
MEAN_CALLS_PER_ENGINE = 8
# Delay before the first call; routers lend credits only after they have heard
# from each other.
SETTLE_SECONDS = 4
WARM_UP_SECONDS = 15
MEASURED_SECONDS = 30
# Chats that an engine can cache, as a multiple of its share of all chats.
CACHED_CHATS_FACTOR = 2
# Longest delay until a router sees a change of the target list.
MAX_LIST_DELAY_SECONDS = 1
SURGE_CUSTOMER = 'surging'
SLOTS_IN_SURGE = 10
MAX_ATTEMPTS = 6
# Allowed age of the mean load: a call is above the load bound only if it
# exceeds the highest load limit within this time.
MEAN_LOAD_AGE_SECONDS = 1
LIMIT_SAMPLES = 10


@dataclass(frozen=True)
class Size:
    """The size of a fleet.

    `routers` and `engines` are the numbers that are simulated: of a large
    fleet, those of one data centre.
    """

    name: str
    routers: int
    engines: int


SIZES = (
    Size('3 routers, 6 engines', 3, 6),
    Size('9 routers, 60 engines', 9, 60),
    Size('400 routers, 1200 engines (1 of 40 data centres)', 10, 30),
    Size('2000 routers, 1200 engines (1 of 40 data centres)', 50, 30),
)


@dataclass
class Outcome:
    """The counts of one run, taken after its warm-up.

    turns, returning: all turns, and those of chats with a previous turn.
    reused: returning turns whose prefix was cached.
    moved: returning turns on a new engine though the previous one was live.
    refused, refused_quiet: refused turns; those of customers other than the
    surging one.
    turned_away: calls that reached an engine which was leaving.
    dispatches, over_bound: calls on engines; those above the load bound.
    worst_ratio: highest load of an engine, divided by the mean load.
    worst_excess: most calls of an engine above the load bound.
    control_bytes: bytes a second that one router sent to the others.
    asked: credit requests between routers during the whole run.
    changes: engines that left or joined.
    """

    turns: int = 0
    returning: int = 0
    reused: int = 0
    moved: int = 0
    refused: int = 0
    refused_quiet: int = 0
    turned_away: int = 0
    dispatches: int = 0
    over_bound: int = 0
    worst_ratio: float = 0
    worst_excess: int = 0
    control_bytes: float = 0
    asked: int = 0
    changes: int = 0

    @property
    def reuse(self) -> float:
        """The fraction of returning turns whose prefix was cached."""
        return self.reused / max(self.returning, 1)


@dataclass
class Scenario:
    """The state of one run.

    `recent_limits` holds samples of the load limit over the last second.
    """

    fleet: SimulatedFleet
    policy: Policy
    bound: float
    outcome: Outcome = field(default_factory=Outcome)
    is_counting: bool = False
    is_surging: bool = False
    recent_limits: deque[int] = field(
        default_factory=lambda: deque(maxlen=LIMIT_SAMPLES),
    )

    async def sample_limits(self) -> None:
        """Sample the load limit, and keep the samples of the last second."""
        while True:
            self.recent_limits.append(self.fleet.load_limit(self.bound))
            await trio.sleep(MEAN_LOAD_AGE_SECONDS / LIMIT_SAMPLES)

    async def run_chat(self, number: int) -> None:
        """Run the turns of one chat until cancelled."""
        rng = random.Random(f'{number}')
        customer = f'customer-{number % 10}'
        chat = f'chat-{number}'
        previous_engine = ''
        # Starts in the steady state: some chats are in a turn, others pause.
        await trio.sleep(SETTLE_SECONDS)
        busy_fraction = MEAN_SERVICE_SECONDS / (
            MEAN_SERVICE_SECONDS + MEAN_PAUSE_SECONDS
        )
        if rng.random() > busy_fraction:
            await trio.sleep(rng.expovariate(1 / MEAN_PAUSE_SECONDS))
        while True:
            engine = await self.run_turn(chat, previous_engine, customer, rng)
            previous_engine = engine.name if engine else previous_engine
            await trio.sleep(rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    async def run_surge(self, number: int) -> None:
        """Send chats of one turn for one customer while the surge lasts."""
        rng = random.Random(f'surge-{number}')
        while True:
            if self.is_surging:
                chat = f'surge-{number}-{rng.random()}'
                await self.run_turn(chat, '', SURGE_CUSTOMER, rng)
            await trio.sleep(rng.expovariate(1 / MEAN_SERVICE_SECONDS))

    async def run_turn(
        self,
        chat: str,
        previous_engine: str,
        customer: str,
        rng: random.Random,
    ) -> SimulatedEngine | None:
        """Run one turn through a random router.

        Returns the engine that served it, or None if the turn was refused.
        """
        router = rng.choice(self.fleet.routers)
        engine = await self._place(router, chat, previous_engine, customer)
        if engine is None:
            if self.is_counting:
                self.outcome.refused += 1
                self.outcome.refused_quiet += customer != SURGE_CUSTOMER
            return None
        self._count_dispatch(engine)
        self._count_turn(engine, chat, previous_engine)
        engine.outstanding_calls += 1
        await trio.sleep(rng.expovariate(1 / MEAN_SERVICE_SECONDS))
        engine.outstanding_calls -= 1
        self.policy.release(router, engine)
        return engine

    async def _place(
        self,
        router: SimulatedRouter,
        chat: str,
        previous_engine: str,
        customer: str,
    ) -> SimulatedEngine | None:
        excluded_targets: frozenset[str] = frozenset()
        for _ in range(MAX_ATTEMPTS):
            engine = await self.policy.choose(
                router,
                chat,
                previous_engine,
                excluded_targets,
                customer,
            )
            if engine is None or not engine.leaving:
                return engine
            # The engine refuses the call, as it is leaving; the router does not
            # know that yet.
            self.outcome.turned_away += self.is_counting
            self.policy.release(router, engine)
            excluded_targets |= {engine.name}
        return None

    def _count_dispatch(self, engine: SimulatedEngine) -> None:
        if not self.is_counting:
            return
        limit = max(
            self.fleet.load_limit(self.bound),
            max(self.recent_limits, default=0),
        )
        excess = engine.outstanding_calls + 1 - limit
        mean_load = (self.fleet.outstanding_calls() + 1) / len(
            self.fleet.live_engines()
        )
        outcome = self.outcome
        outcome.dispatches += 1
        outcome.over_bound += excess > 0
        outcome.worst_excess = max(outcome.worst_excess, excess)
        outcome.worst_ratio = max(
            outcome.worst_ratio,
            (engine.outstanding_calls + 1) / mean_load,
        )

    def _count_turn(
        self, engine: SimulatedEngine, chat: str, previous_engine: str
    ) -> None:
        was_cached = engine.cache_chat(chat)
        if not self.is_counting:
            return
        self.outcome.turns += 1
        if previous_engine:
            previous = self.fleet.engines.get(previous_engine)
            previous_is_live = previous is not None and not previous.leaving
            self.outcome.returning += 1
            self.outcome.reused += was_cached
            self.outcome.moved += (
                previous_is_live and engine.name != previous_engine
            )

    async def count_measured_period(self) -> None:
        """Count outcomes from the end of the warm-up for MEASURED_SECONDS."""
        await trio.sleep(WARM_UP_SECONDS)
        self.is_counting = True
        bytes_before = self._sent_bytes()
        await trio.sleep(MEASURED_SECONDS)
        self.is_counting = False
        sent = self._sent_bytes() - bytes_before
        bytes_per_router = sent / len(self.fleet.routers)
        self.outcome.control_bytes = bytes_per_router / MEASURED_SECONDS
        self.outcome.asked = sum(
            router.credit.counters.asked for router in self.fleet.routers
        )

    def _sent_bytes(self) -> int:
        return sum(router.transport.sent_bytes for router in self.fleet.routers)


Condition = Callable[[Scenario], Awaitable[None]]


async def steady(scenario: Scenario) -> None:
    """Change nothing."""


async def churn(scenario: Scenario) -> None:
    """Every 3 s, let one engine leave and one with an empty cache join."""
    await trio.sleep(WARM_UP_SECONDS)
    for number in range(MEASURED_SECONDS // 3):
        leaving = scenario.fleet.rng.choice(scenario.fleet.live_engines())
        leaving.leaving = True
        scenario.fleet.add_engine(f'joined-{number}')
        scenario.outcome.changes += 2
        await scenario.fleet.announce_targets(MAX_LIST_DELAY_SECONDS)
        await trio.sleep(2)


async def flapping(scenario: Scenario) -> None:
    """Let one engine in ten leave or come back every 2 s."""
    await trio.sleep(WARM_UP_SECONDS)
    engines = list(scenario.fleet.engines.values())
    flapping_engines = engines[: max(1, len(engines) // 10)]
    for _ in range(MEASURED_SECONDS // 2):
        for engine in flapping_engines:
            engine.leaving = not engine.leaving
            scenario.outcome.changes += 1
        await scenario.fleet.announce_targets(MAX_LIST_DELAY_SECONDS)
        await trio.sleep(1)


async def surge(scenario: Scenario) -> None:
    """Let one customer send four times the usual load for 20 s."""
    await trio.sleep(WARM_UP_SECONDS + 5)
    scenario.is_surging = True
    await trio.sleep(20)
    scenario.is_surging = False


async def partition(scenario: Scenario) -> None:
    """Cut the network between two halves of the routers for 10 s."""
    await trio.sleep(WARM_UP_SECONDS + 5)
    names = [router.name for router in scenario.fleet.routers]
    half = set(names[: len(names) // 2])
    scenario.fleet.network.is_cut = lambda source, destination: (
        (source in half) != (destination in half)
    )
    await trio.sleep(10)
    scenario.fleet.network.is_cut = lambda source, destination: False


CONDITIONS: dict[str, Condition] = {
    'steady': steady,
    'churn': churn,
    'flapping': flapping,
    'lagging load': steady,
    'surge of one customer': surge,
    'partition': partition,
}
REPORT_AGE_SECONDS = Counter({'lagging load': 3})


async def _run(scenario: Scenario, condition: str, chats: int) -> None:
    async with trio.open_nursery() as nursery:
        scenario.fleet.start(nursery)
        nursery.start_soon(scenario.policy.refresh_reports)
        nursery.start_soon(scenario.sample_limits)
        for number in range(chats):
            nursery.start_soon(scenario.run_chat, number)
        if condition == 'surge of one customer':
            for number in range(chats):
                nursery.start_soon(scenario.run_surge, number)
        nursery.start_soon(CONDITIONS[condition], scenario)
        await scenario.count_measured_period()
        nursery.cancel_scope.cancel()


def run_scenario(
    size: Size,
    policy: type[Policy],
    condition: str,
    bound: float = 1.25,
    *,
    seed: int = 1,
    **options: bool,
) -> Outcome:
    """Run one scenario in virtual time and return its counts.

    `bound` is the load bound as a multiple of the mean load; `options` go to
    the policy.
    """
    chats = size.engines * MEAN_CALLS_PER_ENGINE
    chats = (
        chats
        * (MEAN_SERVICE_SECONDS + MEAN_PAUSE_SECONDS)
        // MEAN_SERVICE_SECONDS
    )
    is_surge = condition == 'surge of one customer'
    fleet = SimulatedFleet(
        size.routers,
        size.engines,
        CACHED_CHATS_FACTOR * chats // size.engines,
        seed,
        Defaults(load_bound=bound),
        SLOTS_IN_SURGE if is_surge else 0,
    )
    report_age_seconds = REPORT_AGE_SECONDS[condition] or 1
    scenario = Scenario(
        fleet, policy(fleet, report_age_seconds, **options), bound
    )
    clock = MockClock(autojump_threshold=0)
    trio.run(_run, scenario, condition, chats, clock=clock)
    return scenario.outcome
