"""Resumed streams while targets of two software versions serve."""

import base64

import httpcore
import msgspec
import pytest
import trio

from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.test_path import harness

__all__ = ('harness',)

OLD, NEW = 'v1', 'v1.1'


async def set_version(harness, name, version):
    value = harness.store.items[f'servers/{name}']['value']
    entry = msgspec.json.decode(base64.b64decode(value))
    harness.store.put(
        f'servers/{name}', msgspec.json.encode({**entry, 'version': version})
    )
    await trio.sleep(0.3)


@pytest.fixture
async def two_versions(harness):
    """Two targets of two versions; the first of them serves alone before."""
    await set_version(harness, 'i-1', OLD)
    await set_version(harness, 'i-2', NEW)
    return harness


def count_resumed(target):
    return sum(
        'last-event-id' in headers for _, _, headers, _ in target.requests
    )


# Guards against one answer with events of two software versions.
async def test_stream_is_not_resumed_at_another_software_version(two_versions):
    harness = two_versions
    cut = stand_in.stream_events(1, 3, ends=False)
    harness.script_responses(cut, stand_in.stream_events(4, 5))
    with pytest.raises(httpcore.RemoteProtocolError):
        await harness.send_request('/ask/x', 'POST', b'q')
    assert harness.count_requests() == 1


async def test_stream_is_resumed_at_a_target_of_the_same_version(harness):
    await set_version(harness, 'i-1', OLD)
    await set_version(harness, 'i-2', OLD)
    cut = stand_in.stream_events(1, 3, ends=False)
    harness.script_responses(cut, stand_in.stream_events(4, 5))
    resp = await harness.send_request('/ask/x', 'POST', b'q')
    assert resp.content.count(b'data: x') == 5
    assert harness.count_requests() == 2


async def test_stream_without_events_yet_may_go_to_any_version(two_versions):
    harness = two_versions
    harness.script_responses(
        stand_in.refuse_as_not_executed, stand_in.stream_events(1, 5)
    )
    resp = await harness.send_request('/ask/x', 'POST', b'q')
    assert resp.content.count(b'data: x') == 5


# Guards against two answers to one caller with events of two versions.
async def test_stream_that_a_caller_takes_up_stays_at_its_version(
    two_versions,
):
    harness = two_versions
    for number in range(8):
        for target in harness.targets:
            target.requests.clear()
        cut = stand_in.stream_events(1, 3, ends=False)
        harness.script_responses(cut, *[stand_in.stream_events(4, 5)] * 2)
        first_id = f'first-{number}'
        with pytest.raises(httpcore.RemoteProtocolError):
            await harness.send_request(
                '/ask/x', 'POST', b'q', x_request_id=first_id
            )
        (began,) = [each for each in harness.targets if each.requests]
        resp = await harness.send_request(
            '/ask/x', 'POST', b'q', last_event_id='3', resumes=first_id
        )
        assert resp.status == 200
        assert count_resumed(began) == 1
        assert harness.count_requests() == 2
        for target in harness.targets:
            target.script.clear()


async def test_stream_that_nobody_knows_is_refused_while_two_versions_serve(
    two_versions,
):
    harness = two_versions
    resp = await harness.send_request(
        '/ask/x', 'POST', b'q', last_event_id='3', resumes='unknown'
    )
    assert (resp.status, harness.count_requests()) == (503, 0)
    assert float(dict(resp.headers)[b'retry-after']) > 0


async def test_stream_that_nobody_knows_goes_on_while_one_version_serves(
    harness,
):
    resp = await harness.send_request(
        '/ask/x', 'POST', b'q', last_event_id='3', resumes='unknown'
    )
    assert (resp.status, harness.count_requests()) == (200, 1)


# Guards against the end of a release that lets old streams go on anywhere.
async def test_stream_of_a_version_that_has_left_does_not_go_on(two_versions):
    harness = two_versions
    cut = stand_in.stream_events(1, 3, ends=False)
    harness.script_responses(cut, cut)
    with pytest.raises(httpcore.RemoteProtocolError):
        await harness.send_request('/ask/x', 'POST', b'q', x_request_id='one')
    (began,) = [each for each in harness.targets if each.requests]
    harness.store.delete(f'servers/{began.name}')
    await trio.sleep(0.3)
    resp = await harness.send_request(
        '/ask/x', 'POST', b'q', last_event_id='3', resumes='one'
    )
    assert (resp.status, harness.count_requests()) == (503, 1)
