"""Tests that all routers learn what they should: crashes, limits of targets."""

import msgspec
import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.relays.soft_state_sync import SoftStateSync
from peridotwell.fleet.transport.frames import (
    CachedPrompt,
    Frame,
    Pairs,
    RouterUpdate,
    decode_frame,
    encode_frame,
)
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.policy.brittle.brittle_notice import Terms
from peridotwell.policy.brittle.brittle_records import BrittleRecord
from peridotwell.policy.brittle.brittleness import Brittleness
from peridotwell.policy.crashes.crash_blame import CrashBlame
from peridotwell.policy.crashes.loss_records import LossRecord
from peridotwell.policy.crashes.quarantine import CrashRecord
from peridotwell.policy.health.target_notices import Departure, TargetNotices
from peridotwell.policy.limits.target_limits import LimitRecord, TargetLimits
from tests.fleet.relays.test_update_exchange import Router, run_ticks

BAD = 7
DEPARTURE = Departure(7, 8)
# All routers know a record this long after they are in touch again.
CONTACT_SECONDS = 3.0


@pytest.fixture
def fleet():
    routers = {}
    return meet([Router(f'r{number}', routers) for number in range(5)])


def meet(fleet, now=0):
    for router in fleet:
        router.sharing.discovery.add_peers(each.hello for each in fleet)
    run_ticks(fleet, now, now + 1)
    return fleet


def lose_targets(router, now, incarnations=range(3)):
    for number in incarnations:
        changed = router.knowledge.crash_blame.record_loss(
            number, number, (BAD,), now
        )
        router.sharing.crash_blame_sync.share(changed)


def blaming(fleet):
    return [
        bool(router.knowledge.crash_blame.blamed_group((BAD,)))
        for router in fleet
    ]


def test_blame_reaches_all_routers_within_a_tenth_of_a_second(fleet):
    lose_targets(fleet[0], 1)
    run_ticks(fleet, 1, 1.15)
    assert all(blaming(fleet))


def test_losses_at_several_routers_add_up(fleet):
    for number, router in enumerate(fleet[:3]):
        lose_targets(router, 1, [number])
    run_ticks(fleet, 1, 1.2)
    assert all(blaming(fleet))


# Guards against a router that missed an update and sends requests on that the
# others refuse.
@pytest.mark.parametrize('cut_off', range(5))
def test_router_that_was_cut_off_learns_what_it_missed(fleet, cut_off):
    router = fleet[cut_off]
    others = [each for each in fleet if each is not router]
    router.transport.is_cut = True
    for other in others:
        other.transport.cut_from = frozenset((router.hello.name,))
    lose_targets(others[0], 1)
    run_ticks(fleet, 1, 31)
    assert not blaming([router])[0]
    router.transport.is_cut = False
    for other in others:
        other.transport.cut_from = frozenset()
    run_ticks(fleet, 31, 31 + CONTACT_SECONDS)
    assert all(blaming(fleet))


def test_losses_that_a_cut_off_router_saw_are_told_afterwards(fleet):
    fleet[0].transport.is_cut = True
    lose_targets(fleet[0], 1)
    run_ticks(fleet, 1, 6)
    assert sum(blaming(fleet)) == 1
    fleet[0].transport.is_cut = False
    run_ticks(fleet, 6, 6 + CONTACT_SECONDS)
    assert all(blaming(fleet))


def test_router_that_starts_learns_the_blame_though_its_origin_is_gone(fleet):
    lose_targets(fleet[0], 1)
    run_ticks(fleet, 1, 2)
    rest = fleet[1:]
    fleet[0].transport.is_cut = True
    run_ticks(rest, 2, 20)
    started = Router('started', fleet[0].transport.routers)
    meet([*rest, started], 20)
    run_ticks([*rest, started], 21, 20 + CONTACT_SECONDS)
    assert all(blaming([*rest, started]))


def test_nothing_is_sent_at_rest(fleet):
    for router in fleet:
        assert not router.sharing.crash_blame_sync.take(1, repeat=True)


@pytest.fixture
def calls(monkeypatch):
    """Return a list that grows with each merge and listing of routers."""
    made = []
    for owner, name in (
        (CrashBlame, 'merge'),
        (TargetLimits, 'merge'),
        (TargetNotices, 'merge'),
        (Peers, 'live_peers'),
    ):
        monkeypatch.setattr(owner, name, recorded(getattr(owner, name), made))
    return made


def recorded(function, made):
    def call(*arguments):
        made.append(function.__qualname__)
        return function(*arguments)

    return call


@pytest.fixture
def wakes():
    return []


@pytest.fixture
def departure_sync(wakes):
    """Return the exchange of a router's departures, of which it has none."""
    peers = Peers(make_hello('r', 'a', 'r', '', 1), 2)
    return SoftStateSync(peers, TargetNotices(), lambda: wakes.append(None))


# Guards against work for each update of each router while nothing is told.
def test_update_without_records_does_no_work_on_the_states(fleet, calls):
    update = RouterUpdate(fleet[1].hello.sender, 2, 2**31)
    fleet[0].sharing.receive(encode_frame(update), 1)
    assert fleet[0].sharing.peers.peer(update.sender).last_sequence == 2**31
    assert not calls
    told = RouterUpdate(update.sender, 2, 2**31 + 1, departed=(DEPARTURE,))
    fleet[0].sharing.receive(encode_frame(told), 1)
    assert calls == ['TargetNotices.merge']


def test_update_without_records_does_not_ask_for_an_update(
    departure_sync, calls, wakes
):
    departure_sync.apply((), 1)
    departure_sync.share(())
    assert not calls
    assert not wakes
    departure_sync.share((DEPARTURE,))
    assert len(wakes) == 1
    departure_sync.apply((), 1)
    departure_sync.share(())
    assert len(wakes) == 1
    assert departure_sync.has_changes()


def test_routers_are_listed_once_and_only_for_records_to_repeat(
    departure_sync, calls
):
    assert not departure_sync.take(1, repeat=True)
    assert not calls
    told = (DEPARTURE, Departure(9, 8))
    departure_sync.apply(told, 1)
    calls.clear()
    assert departure_sync.take(1, repeat=True) == told
    assert calls == ['Peers.live_peers']


def test_three_routers_repeat_a_record(fleet):
    lose_targets(fleet[0], 1)
    run_ticks(fleet, 1, 2)
    repeating = [
        bool(router.sharing.crash_blame_sync.take(2, repeat=True))
        for router in fleet
    ]
    assert sum(repeating) == 3


def test_limit_of_a_target_is_known_to_all_routers_also_new_ones(fleet):
    engine = Target('t', 'h:1', TargetKind.engine, Pool('a', 'm'))
    record = fleet[0].knowledge.target_limits.record(engine, 3, 1)
    fleet[0].sharing.limit_sync.share((record,))
    run_ticks(fleet, 1, 1.15)
    limits = [router.knowledge.target_limits for router in fleet]
    assert {each.limit(engine, 1.15) for each in limits} == {3}
    started = Router('started', fleet[0].transport.routers)
    meet([*fleet, started], 2)
    run_ticks([*fleet, started], 3, 2 + CONTACT_SECONDS)
    assert started.knowledge.target_limits.limit(engine, 5) == 3


def test_brittle_target_is_known_to_all_routers_also_new_ones(fleet):
    engine = Target('t', 'h:1', TargetKind.engine, Pool('a', 'm'))
    answer = Brittleness(5, True, 3, 0, 8)
    record = fleet[0].knowledge.brittle_targets.record_answer(engine, answer, 1)
    fleet[0].sharing.brittle_sync.share((record,))
    run_ticks(fleet, 1, 1.15)
    notices = [each.knowledge.brittle_targets.notices for each in fleet]
    assert {each.max_rejections(engine) for each in notices} == {5}
    assert {each.rejection(engine).full_requests for each in notices} == {3}
    started = Router('started', fleet[0].transport.routers)
    meet([*fleet, started], 2)
    run_ticks([*fleet, started], 3, 2 + CONTACT_SECONDS)
    told = started.knowledge.brittle_targets.notices.terms(engine, 5)
    assert told == Terms(5, slots=8)


class OlderUpdate(Frame, frozen=True, array_like=True, tag=11):
    """An update as the version before brittle targets knows it."""

    revision: int
    sequence: int
    is_leaving: bool = False
    is_full: bool = False
    outstanding_requests: Pairs = ()
    prefill_tokens: Pairs = ()
    prompts: tuple[CachedPrompt, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()
    store_contact_deciseconds: int = 0
    store_answer_age_deciseconds: int = 0
    stream_versions: Pairs = ()
    departed: tuple[Departure, ...] = ()
    part_records: tuple[LossRecord, ...] = ()
    target_limits: tuple[LimitRecord, ...] = ()


def test_older_versions_and_this_one_decode_the_updates_of_each_other():
    brittle = BrittleRecord(7, 8, 9, 5.0, slots=8)
    update = RouterUpdate(1, 2, 3, departed=(Departure(7, 8),))
    content = encode_frame(
        msgspec.structs.replace(update, brittle_targets=(brittle,))
    )
    assert decode_frame(content).brittle_targets == (brittle,)
    older = msgspec.msgpack.decode(content, type=OlderUpdate)
    assert older.departed == (Departure(7, 8),)
    assert decode_frame(msgspec.msgpack.encode(older)) == update


def crash_targets(router, now, count=3):
    for incarnation in range(count):
        record = router.knowledge.crashed_requests.record_loss(
            BAD, incarnation, now
        )
        router.sharing.crashed_request_sync.share((record,))


def refusing(fleet, now):
    return [
        router.knowledge.crashed_requests.is_refused(BAD, 3, now)
        for router in fleet
    ]


# Guards against a router that missed an update and sends a request on that
# crashes targets, while the others refuse it.
@pytest.mark.parametrize('cut_off', range(5))
def test_router_that_was_cut_off_learns_of_crashed_requests(fleet, cut_off):
    router = fleet[cut_off]
    others = [each for each in fleet if each is not router]
    router.transport.is_cut = True
    for other in others:
        other.transport.cut_from = frozenset((router.hello.name,))
    crash_targets(others[0], 1)
    run_ticks(fleet, 1, 6)
    assert refusing(fleet, 6).count(True) == 4
    router.transport.is_cut = False
    for other in others:
        other.transport.cut_from = frozenset()
    run_ticks(fleet, 6, 6 + CONTACT_SECONDS)
    assert all(refusing(fleet, 6 + CONTACT_SECONDS))


def test_router_that_starts_learns_of_crashed_requests(fleet):
    crash_targets(fleet[0], 1)
    run_ticks(fleet, 1, 2)
    started = Router('started', fleet[0].transport.routers)
    meet([*fleet, started], 2)
    run_ticks([*fleet, started], 3, 2 + CONTACT_SECONDS)
    assert refusing([started], 2 + CONTACT_SECONDS) == [True]


def test_a_request_that_completes_is_cleared_at_all_routers(fleet):
    crash_targets(fleet[0], 1)
    run_ticks(fleet, 1, 2)
    cleared = fleet[3].knowledge.crashed_requests.clear(BAD, 2)
    fleet[3].sharing.crashed_request_sync.share(cleared)
    run_ticks(fleet, 2, 12)
    assert not any(refusing(fleet, 12))


def test_repeats_do_not_prolong_the_record_of_a_request(fleet):
    crash_targets(fleet[0], 1)
    run_ticks(fleet, 1, 30)
    assert all(refusing(fleet, 30))
    run_ticks(fleet, 30, 34)
    assert not any(refusing(fleet, 34))


def test_single_losses_of_requests_are_not_repeated(fleet):
    crash_targets(fleet[0], 1, count=1)
    run_ticks(fleet, 1, 2)
    for router in fleet:
        assert not router.sharing.crashed_request_sync.take(2, repeat=True)


# Guards against new work for a target that leaves from a router that missed it.
def test_router_that_was_cut_off_learns_of_departures(fleet):
    fleet[4].transport.is_cut = True
    for router in fleet[:4]:
        router.transport.cut_from = frozenset((fleet[4].hello.name,))
    fleet[0].knowledge.target_notices.record_leaving((7, 8), 1)
    fleet[0].sharing.departure_sync.share((DEPARTURE,))
    run_ticks(fleet, 1, 11)
    assert not list(fleet[4].knowledge.target_notices.departed())
    fleet[4].transport.is_cut = False
    for router in fleet[:4]:
        router.transport.cut_from = frozenset()
    run_ticks(fleet, 11, 11 + CONTACT_SECONDS)
    for router in fleet:
        assert list(router.knowledge.target_notices.departed()) == [(7, 8)]
