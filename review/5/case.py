# flake8: noqa
"""A SIGHUP during the start of a router ends its process.

Three routers are stopped with SIGTERM and started again in turn, three times
over. The settings of each change once more while it starts, so the platform
writes the file and sends SIGHUP. A process that ends by itself is started again
after a short delay, as DEPLOY.md says, without a further SIGHUP.
"""

import asyncio
import collections
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import standins
from standins import TROUBLE, Router, Store

FOLDER = Path(__file__).resolve().parent
ROUNDS = 3
# After the start of the process; it takes about 0.5 s to be ready.
SIGHUP_SECONDS = 0.2
RESTART_SECONDS = 0.3
# Machines on which processes may end by themselves so often.
MAX_MACHINES = 1
ENDS = 3


async def restart(router, record, ends):
    """Stop and start a router; start it again if it ends by itself."""
    status = await router.kill(signal.SIGTERM)
    record(f'{router.name} has stopped on SIGTERM, exit status {status}')
    await router.start()
    record(f'{router.name} is started')
    if TROUBLE:
        await asyncio.sleep(SIGHUP_SECONDS)
        router.change_settings()
        router.process.send_signal(signal.SIGHUP)
        record(f'{router.name}: its settings have changed, SIGHUP')
    try:
        status = await asyncio.wait_for(router.process.wait(), 1.5)
    except TimeoutError:
        return
    ends[router.name] += 1
    record(f'{router.name} has ended by itself, exit status {status}')
    await asyncio.sleep(RESTART_SECONDS)
    await router.start()
    record(f'{router.name} is started')


async def play(temporary, record, routers):
    store = Store()
    await store.start()
    route = {
        'name': 'stock',
        'host': 'stock.example',
        'path_prefix': '/stock/',
        'service': 'stock',
        'kind': 'idempotent',
        'timeout_ms': 1500,
        'slo_ms': 200,
        'max_attempts': 2,
        'priority': 0,
    }
    store.put('op/config', standins.config(7, [route]))
    routers.extend(Router(n, store.address, temporary) for n in (1, 2, 3))
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    ends = collections.Counter()
    for _ in range(ROUNDS):
        for router in routers:
            await restart(router, record, ends)
            await router.wait_ready()
            record(f'{router.name} is ready')
    record(f'Fault: processes that ended by themselves: {dict(ends)}')
    often = [name for name, count in ends.items() if count >= ENDS]
    return len(often) <= MAX_MACHINES


if __name__ == '__main__':
    standins.run_case(FOLDER, play)
