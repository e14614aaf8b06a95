"""Starts, stops and continues a halted target."""

import signal
import subprocess
import sys

import trio

from tests.ports import find_free_port

__all__ = ('HaltedTarget',)

LOCALHOST = '127.0.0.1'


class HaltedTarget:
    """A target in a process of its own, which can be stopped."""

    def __init__(self, *arguments: str) -> None:
        self.port = find_free_port()
        self.address = f'{LOCALHOST}:{self.port}'
        self.process = subprocess.Popen(
            (
                sys.executable,
                '-m',
                'tests.halted_target',
                str(self.port),
                *arguments,
            ),
            stdout=subprocess.PIPE,
        )
        self.ran: list[str] | None = None

    async def start(self, nursery: trio.Nursery) -> str:
        """Return the address."""
        await self.wait_until_it_listens()
        return self.address

    async def wait_until_it_listens(self):
        with trio.fail_after(10):
            while True:
                try:
                    stream = await trio.open_tcp_stream(LOCALHOST, self.port)
                except OSError:
                    await trio.sleep(0.02)
                else:
                    await stream.aclose()
                    return

    def stop(self):
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self):
        self.process.send_signal(signal.SIGCONT)

    def end(self):
        """End the process; return the ids of the requests that it has run."""
        self.process.kill()
        if self.ran is None:
            lines = self.process.communicate()[0].decode().splitlines()
            self.ran = lines[1:]
        return self.ran
