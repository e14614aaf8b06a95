"""The operators' side of a router: status, configuration, quarantine."""

import time

import msgspec
import trio

from peridotwell.domain.configuration import Change, Configuration
from peridotwell.errors import ChangeRefused, PeridotwellError, StoreError
from peridotwell.fleet.frames import Observations
from peridotwell.fleet.gossip import Gossip, SharedState
from peridotwell.metrics import Metrics
from peridotwell.operators.messages import (
    ChangeReport,
    EncodedSketch,
    ErrorReport,
    QuarantineEntry,
)
from peridotwell.operators.status import StatusReader
from peridotwell.serving.asgi import HttpExchange
from peridotwell.store.configuration import apply_change

__all__ = ('OperatorsApi',)

CONFIRM_SECONDS = 2.5
CONFIRM_POLL_SECONDS = 0.02
BAD_REQUEST = 400
NOT_FOUND = 404
REFUSED = 409
UNAVAILABLE = 503
HEXADECIMAL = 16


class OperatorsApi:
    """Answers the operators' tool over HTTP."""

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
        self._status = status

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one exchange."""
        try:
            await self._dispatch(exchange)
        except ChangeRefused as exc:
            await _answer_error(exchange, exc, REFUSED)
        except StoreError as exc:
            await _answer_error(exchange, exc, UNAVAILABLE)
        except PeridotwellError as exc:
            await _answer_error(exchange, exc, BAD_REQUEST)

    async def _dispatch(self, exchange: HttpExchange) -> None:
        match exchange.method, exchange.path.split('/')[1:]:
            case 'GET', ['status']:
                now = trio.current_time()
                await exchange.answer_json(self._status.read(now))
            case 'GET', ['configuration']:
                await exchange.answer_json(
                    self._state.configuration_store.current
                )
            case 'POST', ['configuration']:
                await self._change(exchange)
            case 'GET', ['histograms']:
                await exchange.answer_json(self._histograms())
            case 'GET', ['quarantine']:
                await exchange.answer_json(self._quarantine(time.time()))
            case 'DELETE', ['quarantine', mark]:
                await self._lift(exchange, mark)
            case _:
                error = ErrorReport('unknown_path', 'See peridotwellctl.')
                await exchange.answer_json(error, NOT_FOUND)

    async def _change(self, exchange: HttpExchange) -> None:
        try:
            change = msgspec.json.decode(await exchange.body(), type=Change)
        except msgspec.DecodeError as exc:
            raise ChangeRefused(f'{exc}: correct the change.') from exc
        book = self._state.configuration_store
        wall = time.time()
        if exchange.query('dry_run'):
            candidate = apply_change(book.current, change, wall)
            report = ChangeReport(candidate, dry_run=True)
        else:
            accepted = await book.change(change, wall)
            self._gossip.broadcast_configuration()
            report = await self._confirm(accepted)
        await exchange.answer_json(report)

    async def _confirm(self, accepted: Configuration) -> ChangeReport:
        """Wait until the live routers report the version, or time is up."""
        in_force: tuple[str, ...] = ()
        unconfirmed: tuple[str, ...] = ()
        with trio.move_on_after(CONFIRM_SECONDS):
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

    def _histograms(self) -> list[EncodedSketch]:
        return [
            EncodedSketch(
                series.customer,
                series.priority_class,
                series.measure.value,
                encoded,
            )
            for series, encoded in self._metrics.encoded_sketches()
        ]

    def _quarantine(self, wall: float) -> list[QuarantineEntry]:
        return [
            QuarantineEntry(
                f'{verdict.fingerprint:016x}',
                len(verdict.lost),
                verdict.expires_at - wall,
            )
            for verdict in self._state.quarantine.verdicts()
            if verdict.lost and verdict.expires_at > wall
        ]

    async def _lift(self, exchange: HttpExchange, mark: str) -> None:
        try:
            number = int(mark, HEXADECIMAL)
        except ValueError as exc:
            raise ChangeRefused(
                f'{mark} is not a fingerprint: see `quarantine list`.',
            ) from exc
        verdict = self._state.quarantine.lift(number, time.time())
        own = self._state.peers.own.sender
        self._gossip.broadcast(Observations(own, crash_records=(verdict,)))
        await exchange.answer_json({'lifted': mark})


async def _answer_error(
    exchange: HttpExchange,
    error: PeridotwellError,
    status: int,
) -> None:
    report = ErrorReport(error.code, str(error))
    await exchange.answer_json(report, status)
