"""Bookings run at most once during faults of targets, routers and platform."""

import contextlib
import signal
import threading
import time

import httpcore
import pytest

from standins import exit_statuses
from standins.cluster import LocalCluster

LEDGER = {'prefix': '/ledger', 'pool': 'ledger'}
SHORT_TIMEOUTS = {'first_byte_seconds': 0.6, 'silence_seconds': 0.6}


@pytest.fixture(scope='module')
def cluster_and_routers():
    """Two routers and one ledger; each test clears the faults that it sets."""
    with LocalCluster() as cluster:
        cluster.start_service('l1')
        routers = [
            cluster.start_router(name, wait=False) for name in ('r1', 'r2')
        ]
        for router in routers:
            cluster.wait_ready(router)
        change = {'add_contracts': [LEDGER], 'set_defaults': SHORT_TIMEOUTS}
        assert cluster.configure(routers[0], **change).status == 200
        yield cluster, routers


def find_ledger(cluster):
    return next(found for found in cluster.processes if found.name == 'l1')


def send_booking(cluster, router, key, kilograms=3, **headers):
    return cluster.post(
        router.address,
        '/ledger/bookings',
        {'kg': kilograms},
        idempotency_key=key,
        **headers,
    )


def count_executions(cluster, key, ledger=None):
    address = (ledger or find_ledger(cluster)).address
    records = cluster.get(address, '/executions').json()
    return sum(record['key'] == key for record in records)


def run_state(reply):
    return 'ran' if reply.status == 200 else reply.json()['error']['ran']


TARGET_FAULTS = {
    'no response after it ran': ({'silent_after_run': True}, 'unknown', 1),
    'response cut off': ({'cut_answer': True}, 'unknown', 1),
    'response to another request': ({'crossed': True}, 'unknown', 1),
    'refuses to run': ({'leaving': True}, 'not_run', 0),
    'slow beyond the deadline': ({'delay_seconds': 5}, 'unknown', 1),
}


@pytest.mark.parametrize('name', TARGET_FAULTS)
def test_booking_during_a_target_fault_runs_at_most_once(
    cluster_and_routers, name
):
    cluster, routers = cluster_and_routers
    faults, outcome, count = TARGET_FAULTS[name]
    ledger = find_ledger(cluster)
    cluster.set_faults(ledger, **faults)
    first = send_booking(cluster, routers[0], name)
    cluster.set_faults(ledger)
    assert (run_state(first), count_executions(cluster, name)) == (
        outcome,
        count,
    )
    for router in routers:
        cluster.wait_live(router, 'l1')
    if outcome == 'unknown':
        assert run_state(send_booking(cluster, routers[1], name)) == 'unknown'
        assert count_executions(cluster, name) == 1


PLATFORM_FAULTS = {
    'one response lost': {'lose_write_answers': 1},
    'two responses lost': {'lose_write_answers': 2},
    'all responses lost': {'lose_write_answers': 99},
    'down': {'down': True},
    'silent': {'silent': True},
    'slow': {'slow_seconds': 0.2},
    'rate limit': {'calls_per_second': 0.1},
}


@pytest.mark.parametrize('name', PLATFORM_FAULTS)
def test_booking_during_a_platform_fault_runs_at_most_once(
    cluster_and_routers, name
):
    cluster, routers = cluster_and_routers
    cluster.set_faults(cluster.platform, **PLATFORM_FAULTS[name])
    first = send_booking(cluster, routers[0], name)
    during = count_executions(cluster, name)
    cluster.set_faults(cluster.platform)
    assert (run_state(first), during) in {('ran', 1), ('not_run', 0)}
    deadline = time.monotonic() + 10
    while run_state(second := send_booking(cluster, routers[1], name)) != 'ran':
        assert count_executions(cluster, name) <= 1
        assert time.monotonic() < deadline, second.body
        time.sleep(0.1)
    assert count_executions(cluster, name) == 1


def test_concurrent_and_later_resends_do_not_run_a_booking_again(
    cluster_and_routers,
):
    cluster, routers = cluster_and_routers
    ledger = find_ledger(cluster)
    cluster.set_faults(ledger, delay_seconds=0.4)
    replies = []
    threads = [
        threading.Thread(
            target=lambda chosen=router: replies.append(
                send_booking(cluster, chosen, 'race')
            )
        )
        for router in routers * 3
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cluster.set_faults(ledger)
    assert count_executions(cluster, 'race') == 1
    assert (
        sorted(run_state(reply) for reply in replies)
        == ['ran'] + ['unknown'] * 5
    )
    conflicts = [reply for reply in replies if reply.status == 409]
    assert all('retry-after' in reply.headers for reply in conflicts)
    first_success = next(reply for reply in replies if reply.status == 200)
    assert send_booking(cluster, routers[1], 'race').body == first_success.body
    assert count_executions(cluster, 'race') == 1


def test_idempotency_key_with_a_different_body_is_refused(cluster_and_routers):
    cluster, routers = cluster_and_routers
    assert run_state(send_booking(cluster, routers[0], 'body')) == 'ran'
    other = send_booking(cluster, routers[1], 'body', kilograms=4)
    assert other.json()['error']['code'] == 'idempotency_key_reused'
    assert count_executions(cluster, 'body') == 1


@pytest.mark.parametrize(
    ('key', 'code'),
    [
        ('', 'idempotency_key_missing'),
        ('20200101T000000Z-1', 'idempotency_key_expired'),
        ('20990101T000000Z-1', 'idempotency_key_expired'),
        ('x' * 201, 'bad_request'),
    ],
)
def test_unusable_keys_are_refused_as_not_run(cluster_and_routers, key, code):
    cluster, routers = cluster_and_routers
    reply = send_booking(cluster, routers[0], key)
    error = reply.json()['error']
    assert (error['code'], error['ran']) == (code, 'not_run')
    assert count_executions(cluster, key) == 0


def test_booking_completes_after_its_caller_disconnects(cluster_and_routers):
    cluster, routers = cluster_and_routers
    ledger = find_ledger(cluster)
    cluster.set_faults(ledger, delay_seconds=0.4)
    with pytest.raises(httpcore.ReadTimeout):
        httpcore.request(
            'POST',
            f'http://{routers[0].address}/ledger/bookings',
            headers={'Idempotency-Key': 'left'},
            content=b'{"kg":3}',
            extensions={'timeout': {'read': 0.1}},
        )
    time.sleep(0.6)
    cluster.set_faults(ledger)
    assert run_state(send_booking(cluster, routers[1], 'left')) == 'ran'
    assert count_executions(cluster, 'left') == 1


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('target_delay_seconds', [0.5, 3])
def test_booking_runs_once_when_its_router_is_lost_meanwhile(
    cluster, signal_number, target_delay_seconds
):
    ledger = cluster.start_service('l1')
    routers = [cluster.start_router(name) for name in ('r1', 'r2')]
    cluster.configure(routers[0], add_contracts=[LEDGER])
    cluster.set_faults(ledger, delay_seconds=target_delay_seconds)
    caller = threading.Thread(
        target=send_booking_ignoring_errors, args=(cluster, routers[0])
    )
    caller.start()
    time.sleep(0.3)
    routers[0].send_signal(signal_number)
    cluster.set_faults(ledger)
    run_states = {
        run_state(send_booking(cluster, routers[1], 'k')) for _ in range(3)
    }
    assert run_states == {'unknown'}
    routers[0].send_signal(signal.SIGCONT)
    time.sleep(1)
    assert run_state(send_booking(cluster, routers[1], 'k')) in {
        'unknown',
        'ran',
    }
    assert count_executions(cluster, 'k', ledger) == 1
    caller.join()


def send_booking_ignoring_errors(cluster, router):
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        send_booking(cluster, router, 'k', peridotwell_deadline='2')


@pytest.mark.parametrize(
    ('fault', 'exit_status'),
    [
        ('die_before_run', exit_statuses.CRASH),
        ('die_after_run', exit_statuses.CRASH_AFTER_RUN),
    ],
)
def test_booking_is_not_retried_when_its_target_dies(
    cluster, fault, exit_status
):
    cluster.start_service('l1')
    cluster.start_service('l2')
    router = cluster.start_router('r1')
    cluster.configure(router, add_contracts=[LEDGER])
    for service in cluster.processes[1:3]:
        cluster.set_faults(service, **{fault: True})
    assert run_state(send_booking(cluster, router, 'k')) == 'unknown'
    services = cluster.processes[1:3]
    survivors = [proc for proc in services if proc.popen.poll() is None]
    assert len(survivors) == 1, (
        'the booking must not be tried on a second target'
    )
    (dead,) = [proc for proc in services if proc not in survivors]
    assert dead.popen.returncode == exit_status
    assert run_state(send_booking(cluster, router, 'k')) == 'unknown'
    assert count_executions(cluster, 'k', survivors[0]) == 0
