"""After a start: what engines have cached, from peers and from the engines.

A router that starts alone learns it from its peers. When all start at once,
nobody knows; so each engine is asked by one of the registered routers, which
tells the others. Engines whose router does not tell in time are asked too.
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
# Time for the peers to tell what they know.
TELL_SECONDS = 0.6
LIST_PATIENCE = ResponseTimeouts(1, 1)


@dataclass(frozen=True)
class CacheRecovery:
    """Fills the map of caches once, after a start."""

    directory: ServiceDirectory
    sharing: UpdateExchange
    caches: PromptCacheIndex
    clients: TargetClients
    adapter: TargetAdapter

    async def run(self) -> None:
        """Ask peers, then engines; return when the map is filled."""
        while self.directory.table is None or not self.directory.is_listed:
            await trio.sleep(POLL_SECONDS)
        registered = [hello.sender for hello in self.directory.routers()]
        own = self.sharing.peers.own.sender
        engines = self._engines()
        async with trio.open_nursery() as nursery:
            for target in engines:
                if choose_lender(target, {own, *registered}) == own:
                    nursery.start_soon(self._ask, target)
            nursery.start_soon(self._ask_peers, engines)
        await self._ask_untold(engines)
        self.sharing.caches_known.set()
        log_event('caches.recovered')

    async def _ask_peers(self, engines: list[Target]) -> None:
        """Return when a peer has told, or all engines are known."""
        with trio.move_on_after(TELL_SECONDS):
            while self._untold(engines):
                self.sharing.pull_caches(trio.current_time())
                await trio.sleep(POLL_SECONDS)

    async def _ask_untold(self, engines: list[Target]) -> None:
        async with trio.open_nursery() as nursery:
            for target in self._untold(engines):
                nursery.start_soon(self._ask, target)

    def _untold(self, engines: list[Target]) -> list[Target]:
        if self.sharing.caches_known.is_set():
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

    async def _ask(self, target: Target) -> None:
        request = httpcore.Request(
            'GET',
            f'http://{target.address}{self.adapter.cache_path()}',
            headers=((b'host', target.address.encode()),),
        )
        link = self.clients.client(target)
        try:
            async with link.send(request, LIST_PATIENCE) as answer:
                content = await answer.read_body(require_end_marker=False)
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
        self.sharing.prompt_sent(target.wire_id, parts)
        log_event('caches.listed', target=target.name, parts=len(parts))
