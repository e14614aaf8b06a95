"""Which target runs a request."""

from collections.abc import Callable, Collection, Sequence

from peridotwell.errors import NoTarget
from peridotwell.fleet.directory import Directory
from peridotwell.forwarding.dialect import ForwardCall, ReportedLoad
from peridotwell.policy.affinity import choose_engine, choose_least
from peridotwell.policy.ejection import Ejection
from peridotwell.policy.target_load import LoadReport, TargetLoad
from peridotwell.world.bounds import Bounds
from peridotwell.world.target import Target

__all__ = ('Placement',)

# A target that registers or is let back is known about this soon.
RETRY_AFTER_SECONDS = 0.5


class Placement:
    """The load of every target, and the choice among them."""

    def __init__(
        self,
        directory: Directory,
        ejection: Ejection,
        data_centre: str,
        bounds: Bounds,
        count_routers: Callable[[float], int],
    ) -> None:
        self._directory = directory
        self._ejection = ejection
        self._data_centre = data_centre
        self._bounds = bounds
        self._count_routers = count_routers
        self._loads: dict[str, TargetLoad] = {}
        directory.on_change(self._forget_gone)

    def load(self, target: Target) -> TargetLoad:
        """Return the load record of a target."""
        return self._loads.setdefault(target.name, TargetLoad())

    def reported(self, target: Target, load: ReportedLoad, now: float) -> None:
        """Take over a load that a target reported."""
        report = LoadReport(load.running, load.waiting, now)
        self.load(target).reported(report)

    def choose(
        self,
        call: ForwardCall,
        tried: Collection[str],
        now: float,
    ) -> Target:
        """Return the target for a call. Raises NoTarget."""
        targets = self._candidates(call.service, tried, now)
        if not targets:
            raise NoTarget(
                f'No target of {call.service} takes work: send the request '
                'again later.',
                retry_after=RETRY_AFTER_SECONDS,
            )
        routers = self._count_routers(now)
        loads = {
            target.name: self.load(target).estimate(now, routers)
            for target in targets
        }
        if call.prompt is not None:
            return choose_engine(
                call.prompt.subject,
                targets,
                loads,
                self._bounds.load_factor,
            )
        return choose_least(
            targets,
            loads,
            self._data_centre,
            call.request_id,
        )

    def _candidates(
        self,
        service: str,
        tried: Collection[str],
        now: float,
    ) -> Sequence[Target]:
        listed = self._directory.targets(service)
        usable = self._ejection.usable(listed, now)
        fresh = [target for target in usable if target.name not in tried]
        if fresh:
            return fresh
        return [target for target in listed if target.name not in tried]

    def _forget_gone(self) -> None:
        known = {target.name for target in self._directory.all_targets()}
        self._ejection.forget(known)
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in known or load.own
        }
