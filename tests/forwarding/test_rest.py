"""What a router does at rest: in virtual time, one router alone."""

import trio

from tests.forwarding.test_returned_store import OutageStore, start_router

SECONDS = 20
# Ten ticks of the update exchange, and what the store and the records need,
# with the turns that the virtual clock adds.
MAX_TURNS_PER_SECOND = 32


class _Turns(trio.abc.Instrument):
    """Counts the turns of the event loop."""

    def __init__(self):
        self.count = 0

    def before_io_wait(self, timeout):
        self.count += 1


# Guards against tasks that wake up to find that there is nothing to do: 59
# routers at rest took two processors.
async def test_a_router_at_rest_turns_the_event_loop_rarely(
    autojump_clock, nursery
):
    store = OutageStore(1000, 1000, hangs=True)
    store.items = {'table': (b'1', 1), 't/x': (b'ready 1 1', 2)}
    start_router(nursery, store)
    await trio.sleep(5)
    turns = _Turns()
    trio.lowlevel.add_instrument(turns)
    await trio.sleep(SECONDS)
    trio.lowlevel.remove_instrument(turns)
    assert turns.count <= SECONDS * MAX_TURNS_PER_SECOND
