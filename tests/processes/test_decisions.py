"""Requests that crash targets, surges of load, and isolated data centres."""

import signal
import threading
import time

import pytest

from standins.tokens import token_at

CRASHING_PROMPT = 'killer of engines'
TOKENS = 60
# Routers know what one of them has seen within this time.
TOLD_SECONDS = 1.0


def run_in_threads(functions):
    replies = []
    threads = [
        threading.Thread(
            target=lambda function=function: replies.append(function())
        )
        for function in functions
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies


def expected_text(text):
    return ''.join(token_at(text, index) for index in range(1, TOKENS + 1))


def wait_for_quarantine(cluster, router, lost_targets):
    """Return the quarantined requests once they have lost these targets.

    A caller has its answer shortly before all routers know of it.
    """
    end = time.monotonic() + TOLD_SECONDS
    while True:
        quarantine = cluster.get(
            router.addresses['operators'], '/quarantine'
        ).json()
        found = [entry['lost_targets'] for entry in quarantine]
        if found == lost_targets:
            return quarantine
        assert time.monotonic() < end, found
        time.sleep(0.05)


def test_request_that_crashes_its_targets_is_quarantined(cluster):
    engines = [
        cluster.start_engine(f'e{number}', '--token_seconds=0.02')
        for number in range(4)
    ]
    routers = [cluster.start_router(name) for name in ('r1', 'r2')]
    for engine in engines:
        cluster.set_faults(engine, crash_marker='killer', once=False)
        cluster.wait_live(routers[0], engine.name)
    harmless_requests = [
        lambda text=f'innocent {number}', index=number % 2: (
            text,
            cluster.chat(routers[index], text, tokens=TOKENS),
        )
        for number in range(8)
    ]
    crashing_replies = []

    def send_crashing_prompt():
        time.sleep(0.4)
        for attempt in range(6):
            crashing_replies.append(
                cluster.chat(
                    routers[attempt % 2], CRASHING_PROMPT, stream=False
                )
            )
            time.sleep(0.1)
        return ()

    harmless_replies = [
        reply
        for reply in run_in_threads([*harmless_requests, send_crashing_prompt])
        if reply
    ]
    assert len(harmless_replies) == 8
    for text, reply in harmless_replies:
        assert (reply.status, reply.text()) == (200, expected_text(text))
    lost = [engine for engine in engines if engine.popen.poll() is not None]
    assert len(lost) == 2
    assert all(reply.status != 200 for reply in crashing_replies)
    codes = [reply.json()['error']['code'] for reply in crashing_replies]
    assert codes[-4:] == ['quarantined'] * 4
    quarantine = wait_for_quarantine(cluster, routers[1], [2])
    fingerprint = quarantine[0]['fingerprint']
    for engine in engines:
        if engine not in lost:
            cluster.set_faults(engine)
    cluster.request(
        'DELETE',
        routers[1].addresses['operators'],
        f'/quarantine/{fingerprint}',
        b'',
        {},
    )
    time.sleep(0.5)
    assert cluster.chat(routers[0], CRASHING_PROMPT, stream=False).status == 200


def test_surge_of_one_customer_does_not_affect_other_customers(cluster):
    engine = cluster.start_engine('e1', '--slots=8', '--token_seconds=0.01')
    router = cluster.start_router('r1')
    cluster.wait_live(router, engine.name)
    cluster.configure(router, set_defaults={'queue_seconds': 3})

    def send_request(customer, number, tokens):
        return customer, cluster.chat(
            router,
            f'{customer} {number}',
            tokens=tokens,
            peridotwell_customer=customer,
        )

    surge_requests = [
        lambda number=number: send_request('surging', number, 100)
        for number in range(60)
    ]

    def send_quiet_request():
        time.sleep(1)
        return send_request('quiet', 0, 10)

    began = time.monotonic()
    replies = run_in_threads([*surge_requests, send_quiet_request])
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


def test_request_is_refused_at_once_when_waiting_is_not_allowed(cluster):
    engine = cluster.start_engine('e1', '--slots=1', '--token_seconds=0.05')
    router = cluster.start_router('r1')
    cluster.wait_live(router, engine.name)
    cluster.configure(router, set_defaults={'queue_seconds': 0})
    replies = run_in_threads(
        [lambda number=number: cluster.chat(router, f'{number}', tokens=40)
         for number in range(4)]
    )  # fmt: skip
    statuses = sorted(reply.status for reply in replies)
    assert statuses == [200, 429, 429, 429]


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_other_routers_serve_when_a_router_is_lost(cluster, signal_number):
    for name in ('e1', 'e2', 'e3'):
        cluster.start_engine(name)
    routers = [cluster.start_router(f'r{index}') for index in range(3)]
    routers[0].send_signal(signal_number)
    for index in range(20):
        reply = cluster.chat(routers[1 + index % 2], f'chat {index}')
        assert reply.status == 200
        time.sleep(0.1)
    routers[0].send_signal(signal.SIGCONT)
    if signal_number is signal.SIGSTOP:
        cluster.wait_ready(routers[0])
        time.sleep(1.5)
        assert cluster.chat(routers[0], 'woken').status == 200


def test_isolated_data_centre_serves_its_own_targets(cluster):
    cluster.start_engine('e1', data_centre='dc1')
    cluster.start_engine('e2', data_centre='dc2')
    local_router = cluster.start_router('r1', 'dc1')
    remote_router = cluster.start_router('r2', 'dc2')
    cluster.set_faults(cluster.platform, silent=True)
    remote_router.send_signal(signal.SIGSTOP)
    for index in range(5):
        assert cluster.chat(local_router, f'chat {index}').status == 200
        time.sleep(0.3)
    remote_router.send_signal(signal.SIGCONT)
    cluster.set_faults(cluster.platform)
    time.sleep(2)
    cluster.processes[1].kill()
    statuses = [
        cluster.chat(local_router, f'from afar {index}').status
        for index in range(3)
    ]
    assert statuses == [200, 200, 200]
