"""Requests that have failed, and the memory of their bodies."""

import gc

import httpcore
import pytest
import trio

from peridotwell.forwarding.adapters import RoutedRequest
from tests.peridotwell_platform import router_setup, stand_in
from tests.raw_target import RawResponse, RawTarget

GARBAGE = RawResponse(('garbage', '', ''))
REQUESTS = 5
SETTLE_SECONDS = 0.2


@pytest.fixture
def no_collector():
    """Without the garbage collector, cycles of objects stay."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_requests():
    return sum(isinstance(each, RoutedRequest) for each in gc.get_objects())


# Guards against errors in cycles with the frames that hold their requests: a
# request with its body stayed until the garbage collector ran.
@pytest.mark.parametrize('path', ['/read/x', '/draft/x'])
async def test_a_request_is_not_kept_with_its_error(
    nursery, no_collector, path
):
    # Those that tests before have left in this process.
    earlier = count_requests()
    cfg = router_setup.configuration(
        10,
        stand_in.route('read', 'idempotent', max_attempts=1),
        stand_in.route('draft', 'streaming', max_attempts=1),
    )
    store, address = await router_setup.start_store(nursery, cfg)
    target = await RawTarget([GARBAGE]).start(nursery)
    store.put('servers/i-1', router_setup.target_entry(target))
    router = await router_setup.start_router(nursery, 'r', address)
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(REQUESTS):
            headers = router_setup.caller_headers(number, content_length='2')
            await router_setup.call(
                pool, router.address, 'POST', path, headers, b'ab'
            )
    await trio.sleep(SETTLE_SECONDS)
    # The check whether a target has crashed holds the latest one.
    assert count_requests() - earlier <= 1
