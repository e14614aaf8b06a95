"""Callers that keep their connections until the router is gone."""

import itertools
import random
from collections.abc import Iterator

import httpcore
import trio

from tests.soak.cluster import DEADLINE_SECONDS, Router, SoakCluster
from tests.soak.guarantees import Outcome

__all__ = ('Callers',)

KINDS = ('read', 'book', 'draft', 'ask')
REPEATABLE = frozenset(('read', 'ask'))
PAUSE_SECONDS = 0.05
# A caller gives up when nothing comes long after the deadline.
PATIENCE_SECONDS = DEADLINE_SECONDS + 4


class Callers:
    """A few callers a router, each with one connection at a time."""

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f'callers {seed}')
        self._numbers: Iterator[int] = itertools.count(1)

    async def run(self, router: Router) -> None:
        """Call one router for ever, on a connection that is kept."""
        while True:
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                await self._use(pool, router)
            await trio.sleep(PAUSE_SECONDS)

    async def ask_once(self, router: Router, kind: str) -> Outcome:
        """Send one request on a connection of its own."""
        async with httpcore.AsyncConnectionPool() as pool:
            return await self._ask(pool, router, kind)

    async def _use(self, pool, router: Router) -> None:
        """Send requests until one fails on the connection."""
        while True:
            kind = self._random.choice(KINDS)
            outcome = await self._ask(pool, router, kind)
            is_disturbed = router.disturbed_at >= outcome.sent_at - 1
            self._cluster.checker.record_outcome(
                outcome, is_disturbed=is_disturbed
            )
            if outcome.error == 'cut' and _is_planned(router, outcome):
                self._cluster.checker.record_cut(outcome)
            if not outcome.status:
                return
            await trio.sleep(PAUSE_SECONDS * self._random.random())

    async def _ask(self, pool, router: Router, kind: str) -> Outcome:
        request = f'q{next(self._numbers)}-{kind}'
        self._cluster.checker.record_sent(
            request, may_repeat=kind in REPEATABLE
        )
        began = trio.current_time()
        status, body, error = 0, b'', ''
        try:
            with trio.fail_after(PATIENCE_SECONDS):
                resp = await pool.request(
                    'POST',
                    f'http://{router.address}/{kind}/x',
                    headers=_fields(request),
                    content=b'question',
                )
            status, body = resp.status, resp.content
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            error = 'unreachable'
        except (httpcore.NetworkError, httpcore.ProtocolError):
            error = 'cut'
        except trio.TooSlowError:
            error = 'silent'
        took = trio.current_time() - began
        return Outcome(
            request, kind, router.name, began, took, status, body, error
        )


def _fields(request: str) -> list[tuple[str, str]]:
    return [
        ('host', 'a.example'),
        ('x-request-id', request),
        ('x-credential', 'key-1'),
        ('x-deadline-ms', str(int(DEADLINE_SECONDS * 1000))),
        ('content-length', '8'),
    ]


def _is_planned(router: Router, outcome: Outcome) -> bool:
    """Whether only a planned stop can have cut a whole answer."""
    is_whole = outcome.kind in {'read', 'book'}
    was_left_alone = router.disturbed_at < outcome.sent_at
    return is_whole and router.is_stopping and was_left_alone
