"""The operators' HTTP API: status, configuration, histograms, quarantine."""

import time

import msgspec
import trio

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.configuration import Change, Configuration
from peridotwell.errors import ChangeRefused, PeridotwellError, StoreError
from peridotwell.fleet.membership.gossip import Gossip, SharedState
from peridotwell.fleet.transport.frames import Observations
from peridotwell.metrics import Metrics
from peridotwell.operators.encoded_sketches import encoded_sketches
from peridotwell.operators.messages import (
    ChangeReport,
    EncodedSketch,
    ErrorReport,
    QuarantineEntry,
)
from peridotwell.operators.status import StatusReader
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.store.configuration import apply_change

__all__ = ('OperatorsApi',)

CONFIRM_TIMEOUT_SECONDS = 2.5
CONFIRM_POLL_SECONDS = 0.02
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
SERVICE_UNAVAILABLE = 503
HEXADECIMAL_BASE = 16


class OperatorsApi:
    """Handles the requests of the operators' tool `peridotwellctl`."""

    def __init__(
        self,
        state: SharedState,
        gossip: Gossip,
        metrics: Metrics,
        status: StatusReader,
    ) -> None:
        self._state = state
        self._gossip = gossip
        self._metrics = metrics
        self._status_reader = status

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one request and send its response."""
        try:
            await self._dispatch(exchange)
        except ChangeRefused as exc:
            await _send_error(exchange, exc, CONFLICT)
        except StoreError as exc:
            await _send_error(exchange, exc, SERVICE_UNAVAILABLE)
        except PeridotwellError as exc:
            await _send_error(exchange, exc, BAD_REQUEST)

    async def _dispatch(self, exchange: HttpExchange) -> None:
        match exchange.method, exchange.path.split('/')[1:]:
            case 'GET', ['status']:
                now = trio.current_time()
                await exchange.respond_json(self._status_reader.read(now))
            case 'GET', ['configuration']:
                await exchange.respond_json(
                    self._state.configuration_store.current
                )
            case 'POST', ['configuration']:
                await self._handle_change(exchange)
            case 'GET', ['histograms']:
                await exchange.respond_json(self._encode_histograms())
            case 'GET', ['quarantine']:
                await exchange.respond_json(
                    self._quarantine_entries(time.time())
                )
            case 'DELETE', ['quarantine', fingerprint]:
                await self._lift_quarantine(exchange, fingerprint)
            case _:
                error = ErrorReport(
                    'unknown_path',
                    'No such method or path: use peridotwellctl.',
                )
                await exchange.respond_json(error, NOT_FOUND)

    async def _handle_change(self, exchange: HttpExchange) -> None:
        try:
            change = msgspec.json.decode(await exchange.body(), type=Change)
        except DECODING_ERRORS as exc:
            raise ChangeRefused(f'{exc}: correct the change.') from exc
        configuration_store = self._state.configuration_store
        unix_now = time.time()
        if exchange.query('dry_run'):
            candidate = apply_change(
                configuration_store.current, change, unix_now
            )
            report = ChangeReport(candidate, dry_run=True)
        else:
            accepted = await configuration_store.write_change(change, unix_now)
            self._gossip.broadcast_configuration()
            report = await self._wait_for_confirmation(accepted)
        await exchange.respond_json(report)

    async def _wait_for_confirmation(
        self, accepted: Configuration
    ) -> ChangeReport:
        """Wait until all live routers report the version, or a timeout."""
        in_force: tuple[str, ...] = ()
        unconfirmed: tuple[str, ...] = ()
        with trio.move_on_after(CONFIRM_TIMEOUT_SECONDS):
            while True:
                live = self._state.peers.live_peers(trio.current_time())
                in_force = tuple(
                    peer.hello.name
                    for peer in live
                    if peer.version >= accepted.version
                )
                unconfirmed = tuple(
                    peer.hello.name
                    for peer in live
                    if peer.version < accepted.version
                )
                if not unconfirmed:
                    break
                await trio.sleep(CONFIRM_POLL_SECONDS)
        own = self._state.peers.own.name
        return ChangeReport(accepted, (own, *in_force), unconfirmed)

    def _encode_histograms(self) -> list[EncodedSketch]:
        return [
            EncodedSketch(
                series.customer,
                series.priority_class,
                series.measure.value,
                encoded,
            )
            for series, encoded in encoded_sketches(self._metrics)
        ]

    def _quarantine_entries(self, unix_now: float) -> list[QuarantineEntry]:
        return [
            QuarantineEntry(
                f'{crash_record.fingerprint:016x}',
                len(crash_record.lost_incarnations),
                crash_record.expires_at - unix_now,
            )
            for crash_record in self._state.quarantine.records()
            if crash_record.lost_incarnations
            and crash_record.expires_at > unix_now
        ]

    async def _lift_quarantine(
        self, exchange: HttpExchange, fingerprint: str
    ) -> None:
        try:
            fingerprint_number = int(fingerprint, HEXADECIMAL_BASE)
        except ValueError as exc:
            raise ChangeRefused(
                f'{fingerprint} is not a fingerprint: see `quarantine list`.',
            ) from exc
        crash_record = self._state.quarantine.lift(
            fingerprint_number, time.time()
        )
        own = self._state.peers.own.sender
        self._gossip.broadcast(Observations(own, crash_records=(crash_record,)))
        await exchange.respond_json({'lifted': fingerprint})


async def _send_error(
    exchange: HttpExchange,
    error: PeridotwellError,
    status: int,
) -> None:
    report = ErrorReport(error.code, str(error))
    await exchange.respond_json(report, status)
