"""A worker process of a soak run: the store, targets or callers.

Started by the soak, with a name and a role as arguments.
"""

import sys
from pathlib import Path

import msgspec
import trio

from tests.soak.callers import Callers
from tests.soak.control import record_lateness, serve_calls
from tests.soak.records import AnyRecord, Record
from tests.soak.store_host import StoreHost
from tests.soak.target_host import TargetHost

__all__ = ()

ROLES = {'store': StoreHost, 'targets': TargetHost, 'callers': Callers}


class _Recorder:
    """Hands out the records of this process."""

    def __init__(self, records: list[Record]) -> None:
        self._records = records

    def write(self, path: str) -> None:
        Path(path).write_bytes(msgspec.msgpack.encode(self._records))


async def _work(name: str, role: str) -> None:
    records: list[AnyRecord] = []
    async with trio.open_nursery() as nursery:
        objects: dict = {'recorder': _Recorder(records)}
        objects['host'] = ROLES[role](nursery, records, objects)
        nursery.start_soon(record_lateness, records, name)
        await serve_calls(objects)
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(_work, *sys.argv[1:])
