"""Callers that send requests to the routers during a soak run."""

import itertools
import random
from collections.abc import Iterator

import httpcore
import trio

from tests.soak.cluster import DEADLINE_SECONDS, Router, SoakCluster
from tests.soak.guarantees import Outcome

__all__ = ('Callers',)

KINDS = ('read', 'book', 'draft', 'ask')
REPEATABLE_KINDS = frozenset(('read', 'ask'))
MAX_PAUSE_SECONDS = 0.05
# A caller gives up after this time without a response, long after the deadline.
RESPONSE_TIMEOUT_SECONDS = DEADLINE_SECONDS + 4


class Callers:
    """Sends random requests; each caller reuses one connection at a time."""

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f'callers {seed}')
        self._request_numbers: Iterator[int] = itertools.count(1)

    async def run(self, router: Router) -> None:
        """Send requests to one router until cancelled.

        Opens a new connection after a request without a response.
        """
        while True:
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                await self._send_until_failure(pool, router)
            await trio.sleep(MAX_PAUSE_SECONDS)

    async def send_once(self, router: Router, kind: str) -> Outcome:
        """Send one request on a new connection."""
        async with httpcore.AsyncConnectionPool() as pool:
            return await self._send(pool, router, kind)

    async def _send_until_failure(self, pool, router: Router) -> None:
        """Send requests on one connection until one gets no response."""
        while True:
            kind = self._random.choice(KINDS)
            outcome = await self._send(pool, router, kind)
            is_disturbed = router.disturbed_at >= outcome.sent_at - 1
            self._cluster.checker.record_outcome(
                outcome, is_disturbed=is_disturbed
            )
            if outcome.error == 'cut' and _is_cut_by_planned_stop(
                router, outcome
            ):
                self._cluster.checker.record_cut(outcome)
            if not outcome.status:
                return
            await trio.sleep(MAX_PAUSE_SECONDS * self._random.random())

    async def _send(self, pool, router: Router, kind: str) -> Outcome:
        request_id = f'q{next(self._request_numbers)}-{kind}'
        self._cluster.checker.record_sent(
            request_id, may_repeat=kind in REPEATABLE_KINDS
        )
        began = trio.current_time()
        self._cluster.notices.record_sent(request_id, router, began)
        self._cluster.brittle.record_sent(request_id, router)
        status, body, error = 0, b'', ''
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
                resp = await pool.request(
                    'POST',
                    f'http://{router.address}/{kind}/x',
                    headers=_request_headers(request_id),
                    content=b'question',
                )
            status, body = resp.status, resp.content
            self._cluster.notices.record_answer(request_id, trio.current_time())
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            error = 'unreachable'
        except (httpcore.NetworkError, httpcore.ProtocolError):
            error = 'cut'
        except trio.TooSlowError:
            error = 'silent'
        took = trio.current_time() - began
        return Outcome(
            request_id, kind, router.name, began, took, status, body, error
        )


def _request_headers(request_id: str) -> list[tuple[str, str]]:
    return [
        ('host', 'a.example'),
        ('x-request-id', request_id),
        ('x-credential', 'key-1'),
        ('x-deadline-ms', str(int(DEADLINE_SECONDS * 1000))),
        ('content-length', '8'),
    ]


def _is_cut_by_planned_stop(router: Router, outcome: Outcome) -> bool:
    """Return whether only a planned stop can have cut the response.

    Only requests that get a single response count, not streams.
    """
    is_single_response = outcome.kind in {'read', 'book'}
    is_undisturbed = router.disturbed_at < outcome.sent_at
    return is_single_response and router.is_stopping and is_undisturbed
