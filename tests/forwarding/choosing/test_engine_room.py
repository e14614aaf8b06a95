"""Requests go only to engines that have room for them."""

from dataclasses import replace

import pytest

from peridotwell.domain.prompt import Prompt, PromptPart
from peridotwell.domain.routing_table import RequestKind
from peridotwell.errors import NoRoom, NoTarget
from peridotwell.forwarding.adapters import ReportedLoad
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot
from tests.forwarding.simulated_targets import (
    ENGINES,
    PLAIN,
    SLOTS,
    PlacingRouter,
)
from tests.forwarding.targets.test_crash_tracker import ROUTE, make_request

LONG_ROUTE = replace(
    ROUTE, name='long', kind=RequestKind.streaming, objective_seconds=0.3
)
SHORT_ROUTE = replace(LONG_ROUTE, name='short')
LIMIT_PER_SECOND = 2.0


@pytest.fixture
def router():
    names = (f'{ENGINES}/e1', f'{ENGINES}/e2', f'{PLAIN}/p1')
    entries = [Entry('table', b'1', 1)]
    for number, name in enumerate(names):
        entries.append(Entry(f't/{name}', b'a', 2 + number))
    snapshot = Snapshot(tuple(entries), len(entries))
    return PlacingRouter('r', {}, 'a', snapshot)


def report(router, name, load, now=0):
    running = min(load, SLOTS)
    reported = ReportedLoad(running, load - running, SLOTS)
    router.tracker.record_report(find(router, name), reported, now)


def find(router, name):
    return next(
        target
        for target in router.directory.all_targets()
        if target.name == name
    )


def engine_request(route=LONG_ROUTE, priority=0):
    parts = (PromptPart('shared', 900), PromptPart('own', 300))
    return replace(
        make_request(),
        service=ENGINES,
        route=route,
        priority=priority,
        prompt=Prompt('m', parts),
    )


def chosen(router, request, now=0, tried=()):
    return router.selector.choose(request, tried, now).target.name


# Guards against requests that are sent to engines that turn them away.
def test_no_first_attempt_goes_to_engines_that_are_full(router):
    for name in ('e1', 'e2'):
        report(router, name, SLOTS)
    with pytest.raises(NoTarget, match='full'):
        chosen(router, engine_request())


# Guards against streams that break because their next engine is just full.
def test_later_attempt_goes_to_a_full_engine(router):
    for name in ('e1', 'e2'):
        report(router, name, SLOTS)
    assert chosen(router, engine_request(), tried=('e1',)) == 'e2'


def test_engine_with_room_is_chosen_in_spite_of_the_other_ones_cache(router):
    request = engine_request()
    first = chosen(router, request)
    choice = router.selector.choose(request, (), 0)
    router.tracker.record_start(request, choice, 0)
    report(router, first, SLOTS)
    assert chosen(router, request) != first


# Guards against an engine that idles between the routers' looks.
def test_engine_may_have_a_queue_that_takes_little_time(router):
    router.tracker.lengths.record(ENGINES, 'long', 1)
    for name in ('e1', 'e2'):
        report(router, name, SLOTS + 2)
    assert chosen(router, engine_request())
    for name in ('e1', 'e2'):
        report(router, name, SLOTS + 3)
    with pytest.raises(NoRoom):
        chosen(router, engine_request())


# Guards against less urgent requests that take the places of urgent ones.
def test_last_places_are_kept_for_the_most_urgent_requests(router):
    for name in ('e1', 'e2'):
        report(router, name, SLOTS - 1)
    assert chosen(router, engine_request(priority=3))
    assert chosen(router, engine_request(priority=0))
    with pytest.raises(NoRoom):
        chosen(router, engine_request(priority=3))


# Guards against limits, counted in requests, that short requests use up.
def test_short_requests_leave_limited_engines_to_long_ones(router):
    for route, seconds in ((LONG_ROUTE, 2), (SHORT_ROUTE, 0.1)):
        for _ in range(50):
            router.tracker.lengths.record(ENGINES, route.name, seconds)
    limited = find(router, 'e1')
    router.tracker.limits.record(limited, LIMIT_PER_SECOND, 0)
    # The share of this router is the whole limit: a bucket of 1.5 requests.
    router.tracker.limits.record_send(limited, 1)
    now = 2
    report(router, 'e2', SLOTS // 2, now)
    report(router, 'e1', 0, now)
    assert router.tracker.accepts(limited, now)
    assert chosen(router, engine_request(SHORT_ROUTE), now) == 'e2'
    assert chosen(router, engine_request(LONG_ROUTE), now) == 'e1'


# Guards against shares of limits that nobody uses.
def test_short_requests_use_a_limit_that_is_left_unused(router):
    for route, seconds in ((LONG_ROUTE, 2), (SHORT_ROUTE, 0.1)):
        router.tracker.lengths.record(ENGINES, route.name, seconds)
    router.tracker.limits.record(find(router, 'e1'), LIMIT_PER_SECOND, 0)
    assert router.tracker.limits.wait_seconds(find(router, 'e1'), 0) > 0
    now = 5
    report(router, 'e1', 0, now)
    report(router, 'e2', SLOTS // 2, now)
    assert chosen(router, engine_request(SHORT_ROUTE), now) == 'e1'


# Guards against requests for which no target has room when all name limits.
def test_limits_of_all_engines_let_requests_wait(router):
    for name in ('e1', 'e2'):
        router.tracker.limits.record(find(router, name), LIMIT_PER_SECOND, 0)
    with pytest.raises(NoRoom) as caught:
        chosen(router, engine_request())
    assert caught.value.room_seconds == pytest.approx(0.5)


# Guards against callers of a router without a share in any limit, who are all
# told to return after the same time.
def test_callers_of_a_router_without_a_share_return_spread(router):
    limits = router.tracker.limits
    for name in ('e1', 'e2'):
        limits.record(find(router, name), 0.5, 0)
    others = range(1, 60)
    limits.set_routers(others)
    shares = [
        limits.wait_seconds(find(router, name), 0) for name in ('e1', 'e2')
    ]
    assert shares == [None, None]
    waits = set()
    for number in range(20):
        with pytest.raises(NoTarget) as caught:
            chosen(router, replace(engine_request(), request_id=str(number)))
        waits.add(round(caught.value.retry_after_seconds, 1))
    assert len(waits) >= 5


def report_plain(router, load, pace):
    reported = ReportedLoad(load, 0, SLOTS, pace)
    router.tracker.record_report(find(router, 'p1'), reported, 0)


# Guards against requests that wait in the queue of a full plain target.
def test_no_first_attempt_goes_to_a_plain_target_that_is_full(router):
    request = replace(make_request(), service=PLAIN)
    report_plain(router, SLOTS - 1, pace=1.0)
    assert chosen(router, request) == 'p1'
    report_plain(router, SLOTS, pace=1.0)
    with pytest.raises(NoRoom):
        chosen(router, request)
    assert chosen(router, request, tried=('gone',)) == 'p1'


# Guards against another treatment of targets that report no pace.
def test_full_plain_target_without_a_pace_gets_requests(router):
    request = replace(make_request(), service=PLAIN)
    report_plain(router, SLOTS, pace=None)
    assert chosen(router, request) == 'p1'


# Guards against requests that wait too long in the queue of a slow engine.
def test_queue_of_a_slow_engine_is_shorter(router):
    router.tracker.lengths.record(ENGINES, 'long', 1)
    slow = find(router, 'e1')
    for number in range(200):
        load = ReportedLoad(SLOTS + 1, 0, SLOTS, 4.0)
        router.tracker.record_report(slow, load, number * 0.03)
    now = 6
    report(router, 'e1', SLOTS + 1, now)
    report(router, 'e2', SLOTS + 2, now)
    assert chosen(router, engine_request(), now) == 'e2'
