"""A store whose watches get no answer, while all other calls do.

One router with its background tasks, in virtual time. What the store has
acknowledged must be in force within two seconds, at any phase of the watches.
"""

from dataclasses import dataclass

import pytest
import trio

from peridotwell.errors import StoreResponseLost
from tests.fleet.replica.test_service_directory import available_names
from tests.forwarding.test_returned_store import (
    IN_FORCE_SECONDS,
    MIN_WATCH_SECONDS,
    WATCH_MARGIN_SECONDS,
    OutageStore,
    start_router,
)

SILENT_AT = 10.0
SILENT_SECONDS = 6.0
# When watches fall silent, and how long before the change.
PHASES = tuple(step / 10 for step in range(24))
DELAYS_SECONDS = (0.01, 0.6, 1.2, 1.8)


@dataclass
class SilentWatchStore(OutageStore):
    """Watches that wait from `silent_at` on, or are sent then, hear nothing."""

    silent_at: float = 0

    async def wait_for_changes(self, after, wait_seconds):
        started_at = trio.current_time()
        changes = None
        with trio.move_on_at(max(self.silent_at, started_at)):
            changes = await super().wait_for_changes(after, wait_seconds)
        if changes is not None:
            return changes
        if started_at >= self.silent_at + SILENT_SECONDS:
            return await super().wait_for_changes(after, wait_seconds)
        limit = max(wait_seconds + WATCH_MARGIN_SECONDS, MIN_WATCH_SECONDS)
        await trio.sleep_until(started_at + limit)
        raise StoreResponseLost('no response to the watch')


# Guards against requests that are refused, and dropped routes and keys that are
# served, by an older configuration: a watch that waits was taken for a store
# that has nothing to tell.
@pytest.mark.parametrize('delay', DELAYS_SECONDS)
@pytest.mark.parametrize('phase', PHASES)
async def test_changes_are_in_force_in_time_while_watches_are_silent(
    autojump_clock, nursery, phase, delay
):
    never = SILENT_AT * 10
    store = SilentWatchStore(never, never, hangs=True)
    store.silent_at = SILENT_AT + phase
    store.items = {
        'table': (b'1', 1),
        't/x': (b'ready 1 1', 2),
        't/y': (b'ready 1 1', 3),
    }
    directory = start_router(nursery, store).directory
    await trio.sleep_until(store.silent_at + delay)
    store.delete('t/x')
    store.put('table', b'2')
    await trio.sleep(IN_FORCE_SECONDS)
    assert directory.table.version == 2
    assert available_names(directory) == ['y']
