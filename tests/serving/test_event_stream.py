"""Splitting of streams into whole events, for any cut and any chunks."""

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.attempt_errors import ResponseTimeout, ResponseTruncated
from peridotwell.serving.event_stream import (
    MAX_EVENT_BYTES,
    NO_LIMIT,
    EventBuffer,
    EventLimit,
    split_events,
    validated_events,
    whole_events,
)

SILENCE_SECONDS = 1
LINES = st.lists(
    st.text('abc: ', min_size=1, max_size=5).map(str.encode),
    min_size=1,
    max_size=3,
)
LINE_ENDS = st.sampled_from([b'\n', b'\r\n', b'\r'])


@st.composite
def events(draw):
    line_end = draw(LINE_ENDS)
    lists = draw(st.lists(LINES, min_size=1, max_size=4))
    return [line_end.join([*lines, b'', b'']) for lines in lists]


async def in_chunks(content, sizes):
    position = 0
    for size in sizes:
        yield content[position : position + size]
        position += size
    yield content[position:]


async def collect(parts):
    return [part async for part in parts]


async def collect_into(received, parts):
    async for part in parts:
        received.append(part)


CHUNK_SIZES = st.lists(st.integers(1, 6), max_size=30)


@given(events(), CHUNK_SIZES)
async def test_whole_streams_arrive_unchanged_and_event_by_event(stream, sizes):
    content = b''.join(stream)
    parts = await collect(whole_events(in_chunks(content, sizes), NO_LIMIT))
    assert b''.join(parts) == content
    assert (
        await collect(split_events(in_chunks(content, sizes), NO_LIMIT))
        == stream
    )


# Guards against half an event that reaches a caller.
@given(events(), CHUNK_SIZES, st.data())
async def test_stream_cut_within_an_event_yields_the_events_before(
    stream, sizes, data
):
    last = stream[-1].rstrip(b'\r\n')
    kept = data.draw(st.integers(1, len(last)))
    before = b''.join(stream[:-1])
    cut = before + last[:kept]
    received = []
    with pytest.raises(ResponseTruncated):
        await collect_into(
            received, whole_events(in_chunks(cut, sizes), NO_LIMIT)
        )
    assert b''.join(received) == before


async def test_empty_lines_after_the_last_event_belong_to_the_stream():
    content = b'data: x\n\n\n'
    parts = await collect(whole_events(in_chunks(content, [3]), NO_LIMIT))
    assert b''.join(parts) == content


def test_event_without_an_end_is_refused_at_the_limit():
    buffer = EventBuffer(EventLimit(SILENCE_SECONDS))
    assert not buffer.add(b'x' * MAX_EVENT_BYTES, now=0)
    with pytest.raises(ResponseTruncated):
        buffer.add(b'x', now=0)


# Guards against a stalled stream that is held by a byte now and then.
def test_event_that_grows_by_a_byte_now_and_then_is_given_up():
    buffer = EventBuffer(EventLimit(SILENCE_SECONDS))
    assert buffer.add(b'data: x\n\n', now=5)
    for tenths in range(10):
        assert not buffer.add(b'y', now=5 + tenths / 10)
    with pytest.raises(ResponseTimeout):
        buffer.add(b'y', now=6.1)


# Guards against cutting slow but sound streams.
def test_long_event_on_a_slow_link_is_not_given_up():
    buffer = EventBuffer(EventLimit(SILENCE_SECONDS))
    for second in range(20):
        assert not buffer.add(b'y' * 32_000, now=second)
    assert buffer.add(b'\n\n', now=20)


# Guards against streams that are cut because their caller reads slowly.
async def test_time_in_which_the_caller_does_not_read_does_not_count(
    autojump_clock,
):
    chunks = (b'data: 1\n\n', b'data: 2', b'\n\n')

    async def arrive():
        for chunk in chunks:
            yield chunk

    received = b''
    async for part in whole_events(arrive(), EventLimit(SILENCE_SECONDS)):
        received += part
        await trio.sleep(3)
    assert received == b''.join(chunks)


async def numbered(*numbers):
    for number in numbers:
        yield b'id: %d\ndata: r1\n\n' % number
    yield b'data: [DONE]\n\n'


# Guards against a burst of streams that leave out a token and look whole: no
# number of them may be taken for usual.
async def test_a_token_that_is_left_out_is_never_taken_for_usual():
    for _ in range(100):
        received = []
        parts = validated_events(numbered(1, 2, 3, 5, 6), 0, 'r1')
        with pytest.raises(ResponseTruncated):
            await collect_into(received, parts)
        assert [event.position for event in received] == [1, 2, 3]
