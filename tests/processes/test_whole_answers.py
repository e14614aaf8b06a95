"""Token streams and complete responses during faults of the engines."""

import time

import httpcore
import msgspec
import pytest

from peridotwell.domain.target import wire_id
from standins.cluster import LocalCluster
from standins.tokens import token_at

TOKENS = 12
SHORT_TIMEOUTS = {
    'first_byte_seconds': 1,
    'silence_seconds': 0.4,
    'retry_fraction': 1,
}
FAULTS = {
    'cut': {'cut_after_tokens': 5},
    'cut before the first token': {'cut_after_tokens': 0},
    'silent': {'silent_after_tokens': 5},
    'silent before the first token': {'silent_after_tokens': 0},
    'crossed': {'crossed': True},
    'a token repeated': {'repeat_token': 6},
    'a token skipped': {'skip_token': 6},
    'late': {'late_seconds': 0.3},
}


@pytest.fixture(scope='module')
def cluster_and_router():
    """Two engines behind one router."""
    with LocalCluster() as cluster:
        for name in ('e1', 'e2'):
            cluster.start_engine(name, '--token_seconds=0.002')
        router = cluster.start_router('r1')
        assert (
            cluster.configure(router, set_defaults=SHORT_TIMEOUTS).status == 200
        )
        yield cluster, router


def find_engines(cluster):
    return [found for found in cluster.processes if found.name in ('e1', 'e2')]


def expected_text(text):
    tokens = (token_at(text, position) for position in range(1, TOKENS + 1))
    return ''.join(tokens)


CASES = [
    (name, stream)
    for name in FAULTS
    for stream in (True, False)
    # Tokens have numbers in streams only.
    if stream or not name.startswith('a token')
]


@pytest.mark.parametrize(('name', 'stream'), CASES)
def test_single_engine_fault_is_invisible_to_the_caller(
    cluster_and_router, name, stream
):
    cluster, router = cluster_and_router
    faults = {'once': True, **FAULTS[name]}
    cluster.set_faults(find_engines(cluster)[0], **faults)
    for text in (f'{name} a', f'{name} b', f'{name} c'):
        reply = cluster.chat(
            router,
            text,
            stream=stream,
            tokens=TOKENS,
            peridotwell_placement=f'{wire_id("e1"):08x}',
        )
        assert reply.status == 200
        assert reply.text() == expected_text(text)
        ids = [
            int(line[4:])
            for line in reply.body.split(b'\n')
            if line.startswith(b'id: ')
        ]
        assert ids == (list(range(1, TOKENS + 1)) if stream else [])


@pytest.mark.parametrize(
    'faults', [{'cut_after_tokens': 3}, {'silent_after_tokens': 3}]
)
def test_stream_that_cannot_be_completed_ends_with_an_error(
    cluster_and_router, faults
):
    cluster, router = cluster_and_router
    for engine in find_engines(cluster):
        cluster.set_faults(engine, once=False, **faults)
    with pytest.raises(httpcore.RemoteProtocolError):
        cluster.chat(router, 'cut for good', tokens=100)
    whole = cluster.chat(router, 'cut for good', stream=False, tokens=100)
    for engine in find_engines(cluster):
        cluster.set_faults(engine)
    assert whole.status == 502
    assert whole.json()['error']['code'] == 'target_failed'


def test_engine_work_is_cancelled_when_its_caller_disconnects(
    cluster_and_router,
):
    cluster, router = cluster_and_router
    before = sum(
        cluster.get(engine.address, '/counts').json()['cancelled']
        for engine in find_engines(cluster)
    )
    document = {
        'model': 'ink',
        'messages': [{'role': 'user', 'content': 'left'}],
        'stream': True,
        'max_tokens': 5000,
    }
    with httpcore.stream(
        'POST',
        f'http://{router.address}/v1/chat/completions',
        content=msgspec.json.encode(document),
    ) as resp:
        next(resp.iter_stream())
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        cancelled = sum(
            cluster.get(engine.address, '/counts').json()['cancelled']
            for engine in find_engines(cluster)
        )
        if cancelled > before:
            break
        time.sleep(0.05)
    assert cancelled == before + 1
    assert cluster.status(router)['running_calls'] == 0


def test_stream_is_completed_when_its_engine_crashes(cluster):
    for name in ('e1', 'e2'):
        cluster.start_engine(name, '--token_seconds=0.01')
    router = cluster.start_router('r1')
    cluster.set_faults(cluster.processes[1], crash_marker='killer')
    for text in ('killer one', 'killer two', 'killer three'):
        reply = cluster.chat(router, text, tokens=TOKENS)
        assert reply.text() == expected_text(text)


INVALID_REQUESTS = {
    'not JSON': ('POST', '/v1/chat/completions', b'{', {}, 400),
    'no model': ('POST', '/v1/chat/completions', b'{}', {}, 400),
    'wrong method': ('GET', '/v1/chat/completions', b'', {}, 400),
    'unknown path': ('GET', '/nowhere', b'', {}, 404),
    'unknown model': (
        'POST',
        '/v1/chat/completions',
        b'{"model":"none","messages":[]}',
        {},
        503,
    ),
    'body too large': (
        'POST',
        '/v1/chat/completions',
        b'x' * (8 * 1024 * 1024 + 1),
        {},
        413,
    ),
    'header too long': (
        'POST',
        '/v1/chat/completions',
        b'{"model":"ink","messages":[]}',
        {'peridotwell-customer': 'x' * 201},
        400,
    ),
    'bad deadline': (
        'POST',
        '/v1/chat/completions',
        b'{"model":"ink","messages":[]}',
        {'peridotwell-deadline': 'soon'},
        400,
    ),
    'bad resume': (
        'POST',
        '/v1/chat/completions',
        b'{"model":"ink","messages":[]}',
        {'last-event-id': '-1'},
        400,
    ),
}


@pytest.mark.parametrize('name', INVALID_REQUESTS)
def test_invalid_request_is_refused_as_not_run(cluster_and_router, name):
    cluster, router = cluster_and_router
    method, path, body, headers, status = INVALID_REQUESTS[name]
    reply = cluster.request(method, router.address, path, body, headers)
    assert reply.status == status
    assert reply.json()['error']['ran'] == 'not_run'
    assert cluster.get(router.address, '/ready').status == 200
