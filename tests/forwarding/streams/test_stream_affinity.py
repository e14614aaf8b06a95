"""Tests of which software version may resume a stream, without a network."""

from types import SimpleNamespace

import pytest
import trio

from peridotwell.domain.target import wire_id
from peridotwell.errors import NoTarget
from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.forwarding.adapters import ResumedStream
from peridotwell.forwarding.streams.stream_affinity import StreamAffinity
from peridotwell.forwarding.targets.restart_watch import RestartWatch
from peridotwell.policy.versions.stream_versions import MEMORY_SECONDS
from tests.fleet.relays.test_update_exchange import Router

SERVICE = 's'
STREAM = wire_id('first')


def resumption(first_request='first'):
    """Return a request that takes a stream up now."""
    return SimpleNamespace(
        arrived_at=trio.current_time(),
        request_id='second',
        resumed_stream=ResumedStream(first_request, '3'),
        route=SimpleNamespace(resumable=True),
        service=SERVICE,
        stream_id=wire_id(first_request),
    )


class AffinityRouter(Router):
    """A router that has started, and keeps streams at their versions."""

    def __init__(self, name, routers):
        super().__init__(name, routers)
        self.affinity = StreamAffinity(
            self.directory, self.sharing, RestartWatch(self.directory)
        )
        self.knowledge.service_versions.set_serving(
            {SERVICE: frozenset((1,))}, trio.current_time()
        )

    def know_versions(self):
        """Read a record of the versions that served before the start."""
        self.knowledge.service_versions.record_earlier(
            {SERVICE: frozenset((1,))}
        )

    def hear_store(self):
        now = trio.current_time()
        self.directory.store_contact.record_answer(now)
        self.directory.belief.record(
            Evidence(now, 2, EvidenceSource.watch), now
        )

    async def required(self):
        """Return the version that may resume the stream, after a question."""
        return await self.affinity.version_of(resumption())


async def meet(routers):
    """Let the routers send what they have for a second."""
    for router in routers:
        router.sharing.discovery.add_peers(each.hello for each in routers)
    for _ in range(20):
        await trio.sleep(0.05)
        now = trio.current_time()
        for router in routers:
            router.sharing.tick(now)
        for router in routers:
            router.receive_frames(now)


async def answer_questions(routers):
    """Let the routers read their messages until cancelled."""
    while True:
        await trio.sleep(0.01)
        for router in routers:
            router.receive_frames(trio.current_time())


@pytest.fixture
async def routers(autojump_clock):
    by_address = {}
    return [AffinityRouter(f'r{number}', by_address) for number in range(2)]


# Guards against streams with events of two versions at a router that has asked
# nobody yet: it only knows which versions serve now.
async def test_a_new_router_that_nobody_answers_refuses(
    autojump_clock, routers
):
    first, second = routers
    first.sharing.discovery.add_peers([second.hello])
    first.hear_store()
    with pytest.raises(NoTarget) as caught:
        await first.required()
    assert caught.value.retry_after_seconds > 0


async def test_a_new_router_resumes_after_an_answer(
    autojump_clock, nursery, routers
):
    routers[1].know_versions()
    routers[1].hear_store()
    await meet(routers)
    nursery.start_soon(answer_questions, routers)
    assert await routers[0].required() == 1


# Guards against streams with events of two versions after a start of all
# routers, which take each other's ignorance for news.
async def test_routers_that_have_all_started_confirm_nothing(
    autojump_clock, nursery, routers
):
    await meet(routers)
    nursery.start_soon(answer_questions, routers)
    for router in routers:
        router.hear_store()
        with pytest.raises(NoTarget):
            await router.required()
    await trio.sleep(MEMORY_SECONDS)
    routers[0].hear_store()
    assert await routers[0].required() == 1


async def test_routers_of_a_new_fleet_confirm_each_other(
    autojump_clock, nursery, routers
):
    await meet(routers)
    nursery.start_soon(answer_questions, routers)
    routers[1].knowledge.service_versions.record_nothing_earlier()
    routers[1].hear_store()
    assert await routers[0].required() == 1


# Guards against a router that takes itself for the only one because it has
# heard of no other: only the store shows that.
async def test_a_router_alone_resumes_if_it_hears_the_store(
    autojump_clock, routers
):
    routers[0].know_versions()
    with pytest.raises(NoTarget):
        await routers[0].required()
    routers[0].hear_store()
    assert await routers[0].required() == 1


async def test_a_router_alone_resumes_its_own_streams(autojump_clock, routers):
    now = trio.current_time()
    routers[0].knowledge.stream_versions.record_own(STREAM, 1, now)
    assert await routers[0].required() == 1


# Guards against streams with events of two versions at a router that was cut
# off from the store and from all others while a version was replaced.
async def test_a_router_that_hears_nobody_refuses_streams_of_others(
    autojump_clock, routers
):
    await meet(routers)
    first = routers[0]
    await trio.sleep(MEMORY_SECONDS)
    first.hear_store()
    assert await first.required() == 1
    await trio.sleep(MEMORY_SECONDS)
    with pytest.raises(NoTarget):
        await first.required()
    now = trio.current_time()
    first.knowledge.stream_versions.record_own(STREAM, 1, now)
    assert await first.required() == 1


# Guards against streams that go on at the version of another stream, as their
# callers do not tell which request began them.
async def test_a_stream_without_a_name_is_not_known_by_another_one(
    autojump_clock, routers
):
    unnamed = resumption('')
    affinity = routers[0].affinity
    now = trio.current_time()
    affinity.record_start(unnamed, SimpleNamespace(software_id=1), now)
    routers[0].knowledge.service_versions.set_serving(
        {SERVICE: frozenset((1, 2))}, now
    )
    with pytest.raises(NoTarget):
        await affinity.version_of(unnamed)


def told(caplog, *fields):
    """Return these fields of the lines about streams that are taken up."""
    lines = (record.msg for record in caplog.records)
    return [
        tuple(line[field] for field in fields)
        for line in lines
        if line['event'] == 'stream.taken_up'
    ]


async def test_the_log_tells_on_what_a_stream_goes_on(
    autojump_clock, nursery, routers, caplog
):
    caplog.set_level('INFO', 'peridotwell')
    routers[1].know_versions()
    routers[1].hear_store()
    await meet(routers)
    nursery.start_soon(answer_questions, routers)
    first, second = routers
    await first.required()
    second.knowledge.stream_versions.record_own(STREAM, 1, trio.current_time())
    first.knowledge.service_versions.set_serving(
        {SERVICE: frozenset((1, 2))}, trio.current_time()
    )
    await first.required()
    await trio.sleep(1)
    await first.required()
    second.knowledge.stream_versions.record_own(STREAM, 1, trio.current_time())
    await second.required()
    assert told(caplog, 'basis', 'version', 'evidence') == [
        ('one_version', None, 'r1'),
        ('stream', 1, 'r1'),
        ('stream', 1, 'r1'),
        ('stream', 1, 'own'),
    ]
    ages = [age for (age,) in told(caplog, 'age_seconds')]
    assert ages[2] >= 1 > ages[1]


async def test_the_log_tells_why_a_stream_is_refused(
    autojump_clock, routers, caplog
):
    first, second = routers
    first.sharing.discovery.add_peers([second.hello])
    first.hear_store()
    with pytest.raises(NoTarget):
        await first.required()
    services = first.knowledge.service_versions
    services.set_serving({SERVICE: frozenset((1, 2))}, trio.current_time())
    with pytest.raises(NoTarget):
        await first.required()
    refused = [('not_confirmed', 'store'), ('several_versions', 'store')]
    assert told(caplog, 'basis', 'evidence') == refused


# Guards against records of an incident that do not show which router had not
# heard the store: the one that took a stream up, or the one that it went by.
async def test_the_log_tells_when_the_source_heard_the_store(
    autojump_clock, nursery, routers, caplog
):
    caplog.set_level('INFO', 'peridotwell')
    first, second = routers
    second.know_versions()
    second.hear_store()
    await meet(routers)
    nursery.start_soon(answer_questions, routers)
    await trio.sleep(1)
    first.hear_store()
    await first.required()
    ((source, own),) = told(
        caplog, 'source_heard_seconds', 'store_heard_seconds'
    )
    assert source >= 2 > 1 > own
