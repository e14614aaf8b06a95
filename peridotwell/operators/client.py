"""An HTTP client of the operators' API of the routers."""

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

__all__ = ('FleetUnreachable', 'RouterRefused', 'FleetClient')

OK = 200
# Longer than a router waits until other routers have confirmed a change.
TIMEOUT_SECONDS = 8


class FleetUnreachable(PeridotwellError):
    """No router responded."""

    code = 'fleet_unreachable'


class RouterRefused(PeridotwellError):
    """A router refused the request; the message is the router's own."""

    code = 'refused'


class FleetClient:
    """Calls the first reachable router of `addresses`, or every router."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses

    def status(self) -> RouterStatus:
        """Return the status of one router."""
        return self._call_first_reachable('GET', '/status', RouterStatus)

    def fleet_status(self) -> Iterator[RouterStatus]:
        """Yield the status of every router that can be reached."""
        first = self.status()
        yield first
        for other in first.live_routers:
            router_client = FleetClient((other.operators,))
            with suppress(FleetUnreachable):
                yield router_client.status()

    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self._call_first_reachable(
            'GET', '/configuration', Configuration
        )

    def submit_change(self, change: Change, *, dry_run: bool) -> ChangeReport:
        """Submit a change; with `dry_run`, only return its effect.

        Sending the same change again after a lost response is safe: a change
        that took effect is recognised by its id in the history and is not
        made twice.
        """
        path = '/configuration?dry_run=1' if dry_run else '/configuration'
        body = msgspec.json.encode(change)
        return self._call_first_reachable('POST', path, ChangeReport, body)

    def histograms(self) -> Iterator[EncodedSketch]:
        """Yield the histograms of every router that can be reached."""
        response_type = tuple[EncodedSketch, ...]
        for router in self.fleet_status():
            router_client = FleetClient((router.operators,))
            with suppress(FleetUnreachable):
                yield from router_client.read('/histograms', response_type)

    def quarantine(self) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined requests."""
        return self.read('/quarantine', tuple[QuarantineEntry, ...])

    def lift_quarantine(self, fingerprint: str) -> None:
        """Lift the quarantine of a request on every router."""
        self._call_first_reachable('DELETE', f'/quarantine/{fingerprint}', dict)

    def read(self, path: str, response_type: Any) -> Any:
        """Return the document at `path` from the first reachable router."""
        return self._call_first_reachable('GET', path, response_type)

    def _call_first_reachable(
        self,
        method: str,
        path: str,
        response_type: Any,
        body: bytes = b'',
    ) -> Any:
        problem = 'no address given'
        for address in self._addresses:
            try:
                return _send_request(method, address, path, response_type, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                problem = f'{address}: {exc}'
        raise FleetUnreachable(
            f'No router responded ({problem}): give the address of the '
            "operators' API of a running router with --router.",
        )


def _send_request(
    method: str,
    address: str,
    path: str,
    response_type: Any,
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
            f'{address} did not respond ({exc}); a change may have been made: '
            'check with `config history`.',
        ) from exc
    if resp.status != OK:
        error = msgspec.json.decode(resp.content, type=ErrorReport)
        raise RouterRefused(f'{error.code}: {error.message}')
    return msgspec.json.decode(resp.content, type=response_type)
