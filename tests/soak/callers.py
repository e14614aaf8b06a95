"""Callers that send requests to the routers during a soak run."""

import itertools
import random
from collections.abc import Iterator

import httpcore
import trio

from tests.soak.cluster import DEADLINE_SECONDS, Router, SoakCluster
from tests.soak.guarantees import Outcome
from tests.soak.records import Answered, Sent, now
from tests.soak.versions import BASE_KEY, Versions

__all__ = ('Callers',)

KINDS = ('read', 'book', 'draft', 'ask')
# Requests with routes and keys that are added and dropped, or never were.
PROBE = 'probe'
PROBE_SHARE = 0.3
REPEATABLE_KINDS = frozenset(('read', 'ask', PROBE))
MAX_PAUSE_SECONDS = 0.05
# A caller gives up after this time without a response, long after the deadline.
RESPONSE_TIMEOUT_SECONDS = DEADLINE_SECONDS + 4


class Callers:
    """Sends random requests; each caller reuses one connection at a time."""

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(f'callers {seed}')
        self._probe_random = random.Random(f'probes {seed}')
        self._versions = Versions(seed)
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
            if self._probe_random.random() < PROBE_SHARE:
                kind = PROBE
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
        route, key = kind, BASE_KEY
        if kind == PROBE:
            route, key = self._versions.draw(self._cluster.version)
        began = now()
        sent = Sent(began, request_id, router.name, route, key)
        self._cluster.records.append(sent)
        self._cluster.notices.record_sent(request_id, router, began)
        self._cluster.brittle.record_sent(request_id, router)
        resp, error = await _exchange(pool, router, sent)
        if resp:
            self._cluster.notices.record_answer(request_id, now())
            self._record_answer(request_id, resp)
        return Outcome(
            request_id,
            kind,
            router.name,
            began,
            now() - began,
            resp.status if resp else 0,
            resp.content if resp else b'',
            error,
        )

    def _record_answer(self, request_id: str, resp) -> None:
        fields = {name.lower(): value.decode() for name, value in resp.headers}
        answer = Answered(
            now(),
            request_id,
            resp.status,
            fields.get(b'x-server-seal', ''),
            resp.content,
            fields.get(b'x-request-id', ''),
        )
        self._cluster.records.append(answer)


async def _exchange(pool, router: Router, sent: Sent):
    """Return the response, or None and what went wrong."""
    url = f'http://{router.address}/{sent.route}/x'
    fields = _request_headers(sent)
    try:
        with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            resp = await pool.request(
                'POST', url, headers=fields, content=b'question'
            )
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return None, 'unreachable'
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None, 'cut'
    except trio.TooSlowError:
        return None, 'silent'
    return resp, ''


def _request_headers(sent: Sent) -> list[tuple[str, str]]:
    return [
        ('host', 'a.example'),
        ('x-request-id', sent.request_id),
        ('x-credential', sent.key),
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
