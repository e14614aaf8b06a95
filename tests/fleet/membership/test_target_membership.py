"""Tests of target membership, frame encoding and the ZeroMQ transport."""

import msgspec
import pytest

from peridotwell.domain.target import Pool, wire_id
from peridotwell.fleet.membership.target_membership import (
    TargetMembership,
    TargetObservation,
    decode_listing,
)
from peridotwell.fleet.transport.frames import (
    CreditRequest,
    FrameError,
    Heartbeat,
    Hello,
    Observations,
    decode_frame,
    encode_frame,
)
from peridotwell.fleet.transport.peer_transport import ZmqPeerTransport

POOL = Pool('dc1', 'ink')


def listing(*names, state='live'):
    rows = [
        {
            'name': name,
            'address': 'x',
            'kind': 'engine',
            'pool': 'ink',
            'data_centre': 'dc1',
            'state': state,
        }
        for name in names
    ]
    return decode_listing(msgspec.json.encode(rows))


def usable_names(membership, now=0):
    return [target.name for target in membership.usable_targets(POOL, now)]


def test_listing_that_lost_more_than_half_a_pool_keeps_its_targets():
    membership = TargetMembership()
    membership.apply_listing(listing('a', 'b', 'c', 'd'))
    membership.apply_listing(listing('a'))
    assert usable_names(membership) == ['a', 'b', 'c', 'd']
    membership.apply_listing(())
    assert sorted(usable_names(membership)) == ['a', 'b', 'c', 'd']
    membership.record_connection_failure('b', 0)
    assert 'b' not in usable_names(membership)
    membership.apply_listing(listing('a', 'c', 'd'))
    assert membership.doubted == frozenset()
    membership.apply_listing(listing('a', 'c'))
    assert usable_names(membership) == ['a', 'c']


def test_listed_leaving_state_applies_even_to_a_whole_pool():
    membership = TargetMembership()
    membership.apply_listing(listing('a', 'b'))
    membership.apply_listing(listing('a', 'b', state='leaving'))
    assert usable_names(membership) == []


def test_only_a_newer_observation_makes_a_leaving_target_live():
    membership = TargetMembership()
    membership.apply_listing(listing('a'))
    assert membership.apply_observation(
        TargetObservation(wire_id('a'), True, 10)
    )
    assert not membership.apply_observation(
        TargetObservation(wire_id('a'), False, 9)
    )
    assert usable_names(membership) == []
    assert membership.apply_observation(
        TargetObservation(wire_id('a'), False, 11, 'boot2', 8)
    )
    assert membership.target('a').slots == 8
    assert usable_names(membership) == ['a']


def test_pause_doubles_while_a_target_refuses_connections():
    membership = TargetMembership()
    membership.apply_listing(listing('a', 'b'))
    pauses = []
    for _ in range(6):
        membership.record_connection_failure('a', 0)
        pauses.append(
            next(
                tenth / 10
                for tenth in range(200)
                if 'a' in usable_names(membership, tenth / 10)
            )
        )
    assert pauses == [0.5, 1, 2, 4, 8, 8]
    membership.record_connection_success('a')
    assert 'a' in usable_names(membership)


@pytest.mark.parametrize(
    'content', [b'', b'x', b'\x90', b'\x92\x63\x01', b'\xff' * 40]
)
def test_invalid_frame_raises_frame_error(content):
    with pytest.raises(FrameError, match='check who sends'):
        decode_frame(content)


def test_frames_are_decoded_as_encoded_and_are_small():
    frames = (
        Hello(1, 'r1', 'dc1', 'a:1', 'a:2', 7),
        Heartbeat(1, 2, 3, 4, False, ((5, 6),)),
        CreditRequest(2**32 - 1, 2**32 - 1, 2**32 - 1, 100, 1000),
        Observations(1, (TargetObservation(1, True, 2.5),)),
    )
    assert [decode_frame(encode_frame(frame)) for frame in frames] == [*frames]
    assert len(encode_frame(frames[2])) <= 24


async def test_transport_keeps_order_and_drops_frames_to_unreachable_peers():
    sender, receiver = (
        ZmqPeerTransport('127.0.0.1:0'),
        ZmqPeerTransport('127.0.0.1:0'),
    )
    frames = [CreditRequest(1, 2, 3, 4, number) for number in range(200)]
    while not sender.send(receiver.address, frames[0]):
        pass
    for frame in frames[1:]:
        assert sender.send(receiver.address, frame)
    received = []
    async for content in receiver.received_frames():
        received.append(decode_frame(content))
        if len(received) == len(frames):
            break
    assert received == frames
    assert not sender.send('127.0.0.1:1', frames[0])
    assert sender.dropped_frames
    sender.close()
    receiver.close()
