"""Requests at a stopped target that the platform has taken from its list."""

import signal
import threading
import time

import pytest

from tests.ports import find_free_port

POOL = 'ledger'
PREFIX = '/ledger'
LEFT = 'l1'
OTHERS = ('l2', 'l3', 'l4')
DEADLINE_SECONDS = 9
TIMEOUTS = {
    'first_byte_seconds': DEADLINE_SECONDS,
    'silence_seconds': DEADLINE_SECONDS,
}
SETTLE_SECONDS = 0.4
# Until the caller has its answer: the list is read every 0.2 s.
BOUND_SECONDS = 2.5
READ_SECONDS = 0.5
WORK_SECONDS = 4


def start_target(cluster, name):
    """Start a target and list it."""
    port = str(find_free_port())
    target = cluster.start(name, '-m', 'tests.halted_target', port)
    cluster._list_target(target, 'service', POOL, 'dc1')
    return target


def count_runs(cluster):
    """Return how many requests the target has run."""
    lines = (cluster.folder / f'{LEFT}.log').read_text().splitlines()
    return sum(not line.startswith('{') for line in lines)


def remove(cluster):
    cluster.targets[:] = [row for row in cluster.targets if row['name'] != LEFT]
    cluster.publish_targets()


@pytest.fixture
def setup(cluster):
    """Return a router with one target, and that target."""
    target = start_target(cluster, LEFT)
    router = cluster.start_router('r1')
    contract = {'prefix': PREFIX, 'pool': POOL}
    change = {'add_contracts': [contract], 'set_defaults': TIMEOUTS}
    assert cluster.configure(router, **change).status == 200
    cluster.wait_live(router, LEFT)
    return cluster, router, target


def send(cluster, router, method, seconds, replies):
    def run():
        reply = cluster.request(
            method,
            router.address,
            f'{PREFIX}/{seconds}',
            b'',
            {
                'idempotency-key': 'k',
                'peridotwell-deadline': str(DEADLINE_SECONDS),
            },
        )
        replies.append(reply.status)

    thread = threading.Thread(target=run)
    thread.start()
    return thread


# Guards against requests that lie at a stopped target which was removed, and
# run when it goes on (issue 68).
@pytest.mark.parametrize('method', ['POST', 'GET'])
def test_a_stopped_target_that_was_removed_runs_nothing_when_it_goes_on(
    setup, method
):
    cluster, router, target = setup
    target.send_signal(signal.SIGSTOP)
    replies = []
    caller = send(cluster, router, method, 0, replies)
    time.sleep(SETTLE_SECONDS)
    for name in OTHERS:
        cluster.start_service(name)
    time.sleep(SETTLE_SECONDS)
    remove(cluster)
    caller.join(BOUND_SECONDS)
    has_answer = bool(replies)
    target.send_signal(signal.SIGCONT)
    time.sleep(READ_SECONDS)
    runs = count_runs(cluster)
    caller.join()
    assert (has_answer, runs) == (True, 0)


# Guards against requests that are cut at a sound target which was removed.
def test_a_sound_target_that_was_removed_ends_its_work(setup):
    cluster, router, _ = setup
    replies = []
    caller = send(cluster, router, 'POST', WORK_SECONDS, replies)
    time.sleep(SETTLE_SECONDS)
    for name in OTHERS:
        cluster.start_service(name)
    remove(cluster)
    caller.join()
    assert (replies, count_runs(cluster)) == ([200], 1)
