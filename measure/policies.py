"""The ways of choosing an engine that are compared."""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Sequence

import trio

from measure.simulated_fleet import (
    POOL,
    SimulatedEngine,
    SimulatedFleet,
    SimulatedRouter,
)
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.contract import Contract
from peridotwell.domain.target import Target
from peridotwell.errors import RequestError
from peridotwell.policy.placement import RendezvousPlacement, placement_hint
from peridotwell.serving.placer import PlacementRequest

__all__ = (
    'Policy',
    'RandomPolicy',
    'LeastLoadedPolicy',
    'TwoChoicesPolicy',
    'PlainRendezvousPolicy',
    'ReportedLoadBoundPolicy',
    'CreditPolicy',
)

CONTRACT = Contract('/v1/chat/completions', 'ink', ('POST',))
DEADLINE_SECONDS = 30


class Policy(ABC):
    """One way of choosing an engine for a chat's next turn."""

    name = ''

    def __init__(self, fleet: SimulatedFleet, lag_seconds: float) -> None:
        self.fleet = fleet
        self.lag_seconds = lag_seconds
        self.reports: dict[str, int] = {}

    async def refresh(self) -> None:
        """Take new load reports, each `lag_seconds` old when used next."""
        while True:
            self.reports = {
                engine.name: engine.outstanding
                for engine in self.fleet.engines.values()
            }
            await trio.sleep(self.lag_seconds)

    def known(self, router: SimulatedRouter) -> Sequence[Target]:
        """Return the engines that the router takes for live."""
        return router.membership.usable_targets(POOL, trio.current_time())

    async def choose(
        self,
        router: SimulatedRouter,
        chat: str,
        last: str,
        avoided: frozenset[str],
        customer: str,
    ) -> SimulatedEngine | None:
        """Return an engine that is believed to be live; None refuses."""
        targets = [
            target
            for target in self.known(router)
            if target.name not in avoided
        ]
        if not targets:
            return None
        return self.fleet.engines[self.pick(router, chat, targets).name]

    @abstractmethod
    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return one of `targets`."""

    def release(  # noqa: B027
        self,
        router: SimulatedRouter,
        engine: SimulatedEngine,
    ) -> None:
        """Book the end of a call."""


class RandomPolicy(Policy):
    """Any engine."""

    name = 'random'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return any target."""
        return self.fleet.rng.choice(targets)


class LeastLoadedPolicy(Policy):
    """The engine with the least reported load."""

    name = 'least loaded'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the target with the least reported load."""
        return min(
            targets,
            key=lambda target: (
                self.reports.get(target.name, 0),
                self.fleet.rng.random(),
            ),
        )


class TwoChoicesPolicy(Policy):
    """The less loaded of two random engines, by reports."""

    name = 'two choices'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the less loaded of two random targets."""
        pair = self.fleet.rng.choices(targets, k=2)
        return min(pair, key=lambda target: self.reports.get(target.name, 0))


class PlainRendezvousPolicy(Policy):
    """The chat's first engine by rendezvous hashing, whatever its load."""

    name = 'plain rendezvous'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the first target of the chat's order."""
        return next(RendezvousPlacement().order(chat, targets))


class ReportedLoadBoundPolicy(PlainRendezvousPolicy):
    """Rendezvous order, bounded on reports and own dispatches since."""

    name = 'bounded on reports'
    bound = 1.25

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the first target whose reported load is under the bound."""
        total = sum(self.reports.get(target.name, 0) for target in targets)
        cap = self.bound * (total + 1) / len(targets)
        order = list(RendezvousPlacement().order(chat, targets))
        for target in order:
            if self.reports.get(target.name, 0) < cap:
                return target
        return order[0]


class CreditPolicy(Policy):
    """The product's placer: rendezvous and hints, bounded by credits."""

    name = 'credits'

    def __init__(
        self,
        fleet: SimulatedFleet,
        lag_seconds: float,
        *,
        use_hints: bool = True,
    ) -> None:
        super().__init__(fleet, lag_seconds)
        self.use_hints = use_hints
        self._wishes: dict[tuple[str, str], list[PlacementRequest]] = {}
        self._numbers = itertools.count()

    async def choose(
        self,
        router: SimulatedRouter,
        chat: str,
        last: str,
        avoided: frozenset[str],
        customer: str,
    ) -> SimulatedEngine | None:
        """Place a call with the product's own code."""
        hint = ''
        if last and self.use_hints and last in self.fleet.engines:
            hint = placement_hint(self.fleet.engines[last].target())
        call = CallerRequest(
            request_id=str(next(self._numbers)),
            customer=customer,
            priority_class='normal',
            method='POST',
            path=CONTRACT.prefix,
            body=b'',
            contract=CONTRACT,
            deadline_at=trio.current_time() + DEADLINE_SECONDS,
            chat=chat,
            hint=hint,
        )
        wish = PlacementRequest(call, avoided)
        try:
            target = await router.placer.place(wish)
        except RequestError:
            return None
        held = self._wishes.setdefault((router.name, target.name), [])
        held.append(wish)
        return self.fleet.engines[target.name]

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the first target; unused, `choose` places calls."""
        return targets[0]

    def release(self, router: SimulatedRouter, engine: SimulatedEngine) -> None:
        """Return the credit."""
        wish = self._wishes[router.name, engine.name].pop()
        router.placer.release(wish, engine.target())
