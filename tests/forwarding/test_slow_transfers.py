"""Answers of watches that arrive slowly: what a router knows meanwhile.

One router with its background tasks, in virtual time. The store answers each
watch in time, but what it tells takes seconds to arrive, as large changes do on
a slow link; other calls are answered at once. Without a pause in the bytes, the
client waits for as long as it takes.
"""

from dataclasses import dataclass

import pytest
import trio

from tests.forwarding.test_returned_store import (
    IN_FORCE_SECONDS,
    OutageStore,
    start_router,
)

CHANGED_AT = 10.0
STEP_SECONDS = 0.05
PHASES = tuple(step / 10 for step in range(21))
TRANSFERS_SECONDS = (2.3, 3.0, 5.0)


@dataclass
class SlowTransferStore(OutageStore):
    """Changes take `transfer_seconds` to arrive."""

    transfer_seconds: float = 0

    async def wait_for_changes(self, after, wait_seconds):
        changes = await super().wait_for_changes(after, wait_seconds)
        if changes.entries and wait_seconds:
            await trio.sleep(self.transfer_seconds)
        return changes


# Guards against requests that are refused by an older configuration, because a
# watch whose answer is still arriving is taken for one that has nothing to tell
# (up to 3.7 s after the acknowledgement).
@pytest.mark.parametrize('transfer_seconds', TRANSFERS_SECONDS)
@pytest.mark.parametrize('phase', PHASES)
async def test_router_does_not_go_by_what_is_older_than_the_bound(
    autojump_clock, nursery, phase, transfer_seconds
):
    never = CHANGED_AT * 10
    store = SlowTransferStore(never, never, hangs=True)
    store.items = {'table': (b'1', 1), 't/x': (b'ready 1 1', 2)}
    directory = start_router(nursery, store).directory
    await trio.sleep(CHANGED_AT + phase)
    store.transfer_seconds = transfer_seconds
    store.put('table', b'2')
    late_at = trio.current_time() + IN_FORCE_SECONDS
    await trio.sleep_until(late_at)
    while directory.table.version < 2:
        now = trio.current_time()
        assert not directory.belief.is_current(now), now - late_at
        await trio.sleep(STEP_SECONDS)
