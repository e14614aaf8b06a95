"""Processes that die amid streams without a mark, and are followed at once."""

from collections import Counter

import pytest
import trio

from tests.mortal_target import whole_events
from tests.peridotwell_platform import router_setup, stand_in
from tests.peridotwell_platform.stream_ends import read_answer
from tests.ports import find_free_port
from tests.processes.test_broken_answers import running, wait_for_port

STREAMS = 20
CONFIG = router_setup.configuration(
    100,
    stand_in.route('draft', 'streaming', max_attempts=1, timeout_ms=4000),
    stand_in.route('ask', 'streaming', resumable=True, timeout_ms=4000),
)


# Guards against streams of a process that was killed and that look whole since
# another one accepts connections on the same port without a gap.
@pytest.mark.parametrize('successor', ['restarted', 'closes', 'silent'])
@pytest.mark.parametrize('how', ['SIGKILL', 'SIGTERM'])
@pytest.mark.parametrize('route', ['draft', 'ask'])
async def test_streams_of_a_process_that_died_never_look_whole(
    nursery, route, how, successor
):
    store, address = await router_setup.start_store(nursery, CONFIG)
    port = find_free_port()
    entry = router_setup.target_entry(f'127.0.0.1:{port}')
    store.put('servers/i-1', entry)
    router = await router_setup.start_router(nursery, 'r-1', address)
    seen = Counter()

    async def ask(number):
        headers = router_setup.caller_headers(number, x_deadline_ms='3500')
        got = await read_answer(router.address, f'/{route}/held', headers)
        is_whole = got.status == 200 and got.content == whole_events()
        seen['whole' if is_whole else got.end] += 1

    module = 'tests.processes.dying_target'
    with running('-m', module, port, how, successor):
        await wait_for_port(port)
        async with trio.open_nursery() as calling:
            for number in range(STREAMS):
                calling.start_soon(ask, number)
    assert seen['cut'] > STREAMS // 2 or route == 'ask'
    assert not seen['connection']
