"""The store of a soak run, in a worker process of its own."""

import base64
import math
import random
from dataclasses import replace
from typing import Any

import msgspec
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform.stand_in import StoreCopy, StoreStandIn
from tests.soak.peer_ways import PeerWays
from tests.soak.proxy import ProxyGroup, start_proxy
from tests.soak.records import EntryWritten, Record, VersionWritten, now
from tests.soak.router_paths import RouterView
from tests.soak.site import MISSING, RISING, Site
from tests.soak.versions import Alteration, document, moved_to

__all__ = ('StoreHost',)

PAGE_SIZE = 100
BUSY_STATUS, BUSY_CALLS = 503, 20


class StoreHost:
    """The store, which operators and targets write to, and its faults.

    Each router has a view of it, behind a proxy of its own.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        records: list[Record],
        objects: dict[str, Any],
    ) -> None:
        self._nursery = nursery
        self._records = records
        self._store = StoreStandIn()
        self._store.page_size = PAGE_SIZE
        self._proxies = ProxyGroup()
        self._copies: dict[int, StoreCopy] = {}
        self._views: list[RouterView] = []
        self._version = 0
        self._alteration = Alteration()
        self._site = Site()
        # Whether the store holds an older version than the newest one.
        self._is_behind = False
        self._late_writes: list[trio.CancelScope] = []
        self._entries: dict[str, dict] = {}
        # The names of targets that stand still, and do not report.
        self._still: set[str] = set()
        self._objects = objects
        objects['proxies'] = self._proxies
        self._peer_ways = PeerWays(nursery)
        objects['peer ways'] = self._peer_ways

    async def start(
        self, paths: dict[str, dict[str, str]], site: dict[str, Any]
    ) -> dict[str, str]:
        """Serve each router; return the address for it.

        `site` is the deployment, as a document. `paths` has the addresses of
        the targets by router and target. The objects of this process are then
        each router's view of the store, and its way there, as 'view r0' and
        'way r0'.
        """
        self._site = msgspec.convert(site, Site)
        self._store.is_era_rising = self._site.eras == RISING
        if self._site.eras == MISSING:
            self._store.era = None
        if self._site.beat_seconds:
            self._nursery.start_soon(self._run_heartbeats)
        addresses = {}
        for router, targets in paths.items():
            view = RouterView(self._store, targets, random.Random(router))
            address = await self._nursery.start(
                serve_http, view.handle, '127.0.0.1:0'
            )
            proxy = await start_proxy(self._nursery, address)
            self._proxies.members.append(proxy)
            self._views.append(view)
            self._objects[f'view {router}'] = view
            self._objects[f'way {router}'] = proxy
            addresses[router] = proxy.address
        return addresses

    def configure(self, version: int) -> None:
        """Write a version of the configuration."""
        began_at = now()
        self._begin_version(version)
        self._write_configuration()
        self._record_version(began_at, now(), version)

    def configure_two(self, version: int) -> None:
        """Write a version and the one before, which is executed after it."""
        began_at = now()
        self._begin_version(version)
        self._write_configuration()
        self._write_older(version - 1)
        for each in (version - 1, version):
            self._record_version(began_at, now(), each)

    def configure_late(self, version: int, seconds: float) -> None:
        """Write a version without an answer, which is executed later."""
        self._record_version(now(), math.inf, version)
        self._nursery.start_soon(self._write_late, version, seconds)

    def repeat(self) -> None:
        """Write the newest version once more as it is."""
        self._write_configuration()

    def give_up_late_writes(self) -> None:
        """Let the writes that are not executed yet never be executed."""
        for scope in self._late_writes:
            scope.cancel()

    async def write_documents(
        self, documents: list[dict], pause_seconds: float = 0
    ) -> None:
        """Write documents as the configuration, in this order.

        Without a pause, watches are told all of them in one answer.
        """
        for index, written in enumerate(documents):
            if index and pause_seconds:
                await trio.sleep(pause_seconds)
            self._store.put('op/config', msgspec.json.encode(written))

    def write_untold(self, written: dict) -> None:
        """Write a document which no answer to a watch tells.

        What they tell next is that a target has reported again.
        """
        self._store.put('op/config', msgspec.json.encode(written))
        self._store.events.pop()
        name, entry = next(iter(self._entries.items()))
        entry['seq'] += 1
        self._write_target(name)

    def alter(self, changes: dict[str, int]) -> None:
        """Write the version again with an Alteration that has `changes`."""
        number = self._alteration.number + 1
        self._alteration = replace(self._alteration, number=number, **changes)
        self._write_configuration()

    def publish_target(self, name: str, start: int, entry: dict) -> None:
        """Write a target's entry; remove it if its state is 'gone'.

        Its number of reports begins anew with each start of the target.
        """
        old = self._entries.get(name, {'born': 0})
        entry['seq'] = old['seq'] + 1 if old['born'] == entry['born'] else 0
        self._entries[name] = entry
        self._write_target(name)
        written = EntryWritten(
            now(), name, start, entry['state'], entry['service']
        )
        self._records.append(written)

    def stop_reports(self, name: str) -> None:
        """Let a target that stands still report nothing."""
        self._still.add(name)

    def resume_reports(self, name: str) -> None:
        """Let a target report again."""
        self._still.discard(name)

    def drop_history(self) -> None:
        """Let the store forget the changes so far.

        The operator writes the newest version again if only they tell it.
        """
        self._store.drop_history()
        if self._is_behind:
            self._write_configuration()

    def mute_watches(self) -> None:
        """Let watches hear nothing until the history is lost."""
        self._store.is_mute = True

    def cut_watches(self) -> None:
        """End the connections of all watches that wait."""
        self._store.cut_watches()

    def turn_away(self) -> None:
        """Answer the next calls with a failure."""
        self._store.faults.extend([BUSY_STATUS] * BUSY_CALLS)

    def clear_faults(self) -> None:
        """Let the store answer again."""
        self._proxies.clear_faults()
        self._peer_ways.clear_faults()
        self._store.faults.clear()
        for view in self._views:
            view.clear_faults()
        if self._store.is_mute:
            self.drop_history()

    def copy(self, number: int) -> None:
        """Keep a copy of the store."""
        self._copies[number] = self._store.copy()

    def restore(self, number: int) -> None:
        """Go back to a copy, and end the routers' connections."""
        self._store.restore(self._copies[number])
        self._proxies.clear_faults()
        self._proxies.reset_connections()

    def write_again(self) -> None:
        """Write what a restored store has lost, as operators and targets do."""
        self._write_configuration()
        for name in self._entries:
            self._write_target(name)

    def write_lost(self) -> None:
        """Write again only what a restored store has lost.

        So its revisions stay below those that it had given out, for long.
        """
        lost = [
            name
            for name, entry in self._entries.items()
            if self._content(f'servers/{name}') != _encoded(entry)
        ]
        if self._content('op/config') != self._configuration(self._version):
            self._write_configuration()
        for name in lost:
            self._write_target(name)

    async def _run_heartbeats(self) -> None:
        while True:
            await trio.sleep(self._site.beat_seconds)
            for name, entry in self._entries.items():
                if name not in self._still:
                    entry['seq'] += 1
                    self._write_target(name)

    def _begin_version(self, version: int) -> None:
        self._version = version
        self._alteration = replace(self._alteration, number=0)

    def _record_version(self, began_at: float, at: float, version: int) -> None:
        service = moved_to(version, self._site)
        self._records.append(VersionWritten(began_at, at, version, service))

    def _write_configuration(self) -> None:
        self._write_version(self._version)
        self._is_behind = False

    def _write_older(self, version: int) -> None:
        self._write_version(version)
        self._is_behind = True

    def _write_version(self, version: int) -> None:
        self._store.put('op/config', self._configuration(version))

    def _configuration(self, version: int) -> bytes:
        return msgspec.json.encode(
            document(version, self._site, self._alteration)
        )

    def _content(self, key: str) -> bytes:
        """Return the content of an entry of the store; b'' if it has none."""
        item = self._store.items.get(key)
        return b'' if item is None else base64.b64decode(item['value'])

    async def _write_late(self, version: int, seconds: float) -> None:
        with trio.CancelScope() as scope:
            self._late_writes.append(scope)
            await trio.sleep(seconds)
            self._write_older(version)

    def _write_target(self, name: str) -> None:
        key = f'servers/{name}'
        entry = self._entries[name]
        if content := _encoded(entry):
            self._store.put(key, content)
        elif key in self._store.items:
            self._store.delete(key)


def _encoded(entry: dict) -> bytes:
    """Return what the store holds of a target; b'' for one that is gone."""
    return b'' if entry['state'] == 'gone' else msgspec.json.encode(entry)
