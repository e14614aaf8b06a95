"""Tests of the placement of returning chats, with simulated routers."""

import trio

from measure.simulated_fleet import POOL, SimulatedFleet
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.contract import Contract
from peridotwell.policy.placement.placement import placement_hint
from peridotwell.serving.placer import PlacementRequest

CHATS = 30
ENGINES = 3
SETTLING_SECONDS = 6


def make_turn(chat, hint=''):
    return PlacementRequest(
        CallerRequest(
            request_id=f'{chat}-{hint}',
            customer='kk',
            priority_class='normal',
            method='POST',
            path='/v1',
            body=b'',
            contract=Contract('/v1', POOL.name),
            deadline_at=trio.current_time() + 5,
            chat=chat,
            placement_hint=hint,
        )
    )


async def run_turn(router, chat, hint=''):
    """Place one turn, end it at once and return its engine."""
    turn = make_turn(chat, hint)
    target = await router.placer.place(turn)
    router.placer.release(turn, target)
    return target


# Guards against losing a chat's cache while its last turn's end is on its way.
async def test_next_turn_follows_at_once_to_the_engine_of_the_last_one(
    autojump_clock,
):
    """The engine seems full: an idle pool allows one request an engine."""
    fleet = SimulatedFleet(3, ENGINES, 10, 1, Defaults(load_bound=1.25))
    moved = []
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(SETTLING_SECONDS)
        for number in range(CHATS):
            first_router = fleet.routers[number % 3]
            next_router = fleet.routers[(number + 1 + number // 3 % 2) % 3]
            first = await run_turn(first_router, f'c{number}')
            hint = placement_hint(first)
            second = await run_turn(next_router, f'c{number}', hint)
            if second != first:
                moved.append(number)
            await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert not moved
