"""A request that crashes each target that runs it."""

import pytest
import trio

from peridotwell.attempt_errors import ResponseLost, ResponseTimeout
from peridotwell.domain.routing_table import RequestKind, Route, WeightedService
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import ForwardedRequestQuarantined
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.crash_tracker import CrashTracker
from peridotwell.policy.quarantine import Quarantine
from peridotwell.serving.asgi import serve_http

ROUTE = Route(
    'r', 'h', '/', RequestKind.idempotent, (WeightedService('s'),), 15, 0.5
)


class Spread:
    """Keeps what would be told to the other routers."""

    def __init__(self):
        self.verdicts = []

    def spread(self, verdict):
        self.verdicts.append(verdict)


def call(mark=5) -> RoutedRequest:
    return RoutedRequest(
        '1', 'c', ROUTE, 's', 0, 'GET', b'/', (), b'', None, 0, 9, mark, 1
    )


def target(name, address) -> Target:
    return Target(name, address, TargetKind.service, Pool('a', 's'))


@pytest.fixture
async def crash_tracker(nursery):
    made = CrashTracker(Quarantine(), Spread())
    nursery.start_soon(made.run)
    return made


async def crash(crash_tracker, port, count, failure=ResponseLost):
    for number in range(count):
        gone = target(f't{number}', f'127.0.0.1:{port}')
        crash_tracker.schedule_check(call(), gone, failure('broken'))
        await trio.sleep(0.05)


async def test_the_third_crash_sets_a_request_aside_everywhere(
    crash_tracker, free_port
):
    port = free_port()
    await crash(crash_tracker, port, 2)
    crash_tracker.check(call())
    await crash(crash_tracker, port, 3)
    with pytest.raises(ForwardedRequestQuarantined) as caught:
        crash_tracker.check(call())
    assert caught.value.retry_after_seconds > 0
    assert crash_tracker._sharing.verdicts
    crash_tracker.check(call(mark=6))


async def test_a_lost_answer_of_a_living_target_is_no_crash(
    crash_tracker, nursery
):
    async def handle(exchange):
        await exchange.respond(200)

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    for number in range(5):
        living = target(f't{number}', address)
        crash_tracker.schedule_check(call(), living, ResponseLost('reset'))
    await trio.sleep(0.2)
    crash_tracker.check(call())


async def test_silence_is_no_crash(crash_tracker, free_port):
    await crash(crash_tracker, free_port(), 4, ResponseTimeout)
    crash_tracker.check(call())


async def test_a_request_that_finishes_elsewhere_is_cleared(
    crash_tracker, free_port
):
    """A bystander was in flight on targets that others crashed."""
    port = free_port()
    await crash(crash_tracker, port, 2)
    crash_tracker.clear(call())
    await crash(crash_tracker, port, 2)
    crash_tracker.check(call())
