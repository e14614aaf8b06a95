"""Tests of the detection of requests that crash targets."""

from types import SimpleNamespace

import pytest
import trio
from peridotwell_platform.headers import PlatformTargetAdapter

from peridotwell.attempt_errors import ResponseLost, ResponseTimeout
from peridotwell.domain.routing_table import RequestKind, Route, WeightedService
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import ForwardedRequestQuarantined
from peridotwell.fleet.relays.forwarding_state import ForwardingState
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.sending.dispatch import Dispatcher
from peridotwell.forwarding.sending.target_clients import TargetClients
from peridotwell.forwarding.targets.crash_tracker import (
    BrokenAttempt,
    CrashTracker,
)
from peridotwell.policy.health.outlier_ejection import OutlierEjection
from peridotwell.policy.load.peer_counts import PeerCounts
from peridotwell.policy.placement.prompt_cache_index import PromptCacheIndex
from peridotwell.serving.asgi import serve_http
from tests.fleet.replica.test_service_directory import (
    Decoder,
    apply_changes,
    entry,
)
from tests.raw_target import listen

ROUTE = Route(
    'r', 'h', '/', RequestKind.idempotent, (WeightedService('s'),), 15, 0.5
)
# More than a check takes.
CHECK_SECONDS = 0.15


class RecordList:
    """Records of one kind that would be told to the other routers."""

    def __init__(self):
        self.records = []

    def share(self, records):
        self.records.extend(records)


class UpdateRecorder:
    """Records what would be sent to the other routers."""

    def __init__(self):
        self.crashed_request_sync = RecordList()
        self.crash_blame_sync = RecordList()
        self.state = ForwardingState(
            ServiceDirectory(Decoder()),
            PromptCacheIndex(),
            PeerCounts(),
            PeerCounts(),
        )


def make_request(fingerprint=5) -> RoutedRequest:
    return RoutedRequest(
        '1',
        'c',
        ROUTE,
        's',
        0,
        'GET',
        b'/',
        (),
        b'',
        None,
        0,
        9,
        fingerprint,
        1,
    )


def target(name, address) -> Target:
    return Target(name, address, TargetKind.service, Pool('a', 's'))


@pytest.fixture
async def crash_tracker(nursery):
    updates = UpdateRecorder()
    adapter = PlatformTargetAdapter()
    clients = TargetClients(updates.state.directory, adapter, None)
    tracker = CrashTracker(updates, clients)
    nursery.start_soon(tracker.run)
    return tracker


async def crash(crash_tracker, port, count, failure=ResponseLost):
    for number in range(count):
        gone = target(f't{number}', f'127.0.0.1:{port}')
        broken = BrokenAttempt(make_request(), gone, has_begun=False)
        crash_tracker.schedule_check(broken, failure('broken'))
        await trio.sleep(CHECK_SECONDS)


async def test_the_third_crash_quarantines_a_request_on_all_routers(
    crash_tracker, free_port
):
    port = free_port()
    await crash(crash_tracker, port, 2)
    crash_tracker.check(make_request())
    await crash(crash_tracker, port, 3)
    with pytest.raises(ForwardedRequestQuarantined) as caught:
        crash_tracker.check(make_request())
    assert caught.value.retry_after_seconds > 0
    assert crash_tracker._update_exchange.crashed_request_sync.records
    crash_tracker.check(make_request(fingerprint=6))


# Guards against requests that are blamed for engines that were switched off
# after the evacuation of their data centre.
async def test_losses_in_evacuated_data_centres_are_not_blamed(
    crash_tracker, free_port
):
    directory = crash_tracker._update_exchange.state.directory
    apply_changes(directory, entry('e/a', b'{}', 9))
    await crash(crash_tracker, free_port(), 3)
    crash_tracker.check(make_request())


async def test_a_lost_response_of_a_live_target_is_no_crash(
    crash_tracker, nursery
):
    async def handle(exchange):
        await exchange.respond(200)

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    for number in range(5):
        live = target(f't{number}', address)
        broken = BrokenAttempt(make_request(), live, has_begun=False)
        crash_tracker.schedule_check(broken, ResponseLost('reset'))
    await trio.sleep(0.2)
    crash_tracker.check(make_request())


# Guards against requests that crash targets one after the other, behind a proxy
# that accepts connections for them and closes them.
async def test_a_target_whose_connections_are_closed_at_once_is_lost(
    crash_tracker, nursery
):
    async def close(stream):
        await trio.aclose_forcefully(stream)

    address = await listen(nursery, close)
    await crash(crash_tracker, address.rpartition(':')[2], 3)
    with pytest.raises(ForwardedRequestQuarantined):
        crash_tracker.check(make_request())


async def test_a_response_timeout_is_no_crash(crash_tracker, free_port):
    await crash(crash_tracker, free_port(), 4, ResponseTimeout)
    crash_tracker.check(make_request())


async def test_a_request_that_completes_on_another_target_is_cleared(
    crash_tracker, free_port
):
    """A harmless request was in flight when another one crashed targets."""
    port = free_port()
    await crash(crash_tracker, port, 2)
    crash_tracker.clear(make_request())
    await crash(crash_tracker, port, 2)
    crash_tracker.check(make_request())


# Guards against a request that crashes targets and is sent to more of them, as
# a faulty one has answered it with an error.
@pytest.mark.parametrize(('status', 'is_refused'), [(500, True), (200, False)])
async def test_an_error_of_a_target_clears_no_request(
    crash_tracker, free_port, status, is_refused
):
    port = free_port()
    await crash(crash_tracker, port, 3)
    attempt = SimpleNamespace(
        request=make_request(),
        target=target('t9', f'127.0.0.1:{port}'),
        choice=SimpleNamespace(is_handover=False),
        number=1,
    )
    health = SimpleNamespace(ejection=OutlierEjection())
    dispatcher = Dispatcher(None, health, None, crash_tracker, None, None, None)
    dispatcher.record_completion(attempt, status)
    lost = crash_tracker._update_exchange.state.crashed_requests
    now = trio.current_time()
    assert lost.is_refused(5, 3, now) is is_refused
