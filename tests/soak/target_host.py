"""The targets of one worker process, and the routers' ways to them."""

import random
from typing import Any

import trio

from tests.accepting import serve_connections
from tests.soak.proxy import start_proxy
from tests.soak.records import Record
from tests.soak.target import SoakTarget

__all__ = ('TargetHost',)


class TargetHost:
    """Starts targets, each behind proxies that inject network faults."""

    def __init__(
        self,
        nursery: trio.Nursery,
        records: list[Record],
        objects: dict[str, Any],
    ) -> None:
        self._nursery = nursery
        self._records = records
        self._objects = objects

    async def start(
        self, names: list[str], routers: list[str], seed: int, process: str
    ) -> dict[str, dict[str, str]]:
        """Start targets; return their addresses by router and target.

        `process` is the name of this process.
        The addresses for no particular router stand under an empty name. The
        objects of this process are then the targets by their names, their
        proxies as 't0 proxy', and the ways of each router as 'r0 t0'.
        """
        addresses: dict = {each: {} for each in ('', *routers)}
        for name in names:
            draws = random.Random(f'{name} {seed}')
            target = SoakTarget(name, self._records, draws, process)
            target.odd_draws = random.Random(f'odd {name} {seed}')
            address = await self._nursery.start(serve_connections, target.serve)
            target.proxy = await start_proxy(self._nursery, address)
            self._objects[name] = target
            self._objects[f'{name} proxy'] = target.proxy
            addresses[''][name] = target.proxy.address
            for router in routers:
                path = await start_proxy(self._nursery, target.proxy.address)
                target.ways.append(path)
                self._objects[f'{router} {name}'] = path
                addresses[router][name] = path.address
        return addresses
