"""Tests of the background tasks of a forwarding router."""

import time

import trio
from peridotwell_platform.entries import PlatformEntryDecoder
from peridotwell_platform.headers import (
    PlatformCallerAdapter,
    PlatformTargetAdapter,
)
from peridotwell_platform.store import PlatformStore

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.forwarding.assembly import build_components
from peridotwell.forwarding.background_tasks import ForwardingBackgroundTasks
from peridotwell.forwarding.settings import Adapters, ForwardingSettings

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
    quarantine = components.update_exchange.state.quarantine
    quarantine.record_loss(1, 11, time.time() - 60, 59)
    kept = quarantine.record_loss(2, 11, time.time(), 60)
    tasks = ForwardingBackgroundTasks(components, 1)
    async with trio.open_nursery() as nursery:
        tasks.start(nursery)
        with trio.fail_after(3):
            while len(quarantine.records()) > 1:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    components.transport.close()
    assert quarantine.records() == (kept,)
