"""Callers that send requests to the routers during a soak run."""

import itertools
import random
from functools import partial
from typing import Any

import httpcore
import msgspec
import trio

from tests.soak.events import numbered_events
from tests.soak.records import Answered, Record, Sent, now
from tests.soak.replay import WAITING
from tests.soak.site import Site
from tests.soak.versions import BASE_KEY, MILLISECONDS, Versions

__all__ = ('Callers', 'exchange', 'request_headers')

KINDS = ('read', 'book', 'draft', 'ask')
# Requests with routes and keys that are added and dropped, or never were.
PROBE = 'probe'
# After a cut, its caller asks for the rest.
RESUMABLE = 'ask'
PROBE_SHARE = 0.3
RETRY_SECONDS = 0.05
# A caller gives up this long after the deadline without a response.
EXTRA_SECONDS = 4
REQUIRED_SUCCESSES = 5


class Callers:
    """Sends random requests; each caller reuses one connection at a time."""

    def __init__(
        self,
        nursery: trio.Nursery,
        records: list[Record],
        objects: dict[str, Any],
    ) -> None:
        self.version = 1
        self._nursery = nursery
        self._records = records
        self._load = trio.CancelScope()
        self._routers: dict[str, str] = {}
        self._max_pause_seconds = float(0)

    def start(
        self,
        routers: dict[str, str],
        name: str,
        seed: int,
        pause: float,
        process: str,
        site: dict[str, Any],
    ) -> None:
        """Prepare to call routers, by name and address.

        `site` is the deployment, as a document.

        `name` begins the ids of all requests; the longest time between two
        requests of a caller is `pause` seconds; `process` is the name of this
        process.
        """
        self._site = msgspec.convert(site, Site)
        self._process = process
        self._routers = routers
        self._max_pause_seconds = pause
        self._name = name
        self._random = random.Random(f'{name} {seed}')
        self._versions = Versions(f'{name} {seed}', self._site)
        self._numbers = itertools.count(1)

    def run(self) -> None:
        """Send requests to all routers until `stop`."""
        self._nursery.start_soon(self._run)

    def stop(self) -> None:
        """Send no more requests; those under way are given up."""
        self._load.cancel()

    async def wait_until_all_serve(self, seconds: float) -> list[str]:
        """Wait until the routers serve; return those that do not in time."""
        missing = set(self._routers)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for router in self._routers:
                    nursery.start_soon(self._wait_for, router, missing)
        return sorted(missing)

    async def _run(self) -> None:
        with self._load:
            async with trio.open_nursery() as nursery:
                for router in tuple(self._routers) * self._site.callers:
                    nursery.start_soon(self._call_on, router)

    async def _wait_for(self, router: str, missing: set[str]) -> None:
        served = 0
        while served < REQUIRED_SUCCESSES:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await self._exchange(pool, router, 'book', WAITING)
            served = served + 1 if answer.status == 200 else 0
            await trio.sleep(RETRY_SECONDS)
        missing.remove(router)

    async def _call_on(self, router: str) -> None:
        """Send requests to one router, on a new connection after a failure."""
        while True:
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                while await self._call(pool, router, self._draw_kind()):
                    share = self._random.random()
                    await trio.sleep(self._max_pause_seconds * share)
            await trio.sleep(self._max_pause_seconds)

    def _draw_kind(self) -> str:
        if self._random.random() < PROBE_SHARE:
            return PROBE
        return self._random.choice(KINDS)

    async def _call(self, pool, router: str, kind: str) -> int:
        """Return the status; a stream that is cut may be gone on with."""
        answer = await self._exchange(pool, router, kind)
        events = numbered_events(answer.body)
        if kind == RESUMABLE and answer.error and events:
            async with httpcore.AsyncConnectionPool() as another:
                await self._exchange(another, router, kind, after=events[-1][0])
        return answer.status

    async def _exchange(
        self, pool, router: str, kind: str, prefix: str = 'q', after: int = 0
    ) -> Answered:
        """Send a request; return its end."""
        request_id = f'{prefix}{self._name}{next(self._numbers)}-{kind}'
        route, key = kind, BASE_KEY
        if kind == PROBE:
            route, key = self._versions.draw(self.version)
        sent = Sent(now(), request_id, router, route, key, self._process)
        self._records.append(sent)
        answer = await exchange(
            pool,
            self._routers[router],
            sent,
            self._site.deadline_seconds,
            after,
        )
        self._records.append(answer)
        return answer


async def exchange(
    pool,
    address: str,
    sent: Sent,
    deadline: float,
    after: int = 0,
    resumes: str = '',
) -> Answered:
    """Send a request; return how it ended.

    It may ask for what follows an event of a stream that another request began.
    """
    request = partial(
        pool.stream,
        'POST',
        f'http://{address}/{sent.route}/x',
        headers=request_headers(sent, deadline, after, resumes),
        content=b'question',
    )
    body = bytearray()
    try:
        with trio.fail_after(deadline + EXTRA_SECONDS):
            async with request() as resp:
                async for part in resp.aiter_stream():
                    body += part
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        error = 'unreachable'
    except (httpcore.NetworkError, httpcore.ProtocolError):
        error = 'cut'
    except trio.TooSlowError:
        error = 'silent'
    else:
        return _describe(sent.request_id, resp, bytes(body), after)
    return Answered(
        now(), sent.request_id, 0, '', bytes(body), error=error, after=after
    )


def _describe(request_id: str, resp, body: bytes, after: int) -> Answered:
    fields = {name.lower(): value.decode() for name, value in resp.headers}
    return Answered(
        now(),
        request_id,
        resp.status,
        fields.get(b'x-server-seal', ''),
        body,
        fields.get(b'x-request-id', ''),
        ended=_mark_of_end(fields),
        after=after,
    )


def _mark_of_end(fields: dict[bytes, str]) -> str:
    """Return what marks the end of a whole body."""
    if 'chunked' in fields.get(b'transfer-encoding', '').lower():
        return 'chunks'
    return 'length' if b'content-length' in fields else 'open'


def request_headers(
    sent: Sent, deadline: float, after: int = 0, resumes: str = ''
) -> list[tuple[str, str]]:
    """Return the header fields of a request."""
    resumed = [('last-event-id', str(after))] if after else []
    if resumes:
        resumed.append(('resumes', resumes))
    return [
        *resumed,
        ('host', 'a.example'),
        ('x-request-id', sent.request_id),
        ('x-credential', sent.key),
        ('x-deadline-ms', str(int(deadline * MILLISECONDS))),
        ('content-length', '8'),
    ]
