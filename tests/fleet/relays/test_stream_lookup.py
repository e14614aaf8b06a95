"""Tests of the questions for the versions of streams, without a network."""

import pytest
import trio

from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.fleet.transport.frames import (
    StreamPull,
    StreamPush,
    decode_frame,
    encode_frame,
)
from peridotwell.policy.versions.stream_versions import Provenance
from tests.fleet.relays.test_update_exchange import Router, run_ticks

SERVICE = 's'
STREAM, VERSION = 5, 77


@pytest.fixture
def fleet():
    routers = {}
    started = [Router(f'r{number}', routers) for number in range(3)]
    for router in started:
        router.sharing.discovery.add_peers(each.hello for each in started)
    run_ticks(started, 0, 1)
    return started


async def find(fleet, stream=STREAM):
    """Let the first router ask; return the seconds that it waited."""
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet[0].sharing.stream_lookup.find, stream, SERVICE)
        await trio.sleep(0.01)
        for _ in range(2):
            for router in fleet:
                router.receive_frames(trio.current_time())
    return trio.current_time() - started_at


def version(router):
    now = trio.current_time()
    return router.knowledge.stream_versions.version(STREAM, now)


async def test_a_router_learns_the_version_of_a_stream(autojump_clock, fleet):
    for router in fleet[1:]:
        router.knowledge.stream_versions.record_own(
            STREAM, VERSION, trio.current_time()
        )
    assert await find(fleet) < 0.05
    assert version(fleet[0]) == VERSION


async def test_the_wait_ends_when_all_routers_have_answered(
    autojump_clock, fleet
):
    assert await find(fleet) < 0.05
    assert version(fleet[0]) is None


# Guards against callers that wait for routers that are gone.
async def test_the_wait_ends_without_answers(autojump_clock, fleet):
    for router in fleet[1:]:
        router.transport.is_cut = True
    assert await find(fleet) < 0.25
    for router in fleet:
        router.transport.is_cut = True
    assert await find(fleet) < 0.05


async def test_a_router_learns_that_several_versions_were_serving(
    autojump_clock, fleet
):
    now = trio.current_time()
    fleet[1].knowledge.service_versions.record_mixed(SERVICE, 20, now)
    await find(fleet)
    learned = fleet[0].knowledge.service_versions
    assert 19 < learned.mixed_seconds(SERVICE, trio.current_time()) <= 20
    assert not learned.is_mixed('other', trio.current_time())


async def test_two_requests_for_a_stream_ask_once(autojump_clock, fleet):
    lookup = fleet[0].sharing.stream_lookup
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lookup.find, STREAM, SERVICE)
        nursery.start_soon(lookup.find, STREAM, SERVICE)
        await trio.sleep(0.01)
        pulls = [
            content
            for content in fleet[1].inbox
            if isinstance(decode_frame(content), StreamPull)
        ]
        assert len(pulls) == 1


# Guards against a router that is taken down, or made to refuse for long, by
# answers that nobody asked for.
async def test_unwanted_answers_do_no_harm(autojump_clock, fleet):
    sender = fleet[1].hello.sender
    for seconds in (-1, 1e300, float('inf'), float('nan')):
        push = StreamPush(sender, 9, SERVICE, None, seconds)
        fleet[0].sharing.receive(encode_frame(push), trio.current_time())
    known = fleet[0].knowledge.service_versions
    assert known.mixed_seconds(SERVICE, trio.current_time()) <= 30
    unknown = StreamPull(1, STREAM, SERVICE)
    fleet[0].sharing.receive(encode_frame(unknown), trio.current_time())


# Guards against a router that takes for unknown what it could not ask, since
# its connections were not open yet.
async def test_a_new_router_asks_again_until_it_is_connected(
    autojump_clock, nursery
):
    routers = {}
    first, second = (Router(f'r{number}', routers) for number in range(2))
    for router in (first, second):
        router.sharing.discovery.add_peers([first.hello, second.hello])
    second.knowledge.stream_versions.record_own(STREAM, VERSION, 0)
    first.transport.is_cut = True
    nursery.start_soon(first.sharing.stream_lookup.find, STREAM, SERVICE)
    await trio.sleep(0.07)
    first.transport.is_cut = False
    await trio.sleep(0.04)
    for router in (second, first):
        router.receive_frames(trio.current_time())
    assert version(first) == VERSION


# Guards against answers that are lost because the way back is not open yet.
async def test_a_router_that_does_not_answer_is_asked_again(
    autojump_clock, fleet, nursery
):
    for router in fleet[1:]:
        router.knowledge.stream_versions.record_own(STREAM, VERSION, 0)
    nursery.start_soon(fleet[0].sharing.stream_lookup.find, STREAM, SERVICE)
    await trio.sleep(0.01)
    for router in fleet[1:]:
        router.inbox.clear()
    await trio.sleep(0.06)
    for router in (*fleet[1:], fleet[0]):
        router.receive_frames(trio.current_time())
    assert version(fleet[0]) == VERSION


class StoreHearing:
    """Lets a router hear the store when it asks for it."""

    def __init__(self, router):
        self.router = router
        self.asked = 0

    async def answer(self):
        belief = self.router.directory.belief
        while True:
            await belief.due.wait()
            self.asked += 1
            asked_at = trio.current_time()
            await trio.sleep(0.02)
            belief.record(
                Evidence(asked_at, 2, EvidenceSource.check),
                trio.current_time(),
            )


def serve(fleet, *versions):
    now = trio.current_time()
    for router, version in zip(fleet, versions, strict=True):
        services = router.knowledge.service_versions
        services.set_serving({SERVICE: frozenset((version,))}, now)
        services.record_confirmation(SERVICE, Provenance('record', now))
        router.directory.belief.record(
            Evidence(now - 0.1, 2, EvidenceSource.watch), now
        )


async def take_up(fleet, nursery, answering):
    """Take up a stream; return whether its service has had one version."""
    nursery.start_soon(answer_questions, answering)
    lookup = fleet[0].sharing.stream_lookup
    taken_up_at = trio.current_time()
    await lookup.find(STREAM, SERVICE, taken_up_at)
    return lookup.is_shown(SERVICE, taken_up_at, trio.current_time())


async def answer_questions(routers):
    while True:
        await trio.sleep(0.005)
        for router in routers:
            router.receive_frames(trio.current_time())


# Guards against two routers that are cut off together and take each other's
# word: the third one may know a version that neither can have heard of.
async def test_some_routers_show_nothing_without_the_store(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION)
    fleet[2].transport.is_cut = True
    assert not await take_up(fleet, nursery, fleet)


async def test_all_routers_show_one_version_without_the_store(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION)
    assert await take_up(fleet, nursery, fleet)


# Guards against routers that each know one version, but not the same.
async def test_a_router_that_knows_another_version_shows_several(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION + 1)
    assert not await take_up(fleet, nursery, fleet)
    services = fleet[0].knowledge.service_versions
    assert services.is_mixed(SERVICE, trio.current_time())


# Guards against streams that are refused at a router that only the store does
# not answer, while a third one has ended.
async def test_a_router_that_hears_the_store_shows_it_for_another(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION)
    fleet[2].transport.is_cut = True
    nursery.start_soon(StoreHearing(fleet[1]).answer)
    assert await take_up(fleet, nursery, fleet)


# Guards against calls to the store for each stream that is taken up: they are
# what callers of large fleets pay most for.
async def test_the_store_is_asked_only_if_routers_show_nothing(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION)
    store = StoreHearing(fleet[0])
    nursery.start_soon(store.answer)
    assert await take_up(fleet, nursery, fleet)
    assert store.asked == 0
    fleet[2].transport.is_cut = True
    assert await take_up(fleet, nursery, fleet)
    assert store.asked == 1


# Guards against an answer to an earlier question that counts for a stream that
# was taken up after it.
async def test_an_answer_to_an_earlier_question_shows_nothing(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION)
    await find(fleet)
    late = [
        StreamPush(
            router.hello.sender,
            STREAM,
            SERVICE,
            None,
            0,
            question=question,
            only_version=VERSION,
            remembers=True,
            knowledge_age_seconds=0,
        )
        for router in fleet[1:]
        for question in (0, 1)
    ]
    lookup = fleet[0].sharing.stream_lookup
    taken_up_at = trio.current_time()
    nursery.start_soon(lookup.find, STREAM, SERVICE, taken_up_at)
    await trio.sleep(0.001)
    for push in late:
        fleet[0].sharing.receive(encode_frame(push), trio.current_time())
    assert not lookup.is_shown(SERVICE, taken_up_at, trio.current_time())


# Guards against a router that was cut off, and confirms to another one that
# was cut off with it what both have missed.
async def test_a_router_that_missed_the_same_confirms_nothing(
    autojump_clock, fleet, nursery
):
    serve(fleet, VERSION, VERSION, VERSION)
    fleet[2].transport.is_cut = True
    await trio.sleep(5)
    now = trio.current_time()
    services = fleet[0].knowledge.service_versions
    services.record_gap(now)
    fleet[0].directory.belief.record(
        Evidence(now, 2, EvidenceSource.snapshot), now
    )
    assert not await take_up(fleet, nursery, fleet)
    assert not services.is_confirmed(SERVICE, trio.current_time())
