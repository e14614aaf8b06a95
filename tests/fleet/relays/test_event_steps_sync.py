"""Tests that all routers learn whether the ids of events jump."""

import msgspec
import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.transport.frames import (
    RouterUpdate,
    decode_frame,
    encode_frame,
)
from peridotwell.policy.evidence.event_steps import Finding
from peridotwell.policy.evidence.step_records import Evidence, StepRecord
from tests.fleet.relays.test_soft_state_sync import CONTACT_SECONDS, meet
from tests.fleet.relays.test_update_exchange import Router, run_ticks

SERVICE = 'ledger'
TARGET = Target('t', 'a:1', TargetKind.service, Pool('north', SERVICE))
OTHER = Target('o', 'a:2', TargetKind.service, Pool('north', SERVICE))
STREAMS = 20
RECORD = StepRecord(7, Evidence.same_step, 9)


@pytest.fixture
def fleet():
    routers = {}
    return meet([Router(f'r{number}', routers) for number in range(5)])


def findings(fleet, now):
    return {
        router.knowledge.event_steps.finding(SERVICE, TARGET, now)
        for router in fleet
    }


def see_steps(router, now):
    """Let a router see sound streams, and then some with a step."""
    steps = router.knowledge.event_steps
    for _ in range(STREAMS):
        steps.record_by_one(SERVICE, TARGET)
    for _ in range(STREAMS):
        router.sharing.step_sync.share(
            steps.record_step(SERVICE, TARGET, now, from_start=False)
        )


def test_what_another_target_has_shown_is_told_at_once(fleet):
    router = fleet[0]
    router.sharing.step_sync.share(
        router.knowledge.event_steps.learn(
            SERVICE, (TARGET, OTHER), Evidence.same_step, 1
        )
    )
    run_ticks(fleet, 1, 1.15)
    assert findings(fleet, 1.15) == {Finding.jumping}


def test_router_that_starts_learns_it_though_its_origin_is_gone(fleet):
    see_steps(fleet[0], 1)
    run_ticks(fleet, 1, 2)
    rest = fleet[1:]
    fleet[0].transport.is_cut = True
    run_ticks(rest, 2, 20)
    started = Router('started', fleet[0].transport.routers)
    meet([*rest, started], 20)
    run_ticks([*rest, started], 21, 20 + CONTACT_SECONDS)
    assert findings([started], 23) == {Finding.by_one}


def test_nothing_is_told_while_no_stream_has_a_step(fleet):
    steps = fleet[0].knowledge.event_steps
    for _ in range(STREAMS):
        steps.record_by_one(SERVICE, TARGET)
    assert not fleet[0].sharing.step_sync.has_changes()
    assert not fleet[0].sharing.step_sync.take(1, repeat=True)


# Guards against a field that disturbs routers of earlier versions, and against
# one that they do not send.
def test_earlier_versions_neither_need_nor_mind_the_field():
    update = RouterUpdate(1, 2, 3, table_version=5, event_steps=(RECORD,))
    assert decode_frame(encode_frame(update)) == update
    fields = RouterUpdate.__struct_fields__
    # Fields that came later were also unknown to the earlier versions.
    known = fields[: fields.index('event_steps')]
    earlier = msgspec.defstruct(
        'Earlier',
        [(name, object) for name in known],
        array_like=True,
        tag=11,
    )
    read = msgspec.msgpack.decode(encode_frame(update), type=earlier)
    assert read.table_version == update.table_version
    told = decode_frame(msgspec.msgpack.encode(read))
    assert told == msgspec.structs.replace(update, event_steps=())
