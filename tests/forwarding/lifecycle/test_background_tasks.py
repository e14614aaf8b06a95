"""Tests of the background tasks of a forwarding router."""

import trio
from peridotwell_platform.entries import PlatformEntryDecoder
from peridotwell_platform.headers import (
    PlatformCallerAdapter,
    PlatformTargetAdapter,
)
from peridotwell_platform.store import PlatformStore

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.forwarding.assembly import build_components
from peridotwell.forwarding.lifecycle.background_tasks import (
    ForwardingBackgroundTasks,
)
from peridotwell.forwarding.settings import Adapters, ForwardingSettings
from peridotwell.policy.crashes.crashed_requests import RECORD_TTL_SECONDS

ANY_PORT = '127.0.0.1:0'
# Nothing listens there.
NO_STORE = '127.0.0.1:9'


def build_router():
    settings = ForwardingSettings(
        'r-1', 'north', ANY_PORT, ANY_PORT, ANY_PORT, '', DeploymentBounds()
    )
    adapters = Adapters(
        PlatformCallerAdapter(),
        PlatformTargetAdapter(),
        PlatformEntryDecoder(),
    )
    return build_components(settings, adapters, PlatformStore(NO_STORE))


# Only the updates of other routers removed expired records.
async def test_expired_crash_records_are_removed_without_updates():
    components = build_router()
    crashed = components.update_exchange.state.crashed_requests
    now = trio.current_time()
    for incarnation in (11, 12):
        crashed.record_loss(1, incarnation, now - RECORD_TTL_SECONDS + 1)
        crashed.record_loss(2, incarnation, now)
    assert len(list(crashed.to_repeat(now))) == 2
    tasks = ForwardingBackgroundTasks(components, 1)
    async with trio.open_nursery() as nursery:
        tasks.start(nursery)
        with trio.fail_after(3):
            while len(list(crashed.to_repeat(now))) > 1:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    components.transport.close()
    assert [record.cause for record in crashed.to_repeat(now)] == [2]
