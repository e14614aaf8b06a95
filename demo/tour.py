"""The main job, end to end: `make demo`.

Starts the stand-ins and three routers as separate processes, shows each
promise once and ends everything it started. Exit status 1 if a step failed.
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
LONG_ANSWER_TOKENS = 300


class StepFailed(Exception):
    """A step of the tour did not show what it should."""


def check(holds: bool, problem: str) -> None:
    """Raise StepFailed unless `holds`."""
    if not holds:
        raise StepFailed(problem)


@dataclass
class Tour:
    """The processes of the tour and what its steps found."""

    cluster: LocalCluster
    routers: list[Process] = field(default_factory=list)
    ledger: Process | None = None
    placement: str = ''

    def start(self) -> str:
        """Start targets and routers."""
        for name in ('engine-1', 'engine-2', 'engine-3'):
            self.cluster.start_engine(name, '--token_seconds=0.01')
        self.ledger = self.cluster.start_service('ledger-1')
        for router in ('router-1', 'router-2', 'router-3'):
            self.routers.append(self.cluster.start_router(router, wait=False))
        for waiting in self.routers:
            self.cluster.wait_ready(waiting)
        return '3 routers, 3 engines, 1 ledger, 1 platform, each a process'

    def configure(self) -> str:
        """Route the ledger by a change that names its reason."""
        return self._ctl(
            'contract',
            'add',
            '/ledger',
            'ledger',
            '--reason=bookings go to the ledger',
        )

    def stream_chat(self) -> str:
        """Stream a chat through one router."""
        reply = self._chat(self.routers[0], 12)
        check(reply.body.endswith(b'data: [DONE]\n\n'), 'the stream is cut')
        self.placement = reply.headers['peridotwell-placement']
        return reply.text()

    def return_to_chat(self) -> str:
        """Send the next turn through another router."""
        reply = self.cluster.chat(
            self.routers[1],
            'history of cylinder 81',
            stream=False,
            peridotwell_customer=DEMO_CUSTOMER,
            peridotwell_chat='chat-1',
            peridotwell_placement=self.placement,
        )
        cached = reply.headers['x-cached-tokens']
        check(int(cached) > 0, 'the prefix was not cached')
        return f'through another router, {cached} prompt tokens cached'

    def book_twice(self) -> str:
        """Book a cylinder, and send the same booking again."""
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
        check(len(executions) == 1, f'{len(executions)} executions')
        check(replies[0].body == replies[1].body, 'the answers differ')
        return f'sent twice, run once, both answered {replies[0].body.decode()}'

    def change_default(self) -> str:
        """Change a default and see it in force on every router."""
        self._ctl('config', 'set', 'load_bound', '1.5', '--reason=demo')
        versions = {
            router.name: self.cluster.status(router)['version']
            for router in self.routers
        }
        check(len(set(versions.values())) == 1, f'versions differ: {versions}')
        return f'load_bound 1.5 in force, versions {versions}'

    def show_histograms(self) -> str:
        """Show the histograms of each customer and class."""
        shown = self._ctl('histograms')
        check(DEMO_CUSTOMER in shown, 'no histogram of the customer')
        return shown

    def stop_mid_stream(self) -> str:
        """Stop a router gracefully in the middle of a stream."""
        replies: list[Reply] = []
        caller = threading.Thread(
            target=lambda: replies.append(
                self._chat(self.routers[0], LONG_ANSWER_TOKENS),
            ),
        )
        caller.start()
        time.sleep(0.5)
        self.routers[0].send_signal(signal.SIGTERM)
        caller.join()
        status = self.routers[0].wait()
        check(status == 0, f'the router exited with {status}')
        check(replies[0].body.endswith(b'data: [DONE]\n\n'), 'it was cut')
        tokens = replies[0].body.count(b'id: ')
        check(tokens == LONG_ANSWER_TOKENS, f'{tokens} tokens')
        return f'all {tokens} tokens arrived, then the router exited with 0'

    def show_status(self) -> str:
        """Show the remaining routers."""
        return self._ctl('status')

    def _chat(self, router: Process, tokens: int) -> Reply:
        return self.cluster.chat(
            router,
            'history of cylinder 81',
            tokens=tokens,
            peridotwell_customer=DEMO_CUSTOMER,
            peridotwell_chat='chat-1',
        )

    def _ctl(self, *words: str) -> str:
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'peridotwell.ctl',
                f'--router={self.routers[-1].addresses["operators"]}',
                *words,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        check(done.returncode == 0, done.stderr)
        return done.stdout.rstrip()


def run_step(name: str, step: Callable[[], str]) -> bool:
    """Run one step and print what it showed."""
    try:
        shown = step()
    except (StepFailed, OSError, KeyError) as exc:
        print(f'FAILED  {name}: {exc}')
        return False
    indented = shown.replace('\n', '\n          ')
    print(f'ok      {name}\n          {indented}')
    return True


def main() -> int:
    """Run every step and return the exit status."""
    with LocalCluster() as cluster:
        tour = Tour(cluster)
        steps = (
            ('start', tour.start),
            ('route the ledger', tour.configure),
            ('stream a chat', tour.stream_chat),
            ('its next turn', tour.return_to_chat),
            ('book a cylinder', tour.book_twice),
            ('change a default', tour.change_default),
            ('histograms', tour.show_histograms),
            ('stop a router mid-stream', tour.stop_mid_stream),
            ('status of the others', tour.show_status),
        )
        passed = [run_step(name, step) for name, step in steps]
    print(f'{sum(passed)} of {len(passed)} steps passed')
    return 0 if all(passed) else 1


if __name__ == '__main__':
    sys.exit(main())
