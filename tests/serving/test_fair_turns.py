"""Many small parts at once, and the tasks beside them."""

import trio
import trio.testing

from peridotwell.serving.fair_turns import PARTS_PER_TURN, FairTurns, Pace

PARTS = 100 * PARTS_PER_TURN


async def take_parts(pace, taken, seconds=0):
    for _ in range(PARTS):
        if seconds:
            await trio.sleep(seconds)
        await pace.after_part()
        taken.append(pace)


# Guards against peers that hold up all others with parts that take time.
async def test_one_of_many_fast_responses_goes_on_in_a_turn(autojump_clock):
    turns = FairTurns()
    taken = []
    async with trio.open_nursery() as nursery:
        for _ in range(50):
            nursery.start_soon(take_parts, Pace(turns), taken)
        # Each has had the parts after which its speed is known.
        for _ in range(3):
            await trio.lowlevel.checkpoint()
        for _ in range(20):
            before = len(taken)
            await trio.lowlevel.checkpoint()
            assert len(taken) - before <= 4 * PARTS_PER_TURN
        nursery.cancel_scope.cancel()


async def test_a_response_of_usual_speed_never_waits(autojump_clock):
    turns = FairTurns()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_parts, Pace(turns), [])
        began = trio.current_time()
        taken = []
        await take_parts(Pace(turns), taken, 0.002)
        assert trio.current_time() - began < PARTS * 0.002 + 0.01
    assert len(taken) == PARTS
