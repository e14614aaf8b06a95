"""Demonstrates the main features end to end: `make demo`.

Starts the simulated targets and platform and three routers as separate
processes, demonstrates each feature once and ends all processes. The exit
status is 1 if a step failed.
"""

import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.cluster import LocalCluster, Process, Reply

__all__ = ('Tour',)

DEMO_CUSTOMER = 'kaeltekreis'
LONG_RESPONSE_TOKENS = 300


class StepFailed(Exception):
    """A step of the demo did not give the expected result."""


def require(condition: bool, problem: str) -> None:
    """Raise StepFailed with `problem` unless `condition` is true."""
    if not condition:
        raise StepFailed(problem)


@dataclass
class Tour:
    """The processes of the demo, and its steps as methods.

    Each step returns the text to print, and raises StepFailed if it fails.
    """

    cluster: LocalCluster
    routers: list[Process] = field(default_factory=list)
    ledger: Process | None = None
    placement_hint: str = ''

    def start(self) -> str:
        """Start targets and routers."""
        for name in ('engine-1', 'engine-2', 'engine-3'):
            self.cluster.start_engine(name, '--token_seconds=0.01')
        self.ledger = self.cluster.start_service('ledger-1')
        for router in ('router-1', 'router-2', 'router-3'):
            self.routers.append(self.cluster.start_router(router, wait=False))
        for router in self.routers:
            self.cluster.wait_ready(router)
        return '3 routers, 3 engines, 1 ledger, 1 platform, each a process'

    def route_ledger(self) -> str:
        """Add a route to the ledger by a configuration change."""
        return self._run_ctl(
            'contract',
            'add',
            '/ledger',
            'ledger',
            '--reason=bookings go to the ledger',
        )

    def stream_chat(self) -> str:
        """Stream a chat through one router."""
        reply = self._chat(self.routers[0], 12)
        require(
            reply.body.endswith(b'data: [DONE]\n\n'), 'the stream was cut off'
        )
        self.placement_hint = reply.headers['peridotwell-placement']
        return reply.text()

    def continue_chat(self) -> str:
        """Send the chat's next turn through another router."""
        reply = self.cluster.chat(
            self.routers[1],
            'history of cylinder 81',
            stream=False,
            peridotwell_customer=DEMO_CUSTOMER,
            peridotwell_chat='chat-1',
            peridotwell_placement=self.placement_hint,
        )
        cached = reply.headers['x-cached-tokens']
        require(int(cached) > 0, 'no prompt tokens were cached')
        return f'through another router, {cached} prompt tokens cached'

    def send_booking_twice(self) -> str:
        """Send the same booking through two routers; it must run once."""
        replies = [
            self.cluster.post(
                router.address,
                '/ledger/bookings',
                {'cylinder': 81, 'kilograms': 3},
                idempotency_key='booking-81',
                peridotwell_customer=DEMO_CUSTOMER,
            )
            for router in self.routers[:2]
        ]
        executions = self.cluster.get(self.ledger.address, '/executions').json()
        require(
            len(executions) == 1, f'{len(executions)} executions instead of 1'
        )
        require(replies[0].body == replies[1].body, 'the responses differ')
        return (
            f'sent twice, run once, both responses: {replies[0].body.decode()}'
        )

    def change_default(self) -> str:
        """Change a default and check that it is in force on every router."""
        self._run_ctl('config', 'set', 'load_bound', '1.5', '--reason=demo')
        versions = {
            router.name: self.cluster.status(router)['version']
            for router in self.routers
        }
        require(
            len(set(versions.values())) == 1, f'versions differ: {versions}'
        )
        return f'load_bound 1.5 in force, versions {versions}'

    def show_histograms(self) -> str:
        """Show the histograms by customer and priority class."""
        output = self._run_ctl('histograms')
        require(
            DEMO_CUSTOMER in output, 'there is no histogram of the customer'
        )
        return output

    def stop_mid_stream(self) -> str:
        """Stop a router gracefully in the middle of a stream."""
        replies: list[Reply] = []
        caller = threading.Thread(
            target=lambda: replies.append(
                self._chat(self.routers[0], LONG_RESPONSE_TOKENS),
            ),
        )
        caller.start()
        time.sleep(0.5)
        self.routers[0].send_signal(signal.SIGTERM)
        caller.join()
        status = self.routers[0].wait()
        require(status == 0, f'the router exited with {status}')
        require(
            replies[0].body.endswith(b'data: [DONE]\n\n'),
            'the stream was cut off',
        )
        tokens = replies[0].body.count(b'id: ')
        require(tokens == LONG_RESPONSE_TOKENS, f'{tokens} tokens arrived')
        return f'all {tokens} tokens arrived, then the router exited with 0'

    def show_status(self) -> str:
        """Show the status of the remaining routers."""
        return self._run_ctl('status')

    def _chat(self, router: Process, tokens: int) -> Reply:
        return self.cluster.chat(
            router,
            'history of cylinder 81',
            tokens=tokens,
            peridotwell_customer=DEMO_CUSTOMER,
            peridotwell_chat='chat-1',
        )

    def _run_ctl(self, *arguments: str) -> str:
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'peridotwell.ctl',
                f'--router={self.routers[-1].addresses["operators"]}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        require(completed.returncode == 0, completed.stderr)
        return completed.stdout.rstrip()


def run_step(name: str, step: Callable[[], str]) -> bool:
    """Run one step, print its result and return whether it succeeded."""
    try:
        output = step()
    except (StepFailed, OSError, KeyError) as exc:
        print(f'FAILED  {name}: {exc}')
        return False
    indented = output.replace('\n', '\n          ')
    print(f'ok      {name}\n          {indented}')
    return True


def main() -> int:
    """Run every step and return the exit status."""
    with LocalCluster() as cluster:
        tour = Tour(cluster)
        steps = (
            ('start', tour.start),
            ('route the ledger', tour.route_ledger),
            ('stream a chat', tour.stream_chat),
            ('continue the chat', tour.continue_chat),
            ('book a cylinder', tour.send_booking_twice),
            ('change a default', tour.change_default),
            ('histograms', tour.show_histograms),
            ('stop a router mid-stream', tour.stop_mid_stream),
            ('status of the other routers', tour.show_status),
        )
        passed = [run_step(name, step) for name, step in steps]
    print(f'{sum(passed)} of {len(passed)} steps passed')
    return 0 if all(passed) else 1


if __name__ == '__main__':
    sys.exit(main())
