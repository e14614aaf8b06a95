"""Calls from the soak to objects in its worker processes, as lines of JSON.

A worker answers each call in turn. It ends with its standard input.
"""

import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import trio

from tests.soak.records import Late, Record, now

__all__ = ('Remote', 'Worker', 'record_lateness', 'serve_calls')

ROOT = Path(__file__).parent.parent.parent
TICK_SECONDS = 0.02
# Shorter waits of a process are not recorded.
MIN_LATE_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 5


class Worker:
    """A worker process, as the soak's own process sees it."""

    def __init__(self, name: str, role: str) -> None:
        self.name = name
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'tests.soak.worker', name, role],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._lock = trio.Lock()

    async def ask(self, on: str, call: str, *arguments, **attributes) -> Any:
        """Call a method of the object `on`, and return its result.

        `call` 'set' sets attributes instead. Raises EOFError if the process
        has ended.
        """
        line = msgspec.json.encode((on, call, arguments, attributes)) + b'\n'
        with trio.CancelScope(shield=True):
            async with self._lock:
                reply = await trio.to_thread.run_sync(self._exchange, line)
        if not reply:
            raise EOFError(f'{self.name} has ended: {on} {call}')
        return msgspec.json.decode(reply)

    def stop(self) -> None:
        """End the process."""
        self._process.stdin.close()
        try:
            self._process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()

    def kill(self) -> None:
        """Kill the process, without a wait."""
        self._process.kill()

    def _exchange(self, line: bytes) -> bytes:
        self._process.stdin.write(line)
        self._process.stdin.flush()
        return self._process.stdout.readline()


class Remote:
    """An object in a worker process."""

    def __init__(self, worker: Worker, name: str) -> None:
        self._worker = worker
        self._name = name

    async def call(self, method: str, *arguments) -> Any:
        """Call a method, and return its result."""
        return await self._worker.ask(self._name, method, *arguments)

    async def set(self, **attributes) -> None:
        """Set attributes."""
        await self._worker.ask(self._name, 'set', **attributes)

    async def set_for(
        self, seconds: float, attribute: str, during: Any, after: Any
    ) -> None:
        """Set an attribute for a time."""
        await self.set(**{attribute: during})
        await trio.sleep(seconds)
        await self.set(**{attribute: after})


async def serve_calls(objects: dict[str, Any]) -> None:
    """Serve the calls on standard input until it ends."""
    stream = trio.lowlevel.FdStream(os.dup(sys.stdin.fileno()))
    received = b''
    async for chunk in stream:
        *lines, received = (received + chunk).split(b'\n')
        for line in lines:
            on, call, arguments, attributes = msgspec.json.decode(line)
            reply = await _run(objects[on], call, arguments, attributes)
            sys.stdout.write(msgspec.json.encode(reply).decode() + '\n')
            sys.stdout.flush()


async def _run(thing, call: str, arguments, attributes):
    if call == 'set':
        for name, content in attributes.items():
            setattr(thing, name, content)
        return None
    reply = getattr(thing, call)(*arguments)
    return await reply if hasattr(reply, '__await__') else reply


async def record_lateness(records: list[Record], process: str) -> None:
    """Record how late timers of this process are."""
    while True:
        due_at = now() + TICK_SECONDS
        worked_before = time.process_time()
        await trio.sleep(TICK_SECONDS)
        late_seconds = now() - due_at
        if late_seconds > MIN_LATE_SECONDS:
            worked_seconds = time.process_time() - worked_before
            records.append(Late(now(), process, late_seconds, worked_seconds))
