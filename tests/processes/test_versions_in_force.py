"""Versions that the store has acknowledged are in force at real routers.

Three router processes and the soak's store, whose operator writes two versions
at once, late, or with an odd entry, and which may leave a change out.
"""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httpcore
import pytest
import trio

from tests.soak.cluster import Router, SoakCluster, start_cluster
from tests.soak.configuration_rule import IN_FORCE_SECONDS
from tests.soak.records import now
from tests.soak.site import Site
from tests.soak.touch import CONTACT_SECONDS
from tests.soak.versions import ADDED, BASE_KEY, document

ROUTERS, TARGETS = 3, 3
START_SECONDS = 20
# Routers are asked for so long after the bound, once in each interval.
ASKED_SECONDS = 2.0
INTERVAL_SECONDS = 0.15
DEADLINE_MS = 1000
ANSWER_SECONDS = 5
REFUSALS = frozenset((401, 403, 404))
SERVED = 200
# Targets report only when they change, so that nothing else wakes the routers.
QUIET = Site(beat_seconds=0)
ODD = 'odd'
# Numbers of versions for one test, so that those of the next are higher.
VERSIONS_OF_A_TEST = 4
Asked = tuple[str, str]
Act = Callable[[SoakCluster], Awaitable[None]]


@dataclass(frozen=True)
class Reply:
    """The status that a router returned when it was asked, so long after."""

    seconds: float
    router: str
    asked: Asked
    status: int


@dataclass(frozen=True)
class Numbers:
    """The numbers of the versions of one test, in their order."""

    oldest: int
    lower: int
    higher: int
    following: int


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Three routers in two data centres, and three targets."""
    started = SoakCluster(tmp_path_factory.mktemp('versions'), QUIET)
    try:
        trio.run(start_cluster, started, ROUTERS, TARGETS, 1)
        yield started
    finally:
        started.stop()


@pytest.fixture
def numbers(cluster):
    """Numbers of versions that are higher than those of other tests."""
    trio.run(cluster.wait_until_all_serve, START_SECONDS)
    assert not cluster.violations
    first = cluster.version + 1
    cluster.version += VERSIONS_OF_A_TEST
    return Numbers(*range(first, first + VERSIONS_OF_A_TEST))


def documents(*versions: int) -> list[dict]:
    return [document(each, QUIET) for each in versions]


def added_by(version: int) -> tuple[Asked, ...]:
    """Return requests with the route, and with the key, of a version alone."""
    name = f'{ADDED}{version}'
    return (name, BASE_KEY), ('read', name)


async def ask(router: Router, asked: Asked, request_id: str) -> int:
    """Return the status of a router's answer."""
    route, key = asked
    fields = {
        'host': 'a.example',
        'x-request-id': request_id,
        'x-credential': key,
        'x-deadline-ms': str(DEADLINE_MS),
    }
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(ANSWER_SECONDS):
            reply = await pool.request(
                'POST',
                f'http://{router.address}/{route}/x',
                headers=list(fields.items()),
            )
    return reply.status


async def ask_often(
    router: Router, asked: Asked, begin: float, replies: list[Reply]
) -> None:
    """Ask a router again and again from a time on."""
    await trio.sleep(begin - now())
    while (sent_at := now()) < begin + ASKED_SECONDS:
        request_id = f'{router.name}-{"-".join(asked)}-{sent_at}'
        status = await ask(router, asked, request_id)
        replies.append(Reply(sent_at - begin, router.name, asked, status))
        await trio.sleep(INTERVAL_SECONDS)


async def play(
    cluster: SoakCluster,
    act: Act,
    all_asked: tuple[Asked, ...],
    bound: float = IN_FORCE_SECONDS,
) -> list[Reply]:
    """Let an operator act; return what routers answer after the bound."""
    await act(cluster)
    begin = now() + bound
    replies: list[Reply] = []
    async with trio.open_nursery() as nursery:
        for router in cluster.routers:
            for asked in all_asked:
                nursery.start_soon(ask_often, router, asked, begin, replies)
    return replies


def check_in_force(replies: list[Reply]) -> None:
    """Fail unless routers serve what was asked for, and refuse none of it."""
    refused = [each for each in replies if each.status in REFUSALS]
    assert not refused, f'{len(refused)} of {len(replies)}: {refused[:6]}'
    last = {(each.router, each.asked): each.status for each in replies}
    assert set(last.values()) == {SERVED}, last


def in_order(written: list[dict], pause: float = 0) -> Act:
    """Let the store execute writes in this order."""

    async def act(cluster: SoakCluster) -> None:
        await cluster.store.call('write_documents', written, pause)

    return act


def before_a_start(act: Act) -> Act:
    """Kill the last router before, and start it a second afterwards."""

    async def act_and_start(cluster: SoakCluster) -> None:
        router = cluster.routers[-1]
        router.signal(signal.SIGKILL)
        router.process.wait()
        await act(cluster)
        await trio.sleep(1)
        cluster.start_router(router)

    return act_and_start


# Guards against a version that no router looks at, since an older one, whose
# write was executed after it, is told in the same answer (issue 65).
def test_higher_version_of_two_told_in_one_answer(cluster, numbers):
    act = in_order(documents(numbers.higher, numbers.lower))
    check_in_force(trio.run(play, cluster, act, added_by(numbers.higher)))


# Guards against a version that gives way to an older one, which was executed
# later and is told in an answer of its own (issue 65).
@pytest.mark.parametrize('pause', [0.02, 0.3, 1.5])
def test_higher_version_of_two_told_one_after_the_other(
    cluster, numbers, pause
):
    act = in_order(documents(numbers.higher, numbers.lower), pause)
    check_in_force(trio.run(play, cluster, act, added_by(numbers.higher)))


# Guards against routers that start while the store's newest version is an older
# one, and take it though their peers go by the newer one (issue 65).
@pytest.mark.parametrize('pause', [0, 0.3])
def test_router_that_starts_takes_the_higher_version_of_its_peers(
    cluster, numbers, pause
):
    act = in_order(documents(numbers.higher, numbers.lower), pause)
    replies = trio.run(
        play,
        cluster,
        before_a_start(act),
        added_by(numbers.higher),
        CONTACT_SECONDS + IN_FORCE_SECONDS,
    )
    check_in_force(replies)


# Guards against a write without an answer that is executed seconds after the
# next version, and hides it (issue 65).
def test_write_that_is_executed_late_changes_nothing(cluster, numbers):
    written = documents(numbers.oldest, numbers.higher, numbers.lower)
    act = in_order(written, pause=2.5)
    check_in_force(trio.run(play, cluster, act, added_by(numbers.higher)))


# Guards against the same where several versions are told at once (issue 65).
def test_highest_version_of_many_told_in_one_answer(cluster, numbers):
    written = documents(
        numbers.higher, numbers.oldest, numbers.following, numbers.lower
    )
    asked = added_by(numbers.following)
    check_in_force(trio.run(play, cluster, in_order(written), asked))


def with_odd_route(version: int, **changes) -> dict:
    """Return a version with one more route, which is odd."""
    plain = document(version, QUIET)
    model = next(each for each in plain['routes'] if each['name'] == 'read')
    odd = {**model, 'name': ODD, 'path_prefix': f'/{ODD}/', **changes}
    return {**plain, 'routes': [odd, *plain['routes']]}


def with_two_of_one_path(version: int) -> dict:
    """Return a version with two routes of one host and prefix."""
    first = with_odd_route(version)
    again = {**first['routes'][0], 'name': 'again', 'host': 'A.Example'}
    return {**first, 'routes': [*first['routes'], again]}


def with_number_as_float(version: int) -> dict:
    """Return a version whose number is written as 400.0, say."""
    plain = with_odd_route(version)
    return {**plain, 'version': float(plain['version'])}


NULLS = dict.fromkeys(('slo_ms', 'split', 'priority', 'max_attempts'))
ODD_VERSIONS: dict[str, Callable[[int], dict]] = {
    'priority-as-float': lambda number: with_odd_route(number, priority=1.0),
    'attempts-as-float': lambda each: with_odd_route(each, max_attempts=2.0),
    'unknown-kind': lambda number: with_odd_route(number, kind='batch'),
    'null-fields': lambda number: with_odd_route(number, **NULLS),
    'one-path-twice': with_two_of_one_path,
    'version-as-float': with_number_as_float,
}


# Guards against one odd entry that keeps a whole version, with all its other
# routes and keys, from being in force at all routers alike (issue 65).
@pytest.mark.parametrize('name', ODD_VERSIONS)
def test_odd_route_keeps_no_other_from_being_in_force(cluster, numbers, name):
    act = in_order([ODD_VERSIONS[name](numbers.higher)])
    added = added_by(numbers.higher)
    replies = trio.run(play, cluster, act, (*added, (ODD, BASE_KEY)))
    check_in_force([each for each in replies if each.asked in added])
    odd = {each.status for each in replies if each.asked not in added}
    assert odd
    assert not odd & REFUSALS, odd


# Guards against routers that go on from the revision of an answer that leaves
# out a change before the newest one that it tells (issue 65).
def test_change_that_a_watch_leaves_out_is_in_force(cluster, numbers):
    async def act(running: SoakCluster) -> None:
        [written] = documents(numbers.higher)
        await running.store.call('write_untold', written)

    check_in_force(trio.run(play, cluster, act, added_by(numbers.higher)))
