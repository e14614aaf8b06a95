"""Recovery of the prompt cache index after the start of a router.

A router that starts alone gets the index from a peer. When all routers start at
once, none has it; each engine is then asked for its cached parts by one of the
registered routers, which tells them to the others. Engines that are unknown
after that, because their router is down or no router is registered yet, are
asked one by one, in an order that differs between routers, so that few are
asked twice: a list and its copies to all routers use much of a slow link.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import httpcore
import trio

from peridotwell.attempt_errors import AttemptError
from peridotwell.domain.routing_table import engine_properties
from peridotwell.domain.target import Target
from peridotwell.errors import EntryError
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.peers import choose_lender
from peridotwell.forwarding.adapters import TargetAdapter
from peridotwell.forwarding.sending.target_clients import TargetClients
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.placement.prompt_cache_index import PromptCacheIndex
from peridotwell.policy.placement.rendezvous import rendezvous_score
from peridotwell.serving.target_client import ResponseTimeouts

__all__ = ('CacheRecovery',)

POLL_SECONDS = 0.05
# Requests with a prompt wait no longer for the index after this time.
RECOVERY_SECONDS = 0.6
# Time that a peer has to send its index before the next one is asked.
PEER_TIMEOUT_SECONDS = 0.75
# After this many refusals, peers are asked at this interval: all have started
# at once, and asking each of them takes a connection to each.
MAX_QUICK_REFUSALS = 6
# Time in which other routers register after a common start.
REGISTRATION_SECONDS = 0.2
# Time in which the list that another router has read arrives, through relays
# and without them.
LIST_INTERVAL_SECONDS = 0.25
DIRECT_LIST_INTERVAL_SECONDS = 0.05
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
        """Ask the peers and the engines until all engines are known."""
        while self.directory.table is None or not self.directory.is_loaded:
            await trio.sleep(POLL_SECONDS)
        engines = self._engines()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._limit_wait)
            nursery.start_soon(self._ask_peers, engines)
            await self._list_engines(engines)
            nursery.cancel_scope.cancel()
        self.update_exchange.cache_sync.is_complete = True
        self.update_exchange.cache_sync.is_ready.set()
        log_event('caches.recovered')

    async def _limit_wait(self) -> None:
        """Let requests wait no longer, although engines are unknown."""
        await trio.sleep(RECOVERY_SECONDS)
        self.update_exchange.cache_sync.is_ready.set()

    async def _ask_peers(self, engines: list[Target]) -> None:
        """Ask one peer after the other until all engines are known."""
        cache_sync = self.update_exchange.cache_sync
        refusals = 0
        while self._unknown_engines(engines):
            if not cache_sync.request(trio.current_time()):
                await trio.sleep(POLL_SECONDS)
            elif await cache_sync.wait_until_refused(PEER_TIMEOUT_SECONDS):
                refusals += 1
                is_quick = refusals <= MAX_QUICK_REFUSALS
                await trio.sleep(
                    POLL_SECONDS if is_quick else PEER_TIMEOUT_SECONDS
                )

    async def _list_engines(self, engines: list[Target]) -> None:
        """List the engines of this router, then those that stay unknown."""
        own = self.update_exchange.peers.own.sender
        routers = self._other_routers()
        if routers:
            routers.add(own)
            await self._ask_engines(
                target
                for target in engines
                if choose_lender(target, routers) == own
            )
        else:
            # All entries may have expired: others are about to register.
            await trio.sleep(REGISTRATION_SECONDS)
        for target in _in_order_of(own, engines):
            if self.caches.is_known(target.name):
                continue
            if self._other_routers():
                await trio.sleep(self._list_interval())
            if not self.caches.is_known(target.name):
                await self._ask_engine(target)

    async def _ask_engines(self, engines: Iterable[Target]) -> None:
        async with trio.open_nursery() as nursery:
            for target in engines:
                nursery.start_soon(self._ask_engine, target)

    def _list_interval(self) -> float:
        if self.update_exchange.relay_protocol.is_enabled():
            return LIST_INTERVAL_SECONDS
        return DIRECT_LIST_INTERVAL_SECONDS

    def _other_routers(self) -> set[int]:
        own = self.update_exchange.peers.own.sender
        senders = {hello.sender for hello in self.directory.routers()}
        return senders - {own}

    def _unknown_engines(self, engines: list[Target]) -> list[Target]:
        return [
            target
            for target in engines
            if not self.caches.is_known(target.name)
        ]

    def _engines(self) -> list[Target]:
        return [
            target
            for target in self.directory.all_targets()
            if engine_properties(self.directory.table, target.pool.name)
            is not None
            and not self.directory.evacuations.covers(target)
        ]

    async def _ask_engine(self, target: Target) -> None:
        if self.directory.evacuations.covers(target):
            return
        notices = self.update_exchange.state.target_notices
        limits = self.update_exchange.state.target_limits
        now = trio.current_time()
        if not (
            notices.accepts(target, 0, now) and limits.accepts(target, now)
        ):
            return
        limits.record_send(target, now)
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
        now = trio.current_time()
        self.caches.record_use(target.name, parts, now)
        self.update_exchange.cache_sync.record_listed(
            target.wire_id, parts, now
        )
        log_event('caches.listed', target=target.name, parts=len(parts))


def _in_order_of(router: int, engines: Iterable[Target]) -> list[Target]:
    """Return engines in an order that differs between routers."""
    return sorted(
        engines, key=lambda each: rendezvous_score(str(router), each.name)
    )
