"""Recovery of the prompt cache index after the start of a router.

A router that starts alone gets the index from its peers. When all routers
start at once, none has it; each engine is then asked for its cached parts by
one of the registered routers, which sends the parts to the others. A router
also asks the engines whose parts it has not received from the others in time.
"""

from dataclasses import dataclass

import httpcore
import trio

from peridotwell.attempt_errors import AttemptError
from peridotwell.domain.routing_table import engine_properties
from peridotwell.domain.target import Target
from peridotwell.errors import EntryError
from peridotwell.fleet.peers import choose_lender
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.fleet.update_exchange import UpdateExchange
from peridotwell.forwarding.adapters import TargetAdapter
from peridotwell.forwarding.target_clients import TargetClients
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.prompt_cache_index import PromptCacheIndex
from peridotwell.serving.target_client import ResponseTimeouts

__all__ = ('CacheRecovery',)

POLL_SECONDS = 0.05
# Time that peers have to send their cache indexes.
PEER_TIMEOUT_SECONDS = 0.6
CACHE_LIST_TIMEOUTS = ResponseTimeouts(1, 1)


@dataclass(frozen=True)
class CacheRecovery:
    """Fills the prompt cache index once, after the start."""

    directory: ServiceDirectory
    update_exchange: UpdateExchange
    caches: PromptCacheIndex
    clients: TargetClients
    adapter: TargetAdapter

    async def run(self) -> None:
        """Ask the peers and the engines; return when the index is filled."""
        while self.directory.table is None or not self.directory.is_loaded:
            await trio.sleep(POLL_SECONDS)
        registered = [hello.sender for hello in self.directory.routers()]
        own = self.update_exchange.peers.own.sender
        engines = self._engines()
        async with trio.open_nursery() as nursery:
            for target in engines:
                if choose_lender(target, {own, *registered}) == own:
                    nursery.start_soon(self._ask_engine, target)
            nursery.start_soon(self._ask_peers, engines)
        await self._ask_unknown_engines(engines)
        self.update_exchange.prompt_caches_known.set()
        log_event('caches.recovered')

    async def _ask_peers(self, engines: list[Target]) -> None:
        """Ask the peers until all engines are known or the time is up."""
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            while self._unknown_engines(engines):
                self.update_exchange.request_caches(trio.current_time())
                await trio.sleep(POLL_SECONDS)

    async def _ask_unknown_engines(self, engines: list[Target]) -> None:
        async with trio.open_nursery() as nursery:
            for target in self._unknown_engines(engines):
                nursery.start_soon(self._ask_engine, target)

    def _unknown_engines(self, engines: list[Target]) -> list[Target]:
        if self.update_exchange.prompt_caches_known.is_set():
            return []
        return [
            target
            for target in engines
            if not self.caches.has_parts(target.name)
        ]

    def _engines(self) -> list[Target]:
        return [
            target
            for target in self.directory.all_targets()
            if engine_properties(self.directory.table, target.pool.name)
            is not None
        ]

    async def _ask_engine(self, target: Target) -> None:
        request = httpcore.Request(
            'GET',
            f'http://{target.address}{self.adapter.cache_path()}',
            headers=((b'host', target.address.encode()),),
        )
        client = self.clients.client(target)
        try:
            async with client.send(request, CACHE_LIST_TIMEOUTS) as response:
                content = await response.read_body(require_end_marker=False)
            parts = self.adapter.decode_cache_list(content)
        except (AttemptError, EntryError) as exc:
            log_failure(
                'caches.unknown',
                target=target.name,
                code=exc.code,
                error=str(exc),
            )
            return
        self.caches.record_use(target.name, parts, trio.current_time())
        self.update_exchange.record_prompt_sent(target.wire_id, parts)
        log_event('caches.listed', target=target.name, parts=len(parts))
