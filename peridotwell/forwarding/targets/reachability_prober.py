"""Probes targets that may be unreachable, by connecting to them.

Requests wait for no such connection while there are other targets, or other
routers that reach the target. A sound target may send nothing for a moment, and
is reached then; only one to which no connection can be made is unreachable.
"""

from collections.abc import Iterable, Iterator
from functools import partial

import trio

from peridotwell.domain.target import Target, wire_id
from peridotwell.forwarding.sending.connection_check import can_connect
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.logs import log_event
from peridotwell.policy.health.own_reach import OwnReach
from peridotwell.policy.placement.rendezvous import rendezvous_score

__all__ = ('ReachabilityProber',)

POLL_SECONDS = 0.05
# Time after which a target that has requests and sends nothing is probed.
QUIET_SECONDS = 0.25
# Shortest time between two probes of a target.
MIN_PROBE_SECONDS = 1.0
# A probe connects twice: a packet may be lost, or this process not run for a
# moment.
CONNECT_TIMEOUTS_SECONDS = (0.2, 0.1)
# Most targets that are probed because another one was found unreachable. Each
# that is unreachable too has as many more probed.
MAX_PROBED_PER_FAILURE = 8


class ReachabilityProber:
    """Probes unreachable targets whose ejection has ended, and suspected ones.

    Suspected are targets that send nothing and, once another one was found
    unreachable, those without data of a moment ago.
    """

    def __init__(
        self, tracker: TargetTracker, own_name: str, own_reach: OwnReach
    ) -> None:
        self._own_name = own_name
        self._own_reach = own_reach
        self._directory = tracker.directory
        self._ejection = tracker.ejection
        self._silence = tracker.silence
        self._contacts = tracker.contacts
        self._limits = tracker.silence_limits
        self._probed_at: dict[str, float] = {}
        self._unreachable: frozenset[str] = frozenset()
        # Set when a target gets requests; replaced when there is nothing to do.
        self._has_requests = trio.Event()
        self._silence.on_request(lambda: self._has_requests.set())

    async def run(self) -> None:
        """Probe targets until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self._is_idle():
                    self._has_requests = trio.Event()
                    await self._has_requests.wait()
                await trio.sleep(POLL_SECONDS)
                for target in self._due_targets(trio.current_time()):
                    nursery.start_soon(self._probe, target)

    def _is_idle(self) -> bool:
        """Return whether there is nothing to probe until the next request.

        A target is found unreachable only by a request or by a probe.
        """
        return not (
            self._silence.has_requests()
            or self._probed_at
            or self._unreachable
            or self._ejection.unreachable_targets()
        )

    def _due_targets(self, now: float) -> list[Target]:
        """Return the targets that are to be probed now."""
        self._probed_at = {
            name: probed_at
            for name, probed_at in self._probed_at.items()
            if now - probed_at < MIN_PROBE_SECONDS
        }
        names = {
            *self._ejection.to_probe(now),
            *self._silence.quiet_targets(now, QUIET_SECONDS),
            *self._suspects(now),
        } - self._probed_at.keys()
        if not names:
            return []
        self._probed_at.update(dict.fromkeys(names, now))
        return [
            target for target in self._probed_targets() if target.name in names
        ]

    def _probed_targets(self) -> Iterator[Target]:
        """Yield the targets outside evacuated data centres."""
        for target in self._directory.all_targets():
            if not self._directory.evacuations.covers(target):
                yield target

    def _suspects(self, now: float) -> Iterable[str]:
        """Return targets to probe because others were found unreachable."""
        unreachable = self._ejection.unreachable_targets()
        found = unreachable - self._unreachable
        if unreachable != self._unreachable:
            self._own_reach.set(wire_id(name) for name in unreachable)
        self._unreachable = unreachable
        if not found:
            return ()
        names = [
            target.name
            for target in self._probed_targets()
            if target.name not in unreachable
            and target.name not in self._probed_at
            and not self._contacts.is_recent(target.name, now)
        ]
        # Different routers probe different targets.
        names.sort(key=partial(rendezvous_score, self._own_name))
        return names[: len(found) * MAX_PROBED_PER_FAILURE]

    async def _probe(self, target: Target) -> None:
        started_at = trio.current_time()
        if await _is_reachable(target):
            if self._ejection.record_reachable(target.name):
                log_event('target.reached', target=target.name)
            return
        now = trio.current_time()
        self._ejection.record_failure(target.name, now, is_unreachable=True)
        self._limits.end_waits(target.name, started_at, now)


async def _is_reachable(target: Target) -> bool:
    for timeout_seconds in CONNECT_TIMEOUTS_SECONDS:
        if await can_connect(target, timeout_seconds):
            return True
    return False
