"""Changes that a store makes as it forgets its history."""

import msgspec
import pytest
import trio

from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import (
    configuration,
    start_router,
    start_store,
    target_entry,
)

READ = stand_in.route('read', 'idempotent')
CONFIG = configuration(10, READ)
NEXT_CONFIG = {**CONFIG, 'version': 2, 'routes': []}
KEY = 'servers/i-1'
# A change must be in force this long after the store's answer.
IN_FORCE_SECONDS = 2.0
# So long, a watch may wait for its answer; then the entries are read.
MUTE_SECONDS = 3.5
STEP_SECONDS = 0.02
# Changes come at these parts of a watch.
PHASES_SECONDS = (0.1, 0.7, 1.3, 1.9)


async def remove(store):
    store.delete(KEY)


async def drain(store):
    entry = msgspec.json.decode(target_entry('127.0.0.1:9'))
    store.put(KEY, msgspec.json.encode({**entry, 'state': 'draining'}))


async def write_configuration(store):
    store.put('op/config', msgspec.json.encode(NEXT_CONFIG))


@pytest.fixture
async def fleet(nursery):
    """Return a store with one target, and the directory of a router."""
    store, address = await start_store(nursery, CONFIG)
    store.put(KEY, target_entry('127.0.0.1:9'))
    started = await start_router(nursery, 'r-1', address)
    return store, started.router._components.directory


async def wait_until(is_in_force, seconds):
    with trio.move_on_after(seconds):
        while not is_in_force():
            await trio.sleep(STEP_SECONDS)
    return is_in_force()


# Guards against an older configuration, and targets that have left, in use for
# as long as nothing else changes: a watch was answered with a revision whose
# changes it did not tell.
@pytest.mark.parametrize('change', [remove, drain, write_configuration])
@pytest.mark.parametrize('phase', PHASES_SECONDS)
async def test_changes_that_a_watch_does_not_tell_are_read(
    fleet, change, phase
):
    store, directory = fleet
    await trio.sleep(phase)
    await change(store)
    store.drop_history()
    assert await wait_until(
        lambda: is_known(directory, change), IN_FORCE_SECONDS
    )


def is_known(directory, change):
    if change is write_configuration:
        return directory.table.version == 2
    return not directory.available_names


# Guards against the same for as long as watches get no answer from a store that
# answers all other calls.
@pytest.mark.parametrize('change', [remove, drain, write_configuration])
async def test_changes_are_read_if_only_watches_get_no_answer(fleet, change):
    store, directory = fleet
    store.is_mute = True
    await change(store)
    assert await wait_until(lambda: is_known(directory, change), MUTE_SECONDS)
