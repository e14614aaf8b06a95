"""Bookings under faults of targets, routers and the platform."""

import contextlib
import signal
import threading
import time

import httpcore
import pytest

from standins.cluster import LocalCluster

LEDGER = {'prefix': '/ledger', 'pool': 'ledger'}
QUICK = {'first_byte_seconds': 0.6, 'silence_seconds': 0.6}


@pytest.fixture(scope='module')
def shared():
    """Two routers and one ledger; each test resets the faults."""
    with LocalCluster() as cluster:
        cluster.start_service('l1')
        routers = [
            cluster.start_router(name, wait=False) for name in ('r1', 'r2')
        ]
        for router in routers:
            cluster.wait_ready(router)
        change = {'add_contracts': [LEDGER], 'set_defaults': QUICK}
        assert cluster.configure(routers[0], **change).status == 200
        yield cluster, routers


def ledger_of(cluster):
    return next(found for found in cluster.processes if found.name == 'l1')


def book(cluster, router, key, kilograms=3, **headers):
    return cluster.post(
        router.address,
        '/ledger/bookings',
        {'kg': kilograms},
        idempotency_key=key,
        **headers,
    )


def executions(cluster, key, ledger=None):
    address = (ledger or ledger_of(cluster)).address
    records = cluster.get(address, '/executions').json()
    return sum(record['key'] == key for record in records)


def ran(reply):
    return 'ran' if reply.status == 200 else reply.json()['error']['ran']


TARGET_FAULTS = {
    'silent after it ran': ({'silent_after_run': True}, 'unknown', 1),
    'answer cut': ({'cut_answer': True}, 'unknown', 1),
    'answer crossed': ({'crossed': True}, 'unknown', 1),
    'refuses to run': ({'leaving': True}, 'not_run', 0),
    'slow beyond the deadline': ({'delay_seconds': 5}, 'unknown', 1),
}


@pytest.mark.parametrize('name', TARGET_FAULTS)
def test_faults_of_the_target(shared, name):
    cluster, routers = shared
    faults, outcome, count = TARGET_FAULTS[name]
    ledger = ledger_of(cluster)
    cluster.set_faults(ledger, **faults)
    first = book(cluster, routers[0], name)
    cluster.set_faults(ledger)
    assert (ran(first), executions(cluster, name)) == (outcome, count)
    for router in routers:
        cluster.wait_live(router, 'l1')
    if outcome == 'unknown':
        assert ran(book(cluster, routers[1], name)) == 'unknown'
        assert executions(cluster, name) == 1


PLATFORM_FAULTS = {
    'one answer lost': {'lose_write_answers': 1},
    'two answers lost': {'lose_write_answers': 2},
    'all answers lost': {'lose_write_answers': 99},
    'down': {'down': True},
    'silent': {'silent': True},
    'slow': {'slow_seconds': 0.2},
    'rate limit': {'calls_per_second': 0.1},
}


@pytest.mark.parametrize('name', PLATFORM_FAULTS)
def test_faults_of_the_platform(shared, name):
    cluster, routers = shared
    cluster.set_faults(cluster.platform, **PLATFORM_FAULTS[name])
    first = book(cluster, routers[0], name)
    during = executions(cluster, name)
    cluster.set_faults(cluster.platform)
    assert (ran(first), during) in {('ran', 1), ('not_run', 0)}
    deadline = time.monotonic() + 10
    while ran(again := book(cluster, routers[1], name)) != 'ran':
        assert executions(cluster, name) <= 1
        assert time.monotonic() < deadline, again.body
        time.sleep(0.1)
    assert executions(cluster, name) == 1


def test_resends_while_running_and_after(shared):
    cluster, routers = shared
    ledger = ledger_of(cluster)
    cluster.set_faults(ledger, delay_seconds=0.4)
    replies = []
    threads = [
        threading.Thread(
            target=lambda chosen=router: replies.append(
                book(cluster, chosen, 'race')
            )
        )
        for router in routers * 3
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cluster.set_faults(ledger)
    assert executions(cluster, 'race') == 1
    assert sorted(ran(reply) for reply in replies) == ['ran'] + ['unknown'] * 5
    waiting = [reply for reply in replies if reply.status == 409]
    assert all('retry-after' in reply.headers for reply in waiting)
    answered = next(reply for reply in replies if reply.status == 200)
    assert book(cluster, routers[1], 'race').body == answered.body
    assert executions(cluster, 'race') == 1


def test_same_key_with_another_body_is_refused(shared):
    cluster, routers = shared
    assert ran(book(cluster, routers[0], 'body')) == 'ran'
    other = book(cluster, routers[1], 'body', kilograms=4)
    assert other.json()['error']['code'] == 'idempotency_key_reused'
    assert executions(cluster, 'body') == 1


@pytest.mark.parametrize(
    ('key', 'code'),
    [
        ('', 'idempotency_key_missing'),
        ('20200101T000000Z-1', 'idempotency_key_expired'),
        ('20990101T000000Z-1', 'idempotency_key_expired'),
        ('x' * 201, 'bad_request'),
    ],
)
def test_unusable_keys_are_refused_as_not_run(shared, key, code):
    cluster, routers = shared
    reply = book(cluster, routers[0], key)
    error = reply.json()['error']
    assert (error['code'], error['ran']) == (code, 'not_run')
    assert executions(cluster, key) == 0


def test_caller_that_leaves_does_not_stop_its_booking(shared):
    cluster, routers = shared
    ledger = ledger_of(cluster)
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
    assert ran(book(cluster, routers[1], 'left')) == 'ran'
    assert executions(cluster, 'left') == 1


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('target_delay', [0.5, 3])
def test_router_lost_while_the_target_runs(cluster, number, target_delay):
    ledger = cluster.start_service('l1')
    routers = [cluster.start_router(name) for name in ('r1', 'r2')]
    cluster.configure(routers[0], add_contracts=[LEDGER])
    cluster.set_faults(ledger, delay_seconds=target_delay)
    caller = threading.Thread(
        target=book_and_ignore, args=(cluster, routers[0])
    )
    caller.start()
    time.sleep(0.3)
    routers[0].send_signal(number)
    cluster.set_faults(ledger)
    endings = {ran(book(cluster, routers[1], 'k')) for _ in range(3)}
    assert endings == {'unknown'}
    routers[0].send_signal(signal.SIGCONT)
    time.sleep(1)
    assert ran(book(cluster, routers[1], 'k')) in {'unknown', 'ran'}
    assert executions(cluster, 'k', ledger) == 1
    caller.join()


def book_and_ignore(cluster, router):
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        book(cluster, router, 'k', peridotwell_deadline='2')


@pytest.mark.parametrize(
    ('fault', 'count'), [('die_before_run', 0), ('die_after_run', 1)]
)
def test_target_that_dies(cluster, fault, count):
    ledger = cluster.start_service('l1')
    cluster.start_service('l2')
    router = cluster.start_router('r1')
    cluster.configure(router, add_contracts=[LEDGER])
    for service in cluster.processes[1:3]:
        cluster.set_faults(service, **{fault: True})
    assert ran(book(cluster, router, 'k')) == 'unknown'
    lost = [
        proc for proc in cluster.processes[1:3] if proc.popen.poll() is None
    ]
    assert len(lost) == 1, 'one target died, no second one was tried'
    assert ran(book(cluster, router, 'k')) == 'unknown'
    assert executions(cluster, 'k', lost[0]) == 0
    assert ledger.name == 'l1'
    assert count in {0, 1}
