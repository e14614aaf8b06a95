"""A simulated plain service, such as a ledger, that records every execution.

It executes and records each request that it receives, except GET requests. GET
/executions returns the records, GET /health the load. POST /faults sets the
faults to inject, as a JSON object of `Faults` fields.
"""

import os
import uuid
from typing import Any

import msgspec
import trio
from absl import app, flags

from peridotwell.serving.http_exchange import HttpExchange
from standins import exit_statuses
from standins.server import run_server

__all__ = ('Service',)

FLAGS = flags.FLAGS
flags.DEFINE_string('bind', '127.0.0.1:0', 'host:port to listen on')


class Faults(msgspec.Struct):
    """The faults that the service injects.

    leaving: refuses new requests with status 503.
    delay_seconds: waits between the execution and the response.
    die_before_run, die_after_run: ends the process before or after executing.
    cut_answer: closes the connection within the response.
    silent_after_run: executes the request and never responds.
    crossed: responds with the request ID of another request.
    """

    leaving: bool = False
    delay_seconds: float = 0
    die_before_run: bool = False
    die_after_run: bool = False
    cut_answer: bool = False
    silent_after_run: bool = False
    crossed: bool = False


class Service:
    """The service's records and its HTTP request handler."""

    def __init__(self) -> None:
        self.boot = uuid.uuid4().hex
        self.faults = Faults()
        self.executions: list[dict[str, Any]] = []
        self._running = 0

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP request."""
        if exchange.path == '/faults':
            body = await exchange.body()
            self.faults = msgspec.json.decode(body, type=Faults)
            await exchange.respond_json(self.faults)
        elif exchange.path == '/health':
            await exchange.respond_json(
                {
                    'boot': self.boot,
                    'leaving': self.faults.leaving,
                    'slots': 64,
                    'running': self._running,
                }
            )
        elif exchange.path == '/executions':
            await exchange.respond_json(self.executions)
        else:
            await self._execute(exchange)

    async def _execute(self, exchange: HttpExchange) -> None:
        body = await exchange.body()
        if self.faults.leaving:
            refused = (('x-refused', 'leaving'),)
            await exchange.respond_json('leaving', 503, refused)
            return
        if self.faults.die_before_run:
            os._exit(exit_statuses.CRASH)
        if exchange.method != 'GET':
            self.executions.append(
                {
                    'path': exchange.path,
                    'key': exchange.headers.get('idempotency-key', ''),
                    'body': body.decode(),
                }
            )
        if self.faults.die_after_run:
            os._exit(exit_statuses.CRASH_AFTER_RUN)
        self._running += 1
        try:
            await trio.sleep(self.faults.delay_seconds)
        finally:
            self._running -= 1
        await self._respond(exchange)

    async def _respond(self, exchange: HttpExchange) -> None:
        if self.faults.silent_after_run:
            await exchange.wait_for_disconnect()
            return
        request_id = exchange.headers.get('x-request-id', '')
        if self.faults.crossed:
            request_id = 'of-another-request'
        receipt = {'receipt': len(self.executions), 'path': exchange.path}
        body = msgspec.json.encode(receipt)
        if self.faults.cut_answer:
            length = ('content-length', str(len(body)))
            await exchange.start_response(200, (length,))
            await exchange.write(body[:4])
            raise ConnectionError(
                'injected fault: connection closed within the response'
            )
        headers = (
            ('content-type', 'application/json'),
            ('x-request-id', request_id),
        )
        await exchange.respond(200, body, headers)


def main(argv: list[str]) -> None:
    """Run the simulated service until the process is ended."""
    run_server(Service().handle, FLAGS.bind)


if __name__ == '__main__':
    app.run(main)
