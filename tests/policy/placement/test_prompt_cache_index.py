"""Tests of the index of the prompt parts that engines have cached."""

from peridotwell.domain.prompt import Prompt, PromptPart
from peridotwell.policy.placement.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
    cacheable_parts,
)

SYSTEM = CachedPart(1, 500)
DOCUMENT = CachedPart(2, 10_000)


def test_only_shared_parts_are_cached_parts():
    prompt = Prompt(
        'm', (PromptPart('s', 500), PromptPart('d', 900), PromptPart('q', 20))
    )
    assert [part.tokens for part in cacheable_parts(prompt)] == [500, 900]


def test_part_ids_depend_on_the_model():
    parts = (PromptPart('s', 500), PromptPart('q', 20))
    assert cacheable_parts(Prompt('a', parts)) != cacheable_parts(
        Prompt('b', parts)
    )


def test_a_part_is_cached_only_if_all_parts_before_it_are():
    index = PromptCacheIndex()
    index.record_use('engine', (DOCUMENT,), 0)
    assert index.missing_tokens('engine', (SYSTEM, DOCUMENT), 1) == 10_500
    index.record_use('engine', (SYSTEM,), 0)
    assert index.missing_tokens('engine', (SYSTEM, DOCUMENT), 1) == 0


def test_an_unknown_engine_has_nothing_cached():
    assert PromptCacheIndex().missing_tokens('engine', (SYSTEM,), 0) == 500


def test_least_recently_used_parts_are_evicted():
    index = PromptCacheIndex()
    index.set_capacity('engine', 20_000)
    index.record_use('engine', (DOCUMENT,), 0)
    index.record_use('engine', (CachedPart(3, 9_000),), 1)
    assert index.missing_tokens('engine', (DOCUMENT,), 2) == 10_000
    assert index.missing_tokens('engine', (CachedPart(3, 9_000),), 2) == 0


def test_capacity_set_after_the_first_prompts_applies():
    """Prompts from other routers arrive before the capacity is known."""
    index = PromptCacheIndex()
    parts = tuple(CachedPart(number, 10_000) for number in range(40))
    index.record_use('engine', parts[:10], 0)
    index.set_capacity('engine', 600_000)
    index.record_use('engine', parts[10:], 0)
    assert index.missing_tokens('engine', parts, 1) == 0


def test_a_part_is_announced_once_and_again_after_some_time():
    index = PromptCacheIndex()
    assert index.record_use('engine', (SYSTEM,), 0)
    assert not index.record_use('engine', (SYSTEM,), 1)
    assert index.record_use('engine', (SYSTEM,), 10)


def test_parts_expire():
    index = PromptCacheIndex()
    index.record_use('engine', (SYSTEM,), 0)
    assert index.missing_tokens('engine', (SYSTEM,), 100) == 500


def test_a_removed_engine_has_nothing_cached():
    index = PromptCacheIndex()
    index.record_use('engine', (SYSTEM,), 0)
    index.remove('engine')
    assert not index.is_known('engine')
    assert index.missing_tokens('engine', (SYSTEM,), 0) == 500


def test_engines_that_are_gone_are_removed():
    index = PromptCacheIndex()
    index.record_use('gone', (SYSTEM,), 0)
    index.record_use('kept', (SYSTEM,), 0)
    index.keep_only({'kept'})
    assert list(index.all_parts()) == ['kept']


# Each choice asked for the missing tokens of every engine, one by one.
def test_holders_are_the_engines_that_lack_less_than_all():
    index = PromptCacheIndex()
    index.record_use('both', (SYSTEM, DOCUMENT), 50)
    index.record_use('first', (SYSTEM,), 50)
    index.record_use('second', (DOCUMENT,), 50)
    index.record_use('expired', (SYSTEM, DOCUMENT), 0)
    index.record_use('partly expired', (DOCUMENT,), 0)
    index.record_use('partly expired', (SYSTEM,), 50)
    index.set_capacity('empty', 1000)
    parts = (SYSTEM, DOCUMENT)
    holders = index.holders(parts, 70)
    assert holders == {'both': 0, 'first': 10_000, 'partly expired': 10_000}
    for name in index.all_parts():
        missing = index.missing_tokens(name, parts, 70)
        assert holders.get(name, 10_500) == missing
    assert index.holders((), 70) == {}
