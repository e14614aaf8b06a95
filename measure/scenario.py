"""One run: chats that return, on one fleet, under one kind of trouble."""

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

__all__ = ('Size', 'Outcome', 'SIZES', 'TROUBLES', 'run_scenario')

SERVICE_SECONDS = 5
THINK_SECONDS = 15
LOAD_PER_ENGINE = 8
# Routers do not lend before they have heard from each other.
SETTLE_SECONDS = 4
WARM_UP_SECONDS = 15
MEASURED_SECONDS = 30
CACHE_FACTOR = 2
LIST_DELAY_SECONDS = 1
SURGE_CUSTOMER = 'surging'
SLOTS_UNDER_SURGE = 10
MAX_REFUSALS = 6
# The bound is a multiple of the mean load of the last second.
MEAN_AGE_SECONDS = 1
RECENT_SAMPLES = 10


@dataclass(frozen=True)
class Size:
    """A fleet; large ones are measured as one of their data centres."""

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
    """What a run counted."""

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
        """Returning turns that found their prefix cached."""
        return self.reused / max(self.returning, 1)


@dataclass
class Scenario:
    """The state of one run."""

    fleet: SimulatedFleet
    policy: Policy
    bound: float
    outcome: Outcome = field(default_factory=Outcome)
    measuring: bool = False
    surging: bool = False
    recent_caps: deque[int] = field(
        default_factory=lambda: deque(maxlen=RECENT_SAMPLES),
    )

    async def sample(self) -> None:
        """Remember the bound of the last second, the mean's allowed age."""
        while True:
            self.recent_caps.append(self.fleet.cap(self.bound))
            await trio.sleep(MEAN_AGE_SECONDS / RECENT_SAMPLES)

    async def chat(self, number: int) -> None:
        """Take the turns of one chat for ever."""
        rng = random.Random(f'{number}')
        customer = f'customer-{number % 10}'
        chat = f'chat-{number}'
        last = ''
        # Start in the steady state: some chats are in a turn, others pause.
        await trio.sleep(SETTLE_SECONDS)
        busy = SERVICE_SECONDS / (SERVICE_SECONDS + THINK_SECONDS)
        if rng.random() > busy:
            await trio.sleep(rng.expovariate(1 / THINK_SECONDS))
        while True:
            engine = await self.turn(chat, last, customer, rng)
            last = engine.name if engine else last
            await trio.sleep(rng.expovariate(1 / THINK_SECONDS))

    async def surge(self, number: int) -> None:
        """Send single turns of one customer while the surge lasts."""
        rng = random.Random(f'surge-{number}')
        while True:
            if self.surging:
                chat = f'surge-{number}-{rng.random()}'
                await self.turn(chat, '', SURGE_CUSTOMER, rng)
            await trio.sleep(rng.expovariate(1 / SERVICE_SECONDS))

    async def turn(
        self,
        chat: str,
        last: str,
        customer: str,
        rng: random.Random,
    ) -> SimulatedEngine | None:
        """Take one turn through a random router."""
        router = rng.choice(self.fleet.routers)
        engine = await self._place(router, chat, last, customer)
        if engine is None:
            if self.measuring:
                self.outcome.refused += 1
                self.outcome.refused_quiet += customer != SURGE_CUSTOMER
            return None
        self._note_dispatch(engine)
        self._note_turn(engine, chat, last)
        engine.outstanding += 1
        await trio.sleep(rng.expovariate(1 / SERVICE_SECONDS))
        engine.outstanding -= 1
        self.policy.release(router, engine)
        return engine

    async def _place(
        self,
        router: SimulatedRouter,
        chat: str,
        last: str,
        customer: str,
    ) -> SimulatedEngine | None:
        avoided: frozenset[str] = frozenset()
        for _ in range(MAX_REFUSALS):
            engine = await self.policy.choose(
                router,
                chat,
                last,
                avoided,
                customer,
            )
            if engine is None or not engine.leaving:
                return engine
            # The engine refuses: the router did not know yet that it leaves.
            self.outcome.turned_away += self.measuring
            self.policy.release(router, engine)
            avoided |= {engine.name}
        return None

    def _note_dispatch(self, engine: SimulatedEngine) -> None:
        if not self.measuring:
            return
        cap = max(self.fleet.cap(self.bound), max(self.recent_caps, default=0))
        excess = engine.outstanding + 1 - cap
        mean = (self.fleet.outstanding() + 1) / len(self.fleet.live())
        outcome = self.outcome
        outcome.dispatches += 1
        outcome.over_bound += excess > 0
        outcome.worst_excess = max(outcome.worst_excess, excess)
        outcome.worst_ratio = max(
            outcome.worst_ratio,
            (engine.outstanding + 1) / mean,
        )

    def _note_turn(self, engine: SimulatedEngine, chat: str, last: str) -> None:
        was_cached = engine.touch(chat)
        if not self.measuring:
            return
        self.outcome.turns += 1
        if last:
            before = self.fleet.engines.get(last)
            is_live = before is not None and not before.leaving
            self.outcome.returning += 1
            self.outcome.reused += was_cached
            self.outcome.moved += is_live and engine.name != last

    async def measure(self) -> None:
        """Count from the end of the warm-up to the end of the run."""
        await trio.sleep(WARM_UP_SECONDS)
        self.measuring = True
        before = self._sent_bytes()
        await trio.sleep(MEASURED_SECONDS)
        self.measuring = False
        sent = self._sent_bytes() - before
        per_router = sent / len(self.fleet.routers)
        self.outcome.control_bytes = per_router / MEASURED_SECONDS
        self.outcome.asked = sum(
            router.credit.counters.asked for router in self.fleet.routers
        )

    def _sent_bytes(self) -> int:
        return sum(router.transport.sent_bytes for router in self.fleet.routers)


Trouble = Callable[[Scenario], Awaitable[None]]


async def steady(run: Scenario) -> None:
    """Nothing happens."""


async def churn(run: Scenario) -> None:
    """Every 3 s one engine leaves and an empty one joins."""
    await trio.sleep(WARM_UP_SECONDS)
    for number in range(MEASURED_SECONDS // 3):
        leaving = run.fleet.rng.choice(run.fleet.live())
        leaving.leaving = True
        run.fleet.add_engine(f'joined-{number}')
        run.outcome.changes += 2
        await run.fleet.tell_all(LIST_DELAY_SECONDS)
        await trio.sleep(2)


async def flapping(run: Scenario) -> None:
    """One engine in ten leaves and comes back every 2 s."""
    await trio.sleep(WARM_UP_SECONDS)
    engines = list(run.fleet.engines.values())
    flappers = engines[: max(1, len(engines) // 10)]
    for _ in range(MEASURED_SECONDS // 2):
        for engine in flappers:
            engine.leaving = not engine.leaving
            run.outcome.changes += 1
        await run.fleet.tell_all(LIST_DELAY_SECONDS)
        await trio.sleep(1)


async def surge(run: Scenario) -> None:
    """One customer sends four times the usual load for 20 s."""
    await trio.sleep(WARM_UP_SECONDS + 5)
    run.surging = True
    await trio.sleep(20)
    run.surging = False


async def partition(run: Scenario) -> None:
    """Two halves of the routers do not hear each other for 10 s."""
    await trio.sleep(WARM_UP_SECONDS + 5)
    names = [router.name for router in run.fleet.routers]
    half = set(names[: len(names) // 2])
    run.fleet.network.is_cut = lambda source, sink: (
        (source in half) != (sink in half)
    )
    await trio.sleep(10)
    run.fleet.network.is_cut = lambda source, sink: False


TROUBLES: dict[str, Trouble] = {
    'steady': steady,
    'churn': churn,
    'flapping': flapping,
    'lagging load': steady,
    'surge of one customer': surge,
    'partition': partition,
}
LAGS = Counter({'lagging load': 3})


async def _run(run: Scenario, trouble: str, chats: int) -> None:
    async with trio.open_nursery() as nursery:
        run.fleet.start(nursery)
        nursery.start_soon(run.policy.refresh)
        nursery.start_soon(run.sample)
        for number in range(chats):
            nursery.start_soon(run.chat, number)
        if trouble == 'surge of one customer':
            for number in range(chats):
                nursery.start_soon(run.surge, number)
        nursery.start_soon(TROUBLES[trouble], run)
        await run.measure()
        nursery.cancel_scope.cancel()


def run_scenario(
    size: Size,
    policy: type[Policy],
    trouble: str,
    bound: float = 1.25,
    *,
    seed: int = 1,
    **options: bool,
) -> Outcome:
    """Run one scenario in virtual time and return its counts."""
    chats = size.engines * LOAD_PER_ENGINE
    chats = chats * (SERVICE_SECONDS + THINK_SECONDS) // SERVICE_SECONDS
    has_slots = trouble == 'surge of one customer'
    fleet = SimulatedFleet(
        size.routers,
        size.engines,
        CACHE_FACTOR * chats // size.engines,
        seed,
        Defaults(load_bound=bound),
        SLOTS_UNDER_SURGE if has_slots else 0,
    )
    lag = LAGS[trouble] or 1
    run = Scenario(fleet, policy(fleet, lag, **options), bound)
    clock = MockClock(autojump_threshold=0)
    trio.run(_run, run, trouble, chats, clock=clock)
    return run.outcome
