"""Fifty streams that a router ends at once, as their callers see them."""

import signal

import pytest
import trio

from tests.peridotwell_platform import router_setup
from tests.peridotwell_platform.test_program import SETTINGS
from tests.ports import find_free_port
from tests.processes.test_broken_answers import (
    running,
    wait_for_port,
    wait_until_ready,
)
from tests.processes.test_cut_answers import (
    BEGIN_SECONDS,
    CONFIG,
    GRACE_SECONDS,
    WAIT_SECONDS,
    Caller,
)
from tests.processes.test_late_second_answers import (
    CALLERS,
    LARGE_SECONDS,
    LargeAnswers,
    front,
)

__all__ = ('front',)

STREAMS = 50


# Guards against streams that a planned stop or a signal ends all at once, and
# of which some look complete.
@pytest.mark.parametrize('how', ['SIGTERM', 'SIGKILL'])
@pytest.mark.parametrize('framing', ['open', 'chunks'])
async def test_fifty_streams_that_end_with_a_router_never_look_whole(
    nursery, tmp_path, framing, how
):
    store, address = await router_setup.start_store(nursery, CONFIG)
    ports = {name: find_free_port() for name in ('front', 'ready', 'peers')}
    target = find_free_port()
    entry = router_setup.target_entry(f'127.0.0.1:{target}')
    store.put('servers/i-1', entry)
    path = tmp_path / 'node.toml'
    path.write_text(
        SETTINGS.format(grace=GRACE_SECONDS, store=address, **ports)
    )
    callers = [
        Caller(f'/{route}/{framing}/slow', f'{route}-{number}', 'HTTP/1.1')
        for route in ('draft', 'ask')
        for number in range(STREAMS // 2)
    ]
    with (
        running('-m', 'tests.processes.stuttering_target', target),
        running('platform/start.py', PERIDOTWELL_SETTINGS=str(path)) as router,
    ):
        await wait_for_port(target)
        await wait_until_ready(ports['ready'])
        with trio.fail_after(WAIT_SECONDS):
            async with trio.open_nursery() as calling:
                for caller in callers:
                    calling.start_soon(caller.run, ports['front'])
                await trio.sleep(BEGIN_SECONDS)
                router.send_signal(signal.Signals[how])
    assert not [caller for caller in callers if not caller.is_sound()]
    assert sum(bool(caller.body) for caller in callers) > STREAMS // 2


# Guards against streams that are ended for their memory while many others are,
# and of which some look complete.
@pytest.mark.parametrize('framing', ['open', 'chunks'])
async def test_fifty_streams_that_take_too_much_memory_never_look_whole(
    front, framing
):
    large = LargeAnswers(front)
    with trio.move_on_after(LARGE_SECONDS):
        async with trio.open_nursery() as calling:
            for number in range(STREAMS):
                route = ('draft', 'ask')[number % 2]
                calling.start_soon(
                    large._ask,
                    f'/{route}/{framing}/large',
                    f'{route}-{number}',
                    0.02 * (number % CALLERS),
                )
    assert not large.wrong
    assert large.cut
