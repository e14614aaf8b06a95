"""A local cluster: a simulated platform, targets and routers as processes.

The demo, the measurements and the tests that need real processes use it.
"""

import signal
import subprocess
import sys
import tempfile
import time
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpcore
import msgspec

__all__ = ('Process', 'Reply', 'LocalCluster')

READY_TIMEOUT_SECONDS = 20
POLL_INTERVAL_SECONDS = 0.02
STOP_TIMEOUT_SECONDS = 10
REPLY_TIMEOUT_SECONDS = 30

SETTINGS_TEMPLATE = """
[instance]
name = "{name}"
data_centre = "{data_centre}"
[listen]
callers = "127.0.0.1:0"
[platform]
url = "http://{platform}"
timeout_seconds = 0.5
[fleet]
stop_delay_seconds = {stop_delay}
seeds = {seeds}
"""
# Replacements in the settings that shorten the router's intervals for tests.
SHORT_INTERVALS = (
    ('[fleet]', 'list_seconds = 0.2\nlease_seconds = 3\n[fleet]'),
    (
        'stop_delay',
        'heartbeat_seconds = 0.1\ndead_after_seconds = 1\nstop_delay',
    ),
)


@dataclass
class Process:
    """A process; `addresses` maps names to the host:port that it announced."""

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, str]

    @property
    def address(self) -> str:
        """Return the address (host:port) that callers connect to."""
        found = self.addresses.get('address')
        return found or self.addresses['callers']

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def wait(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the end of the process and return its exit status.

        Raises subprocess.TimeoutExpired after `seconds`.
        """
        return self.popen.wait(seconds)


@dataclass(frozen=True)
class Reply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, decoded from JSON."""
        return msgspec.json.decode(self.body)

    def text(self) -> str:
        """Return the generated text of a chat response, streamed or not."""
        if not self.body.startswith(b'id:'):
            return str(self.json()['choices'][0]['message']['content'])
        lines = self.body.decode().splitlines()
        chunks = [
            msgspec.json.decode(line.removeprefix('data: '))
            for line in lines
            if line.startswith('data: {')
        ]
        return ''.join(
            chunk['choices'][0]['delta']['content'] for chunk in chunks
        )


class LocalCluster:
    """Processes of one test or demo, which `close` ends together.

    Starts the simulated platform at once; the other processes follow by the
    `start_...` methods. `folder` holds their logs and settings files.
    """

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='peridotwell-'))
        self.processes: list[Process] = []
        self.targets: list[dict[str, Any]] = []
        self.platform = self.start('platform', '-m', 'standins.platform')

    def __enter__(self) -> 'LocalCluster':
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process that this cluster has started."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()

    def start_engine(
        self,
        name: str,
        *arguments: str,
        data_centre: str = 'dc1',
        model: str = 'ink',
    ) -> Process:
        """Start a simulated engine and add it to the instance list."""
        engine = self.start(name, '-m', 'standins.engine', *arguments)
        self._list_target(engine, 'engine', model, data_centre)
        return engine

    def start_service(
        self,
        name: str,
        data_centre: str = 'dc1',
        pool: str = 'ledger',
    ) -> Process:
        """Start a simulated service and add it to the instance list."""
        service = self.start(name, '-m', 'standins.service')
        self._list_target(service, 'service', pool, data_centre)
        return service

    def start_router(
        self,
        name: str,
        data_centre: str = 'dc1',
        *,
        stop_delay: float = 0.3,
        seeds: tuple[str, ...] = (),
        wait: bool = True,
        short_intervals: bool = True,
    ) -> Process:
        """Start a router and, if `wait` is set, wait until it is ready.

        `stop_delay` is in seconds. `seeds` are peer addresses (host:port).
        `short_intervals` shortens heartbeats, leases and list reads.
        """
        settings = SETTINGS_TEMPLATE
        for old, replacement in SHORT_INTERVALS if short_intervals else ():
            settings = settings.replace(old, replacement, 1)
        path = self.folder / f'{name}-{uuid.uuid4().hex[:6]}.toml'
        path.write_text(
            settings.format(
                name=name,
                data_centre=data_centre,
                platform=self.platform.address,
                stop_delay=stop_delay,
                seeds=msgspec.json.encode(seeds).decode(),
            ),
        )
        router = self.start(
            name,
            '-m',
            'peridotwell.daemon',
            f'--settings={path}',
        )
        if wait:
            self.wait_ready(router)
        return router

    def wait_ready(self, router: Process) -> None:
        """Wait until a router reports that it is ready.

        Raises TimeoutError after READY_TIMEOUT_SECONDS.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while self.get(router.address, '/ready').status != 200:
            if time.monotonic() > deadline:
                raise TimeoutError(f'{router.name} is not ready')
            time.sleep(POLL_INTERVAL_SECONDS)

    def wait_live(self, router: Process, target: str) -> None:
        """Wait until a router reports a target as live, with its slots.

        Raises TimeoutError after READY_TIMEOUT_SECONDS.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not any(
            row['name'] == target and row['state'] == 'live' and row['slots']
            for row in self.status(router)['targets']
        ):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{target} is not live on {router.name}')
            time.sleep(POLL_INTERVAL_SECONDS)

    def publish_targets(self) -> None:
        """Replace the platform's instance list by `targets`."""
        self.put(self.platform.address, '/instances', self.targets)

    def set_faults(self, process: Process, **faults: object) -> None:
        """Set the faults that a simulated target or platform injects.

        Faults that are not named are switched off.
        """
        self.post(process.address, '/faults', faults)

    def get(self, address: str, path: str, **headers: str) -> Reply:
        """Send a GET request."""
        return self.request('GET', address, path, b'', headers)

    def put(self, address: str, path: str, document: object) -> Reply:
        """Send a PUT request with a JSON body."""
        body = msgspec.json.encode(document)
        return self.request('PUT', address, path, body, {})

    def post(
        self,
        address: str,
        path: str,
        document: object,
        **headers: str,
    ) -> Reply:
        """Send a POST request with a JSON body."""
        body = msgspec.json.encode(document)
        return self.request('POST', address, path, body, headers)

    def chat(
        self,
        router: Process,
        text: str,
        *,
        stream: bool = True,
        tokens: int = 8,
        model: str = 'ink',
        **headers: str,
    ) -> Reply:
        """Send a chat with one user message; return the complete response."""
        document = {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'stream': stream,
            'max_tokens': tokens,
        }
        return self.post(
            router.address,
            '/v1/chat/completions',
            document,
            **headers,
        )

    def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply:
        """Send a request on a new connection and return the response.

        Underscores in header names are replaced by hyphens.
        """
        timeout = {
            'read': REPLY_TIMEOUT_SECONDS,
            'connect': REPLY_TIMEOUT_SECONDS,
        }
        resp = httpcore.request(
            method,
            f'http://{address}{path}',
            headers=[
                (name.replace('_', '-'), text) for name, text in headers.items()
            ],
            content=body,
            extensions={'timeout': timeout},
        )
        names = {
            name.decode().lower(): text.decode() for name, text in resp.headers
        }
        return Reply(resp.status, names, resp.content)

    def configure(self, router: Process, **change: object) -> Reply:
        """Send a configuration change, based on the version in force."""
        address = router.addresses['operators']
        current = self.get(address, '/configuration').json()
        document = {
            'change_id': uuid.uuid4().hex,
            'reason': 'set by the local cluster',
            'based_on': current['version'],
            **change,
        }
        return self.post(address, '/configuration', document)

    def status(self, router: Process) -> Any:
        """Return a router's status document."""
        return self.get(router.addresses['operators'], '/status').json()

    def _list_target(
        self,
        process: Process,
        kind: str,
        pool: str,
        data_centre: str,
    ) -> None:
        self.targets.append(
            {
                'name': process.name,
                'address': process.address,
                'kind': kind,
                'pool': pool,
                'data_centre': data_centre,
            }
        )
        self.publish_targets()

    def start(self, name: str, *arguments: str) -> Process:
        """Start a Python process and wait until it announces its addresses."""
        path = self.folder / f'{name}.log'
        with path.open('ab') as log:
            log_offset = log.tell()
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
            )
        process = Process(name, popen, {})
        self.processes.append(process)
        process.addresses = _read_addresses(popen, path, log_offset)
        return process


def _read_addresses(
    popen: subprocess.Popen[bytes],
    path: Path,
    log_offset: int,
) -> dict[str, str]:
    """Return the addresses that a process announces, as a line of JSON.

    Its log lines are JSON too; they differ by their key `event`. Raises
    RuntimeError if the process ends or does not announce them in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline and popen.poll() is None:
        log_bytes = path.read_bytes()[log_offset:]
        for line in log_bytes.split(b'\n')[:-1]:
            if line.startswith(b'{') and b'"event"' not in line:
                found: dict[str, str] = msgspec.json.decode(line)
                return found
        time.sleep(POLL_INTERVAL_SECONDS)
    raise RuntimeError(f'{path.stem} did not start: see {path}')
