"""Policies for choosing an engine, which the measurements compare."""

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
from peridotwell.policy.placement.placement import (
    RendezvousPlacement,
    placement_hint,
)
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
    """A policy for choosing an engine for the next turn of a chat.

    `reported_loads` holds each engine's outstanding calls as last reported.
    """

    name = ''

    def __init__(
        self, fleet: SimulatedFleet, report_age_seconds: float
    ) -> None:
        self.fleet = fleet
        self.report_age_seconds = report_age_seconds
        self.reported_loads: dict[str, int] = {}

    async def refresh_reports(self) -> None:
        """Read the loads of all engines every `report_age_seconds`."""
        while True:
            self.reported_loads = {
                engine.name: engine.outstanding_calls
                for engine in self.fleet.engines.values()
            }
            await trio.sleep(self.report_age_seconds)

    def live_targets(self, router: SimulatedRouter) -> Sequence[Target]:
        """Return the engines that the router considers live."""
        return router.membership.usable_targets(POOL, trio.current_time())

    async def choose(
        self,
        router: SimulatedRouter,
        chat: str,
        previous_engine: str,
        excluded_targets: frozenset[str],
        customer: str,
    ) -> SimulatedEngine | None:
        """Return an engine that the router considers live and not excluded.

        `previous_engine` served the chat's previous turn, or is empty. Returns
        None if the call is refused.
        """
        targets = [
            target
            for target in self.live_targets(router)
            if target.name not in excluded_targets
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
        """Record the end of a call."""


class RandomPolicy(Policy):
    """Chooses a random engine."""

    name = 'random'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return a random target."""
        return self.fleet.rng.choice(targets)


class LeastLoadedPolicy(Policy):
    """Chooses the engine with the least reported load."""

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
                self.reported_loads.get(target.name, 0),
                self.fleet.rng.random(),
            ),
        )


class TwoChoicesPolicy(Policy):
    """Chooses the engine with less reported load of two random engines."""

    name = 'two choices'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the target with less reported load of two random ones."""
        pair = self.fleet.rng.choices(targets, k=2)
        return min(
            pair, key=lambda target: self.reported_loads.get(target.name, 0)
        )


class PlainRendezvousPolicy(Policy):
    """Chooses the chat's first engine by rendezvous hashing, at any load."""

    name = 'plain rendezvous'

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the chat's first target in rendezvous order."""
        return next(RendezvousPlacement().order(chat, targets))


class ReportedLoadBoundPolicy(PlainRendezvousPolicy):
    """Chooses in rendezvous order, but bounds the reported load.

    An engine qualifies while its reported load is below `bound` times the mean.
    """

    name = 'bounded on reports'
    bound = 1.25

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the chat's first target with a load below the limit.

        Returns the first target in rendezvous order if none is below it.
        """
        total_load = sum(
            self.reported_loads.get(target.name, 0) for target in targets
        )
        load_limit = self.bound * (total_load + 1) / len(targets)
        preferred_targets = list(RendezvousPlacement().order(chat, targets))
        for target in preferred_targets:
            if self.reported_loads.get(target.name, 0) < load_limit:
                return target
        return preferred_targets[0]


class CreditPolicy(Policy):
    """Uses the routers' own placer, with hints and loads bounded by credits.

    `use_hints` passes the engine of the previous turn as a placement hint.
    """

    name = 'credits'

    def __init__(
        self,
        fleet: SimulatedFleet,
        report_age_seconds: float,
        *,
        use_hints: bool = True,
    ) -> None:
        super().__init__(fleet, report_age_seconds)
        self.use_hints = use_hints
        self._placements: dict[tuple[str, str], list[PlacementRequest]] = {}
        self._request_numbers = itertools.count()

    async def choose(
        self,
        router: SimulatedRouter,
        chat: str,
        previous_engine: str,
        excluded_targets: frozenset[str],
        customer: str,
    ) -> SimulatedEngine | None:
        """Place a call with the routers' own code."""
        hint = ''
        if (
            previous_engine
            and self.use_hints
            and previous_engine in self.fleet.engines
        ):
            hint = placement_hint(
                self.fleet.engines[previous_engine].to_target()
            )
        call = CallerRequest(
            request_id=str(next(self._request_numbers)),
            customer=customer,
            priority_class='normal',
            method='POST',
            path=CONTRACT.prefix,
            body=b'',
            contract=CONTRACT,
            deadline_at=trio.current_time() + DEADLINE_SECONDS,
            chat=chat,
            placement_hint=hint,
        )
        placement_request = PlacementRequest(call, excluded_targets)
        try:
            target = await router.placer.place(placement_request)
        except RequestError:
            return None
        placements = self._placements.setdefault((router.name, target.name), [])
        placements.append(placement_request)
        return self.fleet.engines[target.name]

    def pick(
        self,
        router: SimulatedRouter,
        chat: str,
        targets: Sequence[Target],
    ) -> Target:
        """Return the first target; unused, as `choose` is overridden."""
        return targets[0]

    def release(self, router: SimulatedRouter, engine: SimulatedEngine) -> None:
        """Return the credit that the call holds."""
        placement_request = self._placements[router.name, engine.name].pop()
        router.placer.release(placement_request, engine.to_target())
