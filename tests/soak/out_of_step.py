"""Routers that are out of step while a target of a new version joins.

They are cut off from the store and all other routers, a data centre together or
one alone, or stand still. Callers begin streams at the new target through other
routers, lose the connection, and take them up at a router out of step. Requests
that routers hand over to each other are not cut.
"""

import itertools
import random
import signal
from collections.abc import Collection
from contextlib import ExitStack
from dataclasses import dataclass

import httpcore
import trio

from tests.soak.callers import exchange, request_headers
from tests.soak.cluster import Router, SoakCluster, Target
from tests.soak.control import Remote
from tests.soak.events import numbered_events
from tests.soak.records import RouterDisturbed, Sent, TakenUp, now
from tests.soak.site import STREAMING
from tests.soak.versions import BASE_KEY

__all__ = ('OUT_OF_STEP', 'OutOfStepFaults')

OUT_OF_STEP = 'out_of_step'
KINDS = ('data_centre', 'data_centre', 'one', 'still')
MIN_SECONDS, MAX_SECONDS = 0.5, 10.0
MAX_STILL_SECONDS = 4.0
MAX_GAP_SECONDS = 2.0
MAX_SHARE_BEFORE = 0.5
MIN_TARGETS = 2
MAX_CONFIRMATIONS = 10
# All routers know after less that a target has gone.
GONE_SECONDS = 2.0
# The last streams are taken up so long after the routers are in touch again.
AFTER_SECONDS = 2.0
CALLERS = 6
PAUSE_SECONDS = 0.05
PROCESS = 'injector'


@dataclass(frozen=True)
class _Case:
    """How routers are out of step, for how many seconds in all.

    The target joins after a share of that time; the next case follows a gap.
    """

    kind: str
    routers: list[Router]
    seconds: float
    share_before: float
    gap: float


class OutOfStepFaults:
    """Puts routers out of step during one release after the other."""

    def __init__(
        self, cluster: SoakCluster, seed: int, names: Collection[str]
    ) -> None:
        self._cluster = cluster
        self._is_chosen = OUT_OF_STEP in names
        self._random = random.Random(f'out of step {seed}')
        self._call_random = random.Random(f'out of step calls {seed}')
        self._numbers = itertools.count(1)
        self._versions = itertools.count(1)

    async def run(self, injected: list[str]) -> None:
        """Start one release after the other until cancelled."""
        while self._is_chosen:
            case = self._draw_case()
            while len(self._streaming_targets()) < MIN_TARGETS:
                await trio.sleep(PAUSE_SECONDS)
            target = self._call_random.choice(self._streaming_targets())
            names = ' '.join(router.name for router in case.routers)
            injected.append(f'{case.kind} {names} at {now():.1f}')
            await self._cluster.publish_target(target, 'gone')
            await trio.sleep(GONE_SECONDS)
            for router in case.routers:
                await self._confirm(router, case.routers)
            await self._release(case, target)
            await trio.sleep(case.gap)

    def _draw_case(self) -> _Case:
        """Draw a case; it depends on the seed and its number alone."""
        kind = self._random.choice(KINDS)
        longest = MAX_STILL_SECONDS if kind == 'still' else MAX_SECONDS
        return _Case(
            kind,
            self._choose_routers(kind),
            seconds=self._random.uniform(MIN_SECONDS, longest),
            share_before=self._random.uniform(0, MAX_SHARE_BEFORE),
            gap=self._random.uniform(0, MAX_GAP_SECONDS),
        )

    async def _confirm(self, router: Router, routers: list[Router]) -> None:
        """Let a router take up streams until one goes on.

        Then it knows which versions have served.
        """
        for _ in range(MAX_CONFIRMATIONS):
            began = self._make_request(self._choose_other(routers))
            number, receipt = await self._begin(began)
            if receipt and await self._take_up(router, began, number, receipt):
                return

    async def _release(self, case: _Case, target: Target) -> None:
        before = case.seconds * case.share_before
        with ExitStack() as stack:
            for router in case.routers:
                stack.enter_context(
                    self._cluster.disturbed(RouterDisturbed, router.name)
                )
            await self._put_out_of_step(case.kind, case.routers)
            await trio.sleep(before)
            await self._join(target)
            with trio.move_on_after(case.seconds - before + AFTER_SECONDS):
                async with trio.open_nursery() as nursery:
                    for _ in range(CALLERS):
                        nursery.start_soon(self._call, case.routers, target)
                    await trio.sleep(case.seconds - before)
                    await self._put_in_step(case.routers)

    async def _put_out_of_step(self, kind: str, routers: list[Router]) -> None:
        if kind == 'still':
            for router in routers:
                router.signal(signal.SIGSTOP)
            return
        names = [router.name for router in routers]
        await self._remote('peer ways').call('cut_off', *names)
        for name in names:
            way = self._remote(f'way {name}')
            await way.call('hold', 'requests', 'responses')

    async def _put_in_step(self, routers: list[Router]) -> None:
        await self._remote('peer ways').call('clear_faults')
        for router in routers:
            await self._remote(f'way {router.name}').call('clear_faults')
            router.signal(signal.SIGCONT)

    async def _join(self, target: Target) -> None:
        """Let a target that has gone join with the next version."""
        target.version = f'v{next(self._versions)}'
        await target.remote.set(version=target.version)
        await self._cluster.publish_target(target, 'ready')

    async def _call(self, routers: list[Router], target: Target) -> None:
        """Begin streams, and take up those that a target has begun."""
        while True:
            await trio.sleep(PAUSE_SECONDS)
            began = self._make_request(self._choose_other(routers))
            number, receipt = await self._begin(began)
            if f'.{target.name}.' in receipt:
                router = self._call_random.choice(routers)
                await self._take_up(router, began, number, receipt)

    async def _begin(self, sent: Sent) -> tuple[int, str]:
        """Return the last event before the connection is lost, if any."""
        body = b''
        url = f'http://{self._address(sent)}/{sent.route}/x'
        headers = request_headers(sent, self._deadline_seconds)
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    'POST', url, headers=headers, content=b'question'
                ) as resp,
            ):
                async for part in resp.aiter_stream():
                    body += part
                    if events := numbered_events(body):
                        number, receipt = events[-1]
                        return number, receipt.decode()
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
        return 0, ''

    async def _take_up(
        self, router: Router, began: Sent, number: int, receipt: str
    ) -> bool:
        """Return whether the stream went on."""
        sent = self._make_request(router)
        taken_up = TakenUp(now(), sent.request_id, receipt)
        self._cluster.records.append(taken_up)
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await exchange(
                pool,
                self._address(sent),
                sent,
                self._deadline_seconds,
                number,
                began.request_id,
            )
        self._cluster.records.append(answer)
        return bool(answer.receipt)

    def _make_request(self, router: Router) -> Sent:
        request_id = f'o{next(self._numbers)}-ask'
        sent = Sent(now(), request_id, router.name, 'ask', BASE_KEY, PROCESS)
        self._cluster.records.append(sent)
        return sent

    def _address(self, sent: Sent) -> str:
        return next(
            router.address
            for router in self._cluster.routers
            if router.name == sent.router
        )

    @property
    def _deadline_seconds(self) -> float:
        return self._cluster.site.deadline_seconds

    def _streaming_targets(self) -> list[Target]:
        service = self._cluster.site.service_of(STREAMING)
        return [
            target
            for target in self._cluster.ready_targets
            if target.service == service
        ]

    def _choose_routers(self, kind: str) -> list[Router]:
        """Return one router, or all of a data centre."""
        routers = self._cluster.routers
        chosen = self._random.randrange(len(routers))
        if kind == 'one':
            return [routers[chosen]]
        places = len(self._cluster.site.data_centres)
        return routers[chosen % places :: places]

    def _choose_other(self, routers: list[Router]) -> Router:
        return self._call_random.choice(
            [each for each in self._cluster.routers if each not in routers]
        )

    def _remote(self, name: str) -> Remote:
        return Remote(self._cluster.workers[0], name)
