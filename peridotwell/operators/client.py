"""The operators' tool as a client of the routers."""

from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import httpcore
import msgspec

from peridotwell.domain.configuration import Change, Configuration
from peridotwell.errors import PeridotwellError
from peridotwell.operators.messages import (
    ChangeReport,
    EncodedSketch,
    ErrorReport,
    QuarantineEntry,
    RouterStatus,
)

__all__ = ('FleetUnreachable', 'FleetRefused', 'FleetClient')

OK = 200
# Longer than a router waits for the others to confirm a change.
TIMEOUT_SECONDS = 8


class FleetUnreachable(PeridotwellError):
    """No router answered."""

    code = 'fleet_unreachable'


class FleetRefused(PeridotwellError):
    """A router refused; the message is its own."""

    code = 'refused'


class FleetClient:
    """Asks the first of `addresses` that answers, or every router."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses

    def status(self) -> RouterStatus:
        """Return the status of one router."""
        return self._first('GET', '/status', RouterStatus)

    def fleet(self) -> Iterator[RouterStatus]:
        """Yield the status of every router that can be reached."""
        first = self.status()
        yield first
        for other in first.live_routers:
            client = FleetClient((other.operators,))
            with suppress(FleetUnreachable):
                yield client.status()

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._first('GET', '/configuration', Configuration)

    def change(self, change: Change, *, dry_run: bool) -> ChangeReport:
        """Send a change. A lost answer is settled by asking again.

        The change id makes this safe: a change that took effect is found in
        the history instead of being made twice.
        """
        path = '/configuration?dry_run=1' if dry_run else '/configuration'
        body = msgspec.json.encode(change)
        return self._first('POST', path, ChangeReport, body)

    def histograms(self) -> Iterator[EncodedSketch]:
        """Yield the histograms of every router that can be reached."""
        kind = tuple[EncodedSketch, ...]
        for router in self.fleet():
            client = FleetClient((router.operators,))
            with suppress(FleetUnreachable):
                yield from client.read('/histograms', kind)

    def quarantine(self) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined requests."""
        return self.read('/quarantine', tuple[QuarantineEntry, ...])

    def lift(self, fingerprint: str) -> None:
        """Lift a request's quarantine on every router."""
        self._first('DELETE', f'/quarantine/{fingerprint}', dict)

    def read(self, path: str, kind: Any) -> Any:
        """Return the document at `path` of the first router that answers."""
        return self._first('GET', path, kind)

    def _first(
        self,
        method: str,
        path: str,
        kind: Any,
        body: bytes = b'',
    ) -> Any:
        problem = 'no address given'
        for address in self._addresses:
            try:
                return _ask(method, address, path, kind, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                problem = f'{address}: {exc}'
        raise FleetUnreachable(
            f'No router answered ({problem}): give the address of a running '
            "router's operators' interface with --router.",
        )


def _ask(
    method: str,
    address: str,
    path: str,
    kind: Any,
    body: bytes,
) -> Any:
    timeout = {'connect': TIMEOUT_SECONDS, 'read': TIMEOUT_SECONDS}
    try:
        resp = httpcore.request(
            method,
            f'http://{address}{path}',
            content=body,
            extensions={'timeout': timeout},
        )
    except (
        httpcore.ReadTimeout,
        httpcore.ReadError,
        httpcore.RemoteProtocolError,
    ) as exc:
        raise FleetUnreachable(
            f'{address} did not answer ({exc}); a change may be in force: '
            'look with `config history`.',
        ) from exc
    if resp.status != OK:
        error = msgspec.json.decode(resp.content, type=ErrorReport)
        raise FleetRefused(f'{error.code}: {error.message}')
    return msgspec.json.decode(resp.content, type=kind)
