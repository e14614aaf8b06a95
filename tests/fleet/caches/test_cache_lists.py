"""Tests of the portions in which an engine's list is sent."""

from hypothesis import given
from hypothesis import strategies as st

from peridotwell.fleet.caches.cache_lists import (
    PORTION_PARTS,
    chunk_lists,
    list_portions,
)
from peridotwell.policy.placement.prompt_cache_index import CachedPart

PARTS = st.lists(
    st.builds(CachedPart, st.integers(0, 2**64 - 1), st.integers(0, 30_000)),
    max_size=3 * PORTION_PARTS,
    unique_by=lambda part: part.part_id,
)


@given(PARTS)
def test_portions_hold_each_part_once_the_largest_first(parts):
    portions = list(list_portions(7, parts))
    sent = [pair for portion in portions for pair in portion.parts]
    assert {portion.target_id for portion in portions} == {7}
    assert sorted(sent) == sorted((p.part_id, p.tokens) for p in parts)
    tokens = [pair[1] for pair in sent]
    assert tokens == sorted(tokens, reverse=True)


def test_an_empty_list_is_sent_too():
    """Routers must know that the engine has been asked."""
    (portion,) = list_portions(7, ())
    assert portion.parts == ()


@given(PARTS, st.integers(1, 2000))
def test_chunks_hold_each_portion_once(parts, chunk_bytes):
    portions = list(list_portions(7, parts))
    chunks = list(chunk_lists(portions, chunk_bytes))
    assert [each for chunk in chunks for each in chunk] == portions
