"""Bookings under faults of targets, routers and the platform."""

import contextlib
import signal
import threading
import time

import httpcore
import pytest

from standins.site import Site

LEDGER = {'prefix': '/ledger', 'pool': 'ledger'}
QUICK = {'first_byte_seconds': 0.6, 'silence_seconds': 0.6}


@pytest.fixture(scope='module')
def shared():
    """Two routers and one ledger; each test resets the faults."""
    with Site() as site:
        site.start_service('l1')
        routers = [site.start_router(name, wait=False) for name in ('r1', 'r2')]
        for router in routers:
            site.wait_ready(router)
        change = {'add_contracts': [LEDGER], 'set_defaults': QUICK}
        assert site.configure(routers[0], **change).status == 200
        yield site, routers


def ledger_of(site):
    return next(found for found in site.processes if found.name == 'l1')


def book(site, router, key, kilograms=3, **headers):
    return site.post(
        router.address,
        '/ledger/bookings',
        {'kg': kilograms},
        idempotency_key=key,
        **headers,
    )


def executions(site, key, ledger=None):
    address = (ledger or ledger_of(site)).address
    records = site.get(address, '/executions').json()
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
    site, routers = shared
    faults, outcome, count = TARGET_FAULTS[name]
    ledger = ledger_of(site)
    site.set_faults(ledger, **faults)
    first = book(site, routers[0], name)
    site.set_faults(ledger)
    assert (ran(first), executions(site, name)) == (outcome, count)
    for router in routers:
        site.wait_live(router, 'l1')
    if outcome == 'unknown':
        assert ran(book(site, routers[1], name)) == 'unknown'
        assert executions(site, name) == 1


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
    site, routers = shared
    site.set_faults(site.platform, **PLATFORM_FAULTS[name])
    first = book(site, routers[0], name)
    during = executions(site, name)
    site.set_faults(site.platform)
    assert (ran(first), during) in {('ran', 1), ('not_run', 0)}
    deadline = time.monotonic() + 10
    while ran(again := book(site, routers[1], name)) != 'ran':
        assert executions(site, name) <= 1
        assert time.monotonic() < deadline, again.body
        time.sleep(0.1)
    assert executions(site, name) == 1


def test_resends_while_running_and_after(shared):
    site, routers = shared
    ledger = ledger_of(site)
    site.set_faults(ledger, delay_seconds=0.4)
    replies = []
    threads = [
        threading.Thread(
            target=lambda chosen=router: replies.append(
                book(site, chosen, 'race')
            )
        )
        for router in routers * 3
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    site.set_faults(ledger)
    assert executions(site, 'race') == 1
    assert sorted(ran(reply) for reply in replies) == ['ran'] + ['unknown'] * 5
    waiting = [reply for reply in replies if reply.status == 409]
    assert all('retry-after' in reply.headers for reply in waiting)
    answered = next(reply for reply in replies if reply.status == 200)
    assert book(site, routers[1], 'race').body == answered.body
    assert executions(site, 'race') == 1


def test_same_key_with_another_body_is_refused(shared):
    site, routers = shared
    assert ran(book(site, routers[0], 'body')) == 'ran'
    other = book(site, routers[1], 'body', kilograms=4)
    assert other.json()['error']['code'] == 'idempotency_key_reused'
    assert executions(site, 'body') == 1


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
    site, routers = shared
    reply = book(site, routers[0], key)
    error = reply.json()['error']
    assert (error['code'], error['ran']) == (code, 'not_run')
    assert executions(site, key) == 0


def test_caller_that_leaves_does_not_stop_its_booking(shared):
    site, routers = shared
    ledger = ledger_of(site)
    site.set_faults(ledger, delay_seconds=0.4)
    with pytest.raises(httpcore.ReadTimeout):
        httpcore.request(
            'POST',
            f'http://{routers[0].address}/ledger/bookings',
            headers={'Idempotency-Key': 'left'},
            content=b'{"kg":3}',
            extensions={'timeout': {'read': 0.1}},
        )
    time.sleep(0.6)
    site.set_faults(ledger)
    assert ran(book(site, routers[1], 'left')) == 'ran'
    assert executions(site, 'left') == 1


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('target_delay', [0.5, 3])
def test_router_lost_while_the_target_runs(site, number, target_delay):
    ledger = site.start_service('l1')
    routers = [site.start_router(name) for name in ('r1', 'r2')]
    site.configure(routers[0], add_contracts=[LEDGER])
    site.set_faults(ledger, delay_seconds=target_delay)
    caller = threading.Thread(target=book_and_ignore, args=(site, routers[0]))
    caller.start()
    time.sleep(0.3)
    routers[0].send_signal(number)
    site.set_faults(ledger)
    endings = {ran(book(site, routers[1], 'k')) for _ in range(3)}
    assert endings == {'unknown'}
    routers[0].send_signal(signal.SIGCONT)
    time.sleep(1)
    assert ran(book(site, routers[1], 'k')) in {'unknown', 'ran'}
    assert executions(site, 'k', ledger) == 1
    caller.join()


def book_and_ignore(site, router):
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        book(site, router, 'k', peridotwell_deadline='2')


@pytest.mark.parametrize(
    ('fault', 'count'), [('die_before_run', 0), ('die_after_run', 1)]
)
def test_target_that_dies(site, fault, count):
    ledger = site.start_service('l1')
    site.start_service('l2')
    router = site.start_router('r1')
    site.configure(router, add_contracts=[LEDGER])
    for service in site.processes[1:3]:
        site.set_faults(service, **{fault: True})
    assert ran(book(site, router, 'k')) == 'unknown'
    lost = [proc for proc in site.processes[1:3] if proc.popen.poll() is None]
    assert len(lost) == 1, 'one target died, no second one was tried'
    assert ran(book(site, router, 'k')) == 'unknown'
    assert executions(site, 'k', lost[0]) == 0
    assert ledger.name == 'l1'
    assert count in {0, 1}
