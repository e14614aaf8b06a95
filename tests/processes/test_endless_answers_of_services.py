"""The memory of a router of the product's own interface."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

import httpcore
import pytest

MAX_GROWTH_KILOBYTES = 100 * 1024
REQUESTS = 60
SOUND_REQUESTS = 20
SOUND_BYTES = 800
ANSWER_SECONDS = 5


def _peak_kilobytes(process) -> int:
    status = Path(f'/proc/{process.popen.pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0])


def _ask(address: str, path: str) -> httpcore.Response | None:
    with suppress(httpcore.NetworkError, httpcore.TimeoutException):
        return httpcore.request(
            'GET',
            f'http://{address}{path}',
            extensions={'timeout': {'read': ANSWER_SECONDS}},
        )
    return None


@pytest.fixture
def router(cluster):
    """A router with a sound service and one whose answers never end."""
    for pool in ('sound', 'flood'):
        process = cluster.start(
            pool, '-m', 'tests.processes.endless_target', '0'
        )
        cluster.targets.append(
            {
                'name': pool,
                'address': process.address,
                'kind': 'service',
                'pool': pool,
                'data_centre': 'dc1',
            }
        )
    cluster.publish_targets()
    started = cluster.start_router('r1')
    contracts = [
        {'prefix': f'/{pool}', 'pool': pool} for pool in ('sound', 'flood')
    ]
    assert cluster.configure(started, add_contracts=contracts).status == 200
    return started


# Guards against answers without end that fill the memory of a router, or keep
# it from answering others.
@pytest.mark.parametrize('kind', ['length', 'chunks', 'tiny_chunks', 'interim'])
def test_answers_without_end_take_a_bounded_part_of_the_memory(router, kind):
    before = _peak_kilobytes(router)
    with ThreadPoolExecutor(REQUESTS + 1) as pool:
        for _ in range(REQUESTS):
            pool.submit(_ask, router.address, f'/flood/{kind}')
        answers = [
            _ask(router.address, f'/sound/{SOUND_BYTES}')
            for _ in range(SOUND_REQUESTS)
        ]
    growth = _peak_kilobytes(router) - before
    print(f'growth {growth // 1024} MB')
    assert all(
        answer is not None
        and answer.status == 200
        and len(answer.content) == SOUND_BYTES
        for answer in answers
    )
    assert growth < MAX_GROWTH_KILOBYTES
