"""A router process, started with the command of the deploy file."""

import os
import signal
import socket
import subprocess
import tomllib
from contextlib import suppress
from pathlib import Path

import trio
from tests.ports import find_free_port

from harness_2.client import send_request

__all__ = ('ROOT', 'Router')

ROOT = Path(__file__).resolve().parent.parent.parent
READY_SECONDS = 15.0
POLL_SECONDS = 0.05
# A router that is ready finds out soon about its targets.
SETTLE_SECONDS = 2.0
OK = 200
# The settings of a machine on the page DEPLOY, with loopback addresses.
SETTINGS = """
node = "{name}"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "north"
region = "country"
port_range = [{first_port}, {last_port}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
north = "country"
[listen]
front = "{front}"
ready_addr = "{ready}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
cap_factor = 2
[provider]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class Router:
    """One router; `front` is the address for clients."""

    def __init__(self, name: str, store: str, folder: Path) -> None:
        """Write the settings of a router that uses the store at an address."""
        self.front = f'127.0.0.1:{find_free_port()}'
        self._ready = f'127.0.0.1:{find_free_port()}'
        self._settings = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'
        first_port = _two_free_ports()
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                first_port=first_port,
                last_port=first_port + 1,
                front=self.front,
                ready=self._ready,
                store=store,
            )
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['router']['run'].split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PERIDOTWELL_SETTINGS': str(self._settings),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the router is ready, and a little longer."""
        with trio.fail_after(READY_SECONDS):
            while True:
                reply = await send_request(
                    self._ready,
                    'GET',
                    '/peridotwell/readyz',
                    (('Host', self._ready),),
                )
                if reply.status == OK:
                    break
                await trio.sleep(POLL_SECONDS)
        await trio.sleep(SETTLE_SECONDS)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self._process is None:
            return
        with suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait()


def _two_free_ports() -> int:
    """Return a free port that another free one follows."""
    while True:
        port = find_free_port()
        with socket.socket() as probe, suppress(OSError):
            probe.bind(('127.0.0.1', port + 1))
            return port
