"""Tests of the answers to routers that request the index of caches."""

from peridotwell.fleet.caches.cache_answers import MAX_ANSWERS, CacheAnswers
from peridotwell.fleet.transport.frames import (
    CachesPush,
    CachesRefusal,
    decode_frame,
)
from peridotwell.policy.placement.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
)
from tests.fleet.relays.test_update_exchange import InMemoryTransport

LINK_BYTES_PER_SECOND = 625_000
ENGINES = 50
PARTS = 100
TICK_SECONDS = 0.05


class Receiver:
    """A router that keeps the messages sent to it."""

    def __init__(self):
        self.inbox = []

    def frames(self):
        return [decode_frame(content) for content in self.inbox]


def make_answers(receivers, engines=ENGINES):
    index = PromptCacheIndex()
    for engine in range(engines):
        parts = [
            CachedPart((engine << 32) + part, part) for part in range(PARTS)
        ]
        index.record_use(f'e{engine}', parts, 0)
    transport = InMemoryTransport('own', receivers)
    return CacheAnswers(transport, index, 1, LINK_BYTES_PER_SECOND)


def run_ticks(answers, seconds):
    for step in range(int(seconds / TICK_SECONDS)):
        answers.tick(step * TICK_SECONDS)


def engines_known(receiver):
    return {
        prompt.target_id
        for frame in receiver.frames()
        if isinstance(frame, CachesPush)
        for prompt in frame.prompts
    }


def test_an_answer_ends_with_its_last_message():
    receiver = Receiver()
    answers = make_answers({'r': receiver})
    assert answers.add('r', is_complete=True)
    run_ticks(answers, 2)
    *others, last = receiver.frames()
    assert last.is_last
    assert not any(frame.is_last for frame in others)
    parts = sum(len(each.parts) for push in others for each in push.prompts)
    assert parts == ENGINES * PARTS


# Guards against updates that wait for an answer before a slow link.
def test_an_answer_uses_a_part_of_the_link_only():
    receiver = Receiver()
    answers = make_answers({'r': receiver})
    answers.add('r', is_complete=True)
    run_ticks(answers, 0.2)
    sent = sum(map(len, receiver.inbox))
    assert 0 < sent <= LINK_BYTES_PER_SECOND * 0.3 * 0.4
    assert max(map(len, receiver.inbox)) <= LINK_BYTES_PER_SECOND * 0.05


def test_largest_parts_go_to_all_routers_before_the_others():
    receivers = {name: Receiver() for name in 'abc'}
    answers = make_answers(receivers)
    for name in receivers:
        answers.add(name, is_complete=True)
    run_ticks(answers, 0.4)
    known = [len(engines_known(each)) for each in receivers.values()]
    assert known == [ENGINES] * 3


def test_an_incomplete_index_is_followed_by_a_refusal():
    receiver = Receiver()
    answers = make_answers({'r': receiver})
    assert answers.add('r', is_complete=False)
    run_ticks(answers, 2)
    *others, last = receiver.frames()
    assert isinstance(last, CachesRefusal)
    assert len(engines_known(receiver)) == ENGINES
    assert not any(push.is_last for push in others)


def test_an_empty_index_and_too_many_answers_are_refused():
    assert not make_answers({}, engines=0).add('r', is_complete=True)
    answers = make_answers({})
    added = [
        answers.add(f'r{number}', is_complete=True)
        for number in range(MAX_ANSWERS + 1)
    ]
    assert added == [True] * MAX_ANSWERS + [False]


# Guards against answers that are lost because the connection is not open yet.
def test_an_answer_waits_until_the_connection_is_open():
    receivers = {}
    answers = make_answers(receivers)
    answers.add('r', is_complete=True)
    answers.refuse('s')
    answers.tick(0)
    receivers.update({'r': Receiver(), 's': Receiver()})
    run_ticks(answers, 0.6)
    assert len(engines_known(receivers['r'])) == ENGINES
    assert isinstance(receivers['s'].frames()[0], CachesRefusal)


def test_answers_to_a_router_that_stays_unreachable_are_given_up():
    receivers = {}
    answers = make_answers(receivers)
    answers.add('r', is_complete=True)
    run_ticks(answers, 2)
    receivers['r'] = Receiver()
    run_ticks(answers, 1)
    assert not receivers['r'].inbox
