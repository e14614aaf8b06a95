"""Crashing requests, surges, and data centres on their own."""

import signal
import threading
import time

import pytest

from standins.tokens import token_at

KILLER = 'killer of engines'
TOKENS = 60


def run_all(calls):
    replies = []
    threads = [
        threading.Thread(target=lambda call=call: replies.append(call()))
        for call in calls
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies


def expected(text):
    return ''.join(token_at(text, place) for place in range(1, TOKENS + 1))


def test_request_that_crashes_its_targets_is_quarantined(cluster):
    engines = [
        cluster.start_engine(f'e{number}', '--token_seconds=0.02')
        for number in range(4)
    ]
    routers = [cluster.start_router(name) for name in ('r1', 'r2')]
    for engine in engines:
        cluster.set_faults(engine, crash_marker='killer', once=False)
        cluster.wait_live(routers[0], engine.name)
    innocent = [
        lambda text=f'innocent {number}', place=number % 2: (
            text,
            cluster.chat(routers[place], text, tokens=TOKENS),
        )
        for number in range(8)
    ]
    killers = []

    def send_killer():
        time.sleep(0.4)
        for attempt in range(6):
            killers.append(
                cluster.chat(routers[attempt % 2], KILLER, stream=False)
            )
            time.sleep(0.1)
        return ()

    answers = [answer for answer in run_all([*innocent, send_killer]) if answer]
    assert len(answers) == 8
    for text, reply in answers:
        assert (reply.status, reply.text()) == (200, expected(text))
    lost = [engine for engine in engines if engine.popen.poll() is not None]
    assert len(lost) == 2
    assert all(reply.status != 200 for reply in killers)
    codes = [reply.json()['error']['code'] for reply in killers]
    assert codes[-4:] == ['quarantined'] * 4
    listed = cluster.get(
        routers[1].addresses['operators'], '/quarantine'
    ).json()
    assert [entry['lost_targets'] for entry in listed] == [2]
    mark = listed[0]['fingerprint']
    for engine in engines:
        if engine not in lost:
            cluster.set_faults(engine)
    cluster.request(
        'DELETE',
        routers[1].addresses['operators'],
        f'/quarantine/{mark}',
        b'',
        {},
    )
    time.sleep(0.5)
    assert cluster.chat(routers[0], KILLER, stream=False).status == 200


def test_surge_of_one_customer_leaves_the_others_served(cluster):
    engine = cluster.start_engine('e1', '--slots=8', '--token_seconds=0.01')
    router = cluster.start_router('r1')
    cluster.wait_live(router, engine.name)
    cluster.configure(router, set_defaults={'queue_seconds': 3})

    def call(customer, number, tokens):
        return customer, cluster.chat(
            router,
            f'{customer} {number}',
            tokens=tokens,
            peridotwell_customer=customer,
        )

    surge = [
        lambda number=number: call('surging', number, 100)
        for number in range(60)
    ]

    def quiet():
        time.sleep(1)
        return call('quiet', 0, 10)

    began = time.monotonic()
    replies = run_all([*surge, quiet])
    statuses = [reply.status for name, reply in replies if name == 'surging']
    assert (
        next(reply.status for name, reply in replies if name == 'quiet') == 200
    )
    assert set(statuses) == {200, 429}
    for _, reply in replies:
        if reply.status == 429:
            assert reply.json()['error']['ran'] == 'not_run'
            assert int(reply.headers['retry-after']) >= 1
    assert cluster.get(engine.address, '/counts').json()['peak'] <= 8
    assert time.monotonic() - began < 30


def test_call_without_room_to_wait_is_refused_at_once(cluster):
    engine = cluster.start_engine('e1', '--slots=1', '--token_seconds=0.05')
    router = cluster.start_router('r1')
    cluster.wait_live(router, engine.name)
    cluster.configure(router, set_defaults={'queue_seconds': 0})
    replies = run_all(
        [lambda number=number: cluster.chat(router, f'{number}', tokens=40)
         for number in range(4)]
    )  # fmt: skip
    statuses = sorted(reply.status for reply in replies)
    assert statuses == [200, 429, 429, 429]


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_lost_router_leaves_the_others_serving(cluster, number):
    for name in ('e1', 'e2', 'e3'):
        cluster.start_engine(name)
    routers = [cluster.start_router(f'r{place}') for place in range(3)]
    routers[0].send_signal(number)
    for place in range(20):
        reply = cluster.chat(routers[1 + place % 2], f'chat {place}')
        assert reply.status == 200
        time.sleep(0.1)
    routers[0].send_signal(signal.SIGCONT)
    if number is signal.SIGSTOP:
        cluster.wait_ready(routers[0])
        time.sleep(1.5)
        assert cluster.chat(routers[0], 'woken').status == 200


def test_data_centre_on_its_own_serves_its_own_targets(cluster):
    cluster.start_engine('e1', data_centre='dc1')
    cluster.start_engine('e2', data_centre='dc2')
    near = cluster.start_router('r1', 'dc1')
    far = cluster.start_router('r2', 'dc2')
    cluster.set_faults(cluster.platform, silent=True)
    far.send_signal(signal.SIGSTOP)
    for place in range(5):
        assert cluster.chat(near, f'chat {place}').status == 200
        time.sleep(0.3)
    far.send_signal(signal.SIGCONT)
    cluster.set_faults(cluster.platform)
    time.sleep(2)
    cluster.processes[1].kill()
    statuses = [
        cluster.chat(near, f'from afar {place}').status for place in range(3)
    ]
    assert statuses == [200, 200, 200]
