"""Configuration changes during faults and races; stopping and leaving."""

import signal
import socket
import threading
import time

import pytest

from standins.cluster import LocalCluster

VERSION_TIMEOUT_SECONDS = 3


def wait_for_version(cluster, router, version, seconds=VERSION_TIMEOUT_SECONDS):
    deadline = time.monotonic() + seconds
    while cluster.status(router)['version'] < version:
        assert time.monotonic() < deadline, f'{router.name} is behind'
        time.sleep(0.02)


@pytest.fixture(scope='module')
def cluster_and_routers():
    """Four routers in two data centres."""
    with LocalCluster() as cluster:
        cluster.start_engine('e1')
        routers = [
            cluster.start_router(name, data_centre, wait=False)
            for name, data_centre in (
                ('r1', 'dc1'),
                ('r2', 'dc1'),
                ('r3', 'dc1'),
                ('r4', 'dc2'),
            )
        ]
        for router in routers:
            cluster.wait_ready(router)
        yield cluster, routers


def change_load_bound(cluster, router, bound):
    return cluster.configure(router, set_defaults={'load_bound': bound})


@pytest.mark.parametrize(
    'faults', [{'down': True}, {'silent': True}, {'stale_reads': True}]
)
def test_accepted_change_reaches_all_routers_during_a_platform_failure(
    cluster_and_routers, faults
):
    cluster, routers = cluster_and_routers
    cluster.set_faults(cluster.platform, slow_seconds=0.02)
    reply = change_load_bound(cluster, routers[0], 1.5)
    cluster.set_faults(cluster.platform, **faults)
    assert reply.status == 200
    version = reply.json()['configuration']['version']
    for router in routers:
        wait_for_version(cluster, router, version)
    time.sleep(0.5)
    assert {cluster.status(router)['version'] for router in routers} == {
        version
    }
    cluster.set_faults(cluster.platform)


def test_change_while_the_platform_is_down_is_refused(cluster_and_routers):
    cluster, routers = cluster_and_routers
    cluster.set_faults(cluster.platform, down=True)
    reply = change_load_bound(cluster, routers[0], 1.7)
    cluster.set_faults(cluster.platform)
    assert reply.status == 503
    assert reply.json()['code'] == 'store_unavailable'


def test_change_is_accepted_though_the_response_to_its_write_is_lost(
    cluster_and_routers,
):
    cluster, routers = cluster_and_routers
    cluster.set_faults(cluster.platform, lose_write_answers=1)
    reply = change_load_bound(cluster, routers[1], 1.8)
    assert reply.status == 200
    version = reply.json()['configuration']['version']
    wait_for_version(cluster, routers[3], version)


def test_one_of_several_concurrent_changes_is_accepted(cluster_and_routers):
    cluster, routers = cluster_and_routers
    base_version = cluster.status(routers[0])['version']
    replies = []

    def send_change(router, bound):
        document = {
            'change_id': f'race-{bound}',
            'reason': 'race',
            'based_on': base_version,
            'set_defaults': {'load_bound': bound},
        }
        operators = router.addresses['operators']
        replies.append(cluster.post(operators, '/configuration', document))

    threads = [
        threading.Thread(target=send_change, args=(router, 2 + index))
        for index, router in enumerate(routers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(reply.status for reply in replies) == [200, 409, 409, 409]
    for router in routers:
        wait_for_version(cluster, router, base_version + 1)


def test_router_started_without_the_platform_gets_its_configuration_from_peers(
    cluster_and_routers,
):
    cluster, routers = cluster_and_routers
    version = cluster.status(routers[0])['version']
    cluster.set_faults(cluster.platform, down=True)
    router_without_peers = cluster.start_router('r6', wait=False)
    time.sleep(1.5)
    reply = cluster.get(router_without_peers.address, '/ready')
    assert reply.status == 503
    assert 'no configuration' in reply.json()['why']
    router_with_seed = cluster.start_router(
        'r5', seeds=(routers[1].addresses['peers'],)
    )
    assert cluster.status(router_with_seed)['version'] == version
    assert (
        cluster.chat(
            router_with_seed, 'served while the platform is down'
        ).status
        == 200
    )
    cluster.set_faults(cluster.platform)
    cluster.wait_ready(router_without_peers)


def test_invalid_bytes_on_the_peer_port_are_ignored(cluster_and_routers):
    cluster, routers = cluster_and_routers
    host, _, port = routers[0].addresses['peers'].rpartition(':')
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(b'GET / HTTP/1.1\r\n\r\n' * 10)
    assert cluster.get(routers[0].address, '/ready').status == 200


def test_stopping_router_completes_its_streams_and_reports_not_ready(cluster):
    cluster.start_engine('e1', '--token_seconds=0.01')
    router = cluster.start_router('r1')
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(cluster.chat(router, 'long', tokens=300))
    )
    caller.start()
    time.sleep(0.3)
    router.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    assert cluster.get(router.address, '/ready').status == 503
    assert (
        cluster.chat(router, 'while the balancer has not noticed').status == 200
    )
    caller.join()
    assert replies[0].body.count(b'id: ') == 300
    assert replies[0].body.endswith(b'data: [DONE]\n\n')
    assert router.wait() == 0


@pytest.mark.parametrize('platform_is_down', [False, True])
def test_leaving_target_gets_no_new_requests(cluster, platform_is_down):
    for name in ('e1', 'e2'):
        cluster.start_engine(name)
    routers = [cluster.start_router(name) for name in ('r1', 'r2')]
    for router in routers:
        cluster.wait_live(router, 'e1')
    leaving = cluster.processes[1]
    if platform_is_down:
        cluster.set_faults(cluster.platform, down=True)
        cluster.set_faults(leaving, leaving=True)
    else:
        cluster.targets[0]['state'] = 'leaving'
        cluster.publish_targets()
    time.sleep(2)
    before = cluster.get(leaving.address, '/counts').json()['started']
    for index in range(20):
        reply = cluster.chat(routers[index % 2], f'chat {index}')
        assert reply.status == 200
    assert cluster.get(leaving.address, '/counts').json()['started'] == before


def test_targets_stay_in_use_when_the_list_is_suddenly_empty(cluster):
    for name in ('e1', 'e2'):
        cluster.start_engine(name)
    router = cluster.start_router('r1')
    cluster.targets.clear()
    cluster.publish_targets()
    time.sleep(0.6)
    assert cluster.chat(router, 'still served').status == 200
    cluster.processes[1].kill()
    cluster.processes[2].kill()
    assert cluster.chat(router, 'nobody left').status == 503
