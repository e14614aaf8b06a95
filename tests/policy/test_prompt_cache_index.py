"""The map of what engines have cached."""

from peridotwell.domain.prompt import Prompt, PromptPart
from peridotwell.policy.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
    cached_parts,
)

SYSTEM = CachedPart(1, 500)
DOCUMENT = CachedPart(2, 10_000)


def test_only_shared_parts_count():
    prompt = Prompt(
        'm', (PromptPart('s', 500), PromptPart('d', 900), PromptPart('q', 20))
    )
    assert [part.tokens for part in cached_parts(prompt)] == [500, 900]


def test_the_same_part_of_another_model_is_another_part():
    parts = (PromptPart('s', 500), PromptPart('q', 20))
    assert cached_parts(Prompt('a', parts)) != cached_parts(Prompt('b', parts))


def test_a_part_counts_only_behind_the_parts_before_it():
    caches = PromptCacheIndex()
    caches.record_use('engine', (DOCUMENT,), 0)
    assert caches.missing_tokens('engine', (SYSTEM, DOCUMENT), 1) == 10_500
    caches.record_use('engine', (SYSTEM,), 0)
    assert caches.missing_tokens('engine', (SYSTEM, DOCUMENT), 1) == 0


def test_unknown_engine_misses_everything():
    assert PromptCacheIndex().missing_tokens('engine', (SYSTEM,), 0) == 500


def test_least_recently_used_parts_yield_to_the_memory():
    caches = PromptCacheIndex()
    caches.set_capacity('engine', 20_000)
    caches.record_use('engine', (DOCUMENT,), 0)
    caches.record_use('engine', (CachedPart(3, 9_000),), 1)
    assert caches.missing_tokens('engine', (DOCUMENT,), 2) == 10_000
    assert caches.missing_tokens('engine', (CachedPart(3, 9_000),), 2) == 0


def test_memory_told_after_the_first_prompts_holds():
    """Prompts heard from other routers come before the engine's size."""
    caches = PromptCacheIndex()
    parts = tuple(CachedPart(number, 10_000) for number in range(40))
    caches.record_use('engine', parts[:10], 0)
    caches.set_capacity('engine', 600_000)
    caches.record_use('engine', parts[10:], 0)
    assert caches.missing_tokens('engine', parts, 1) == 0


def test_a_part_is_news_once_and_again_after_a_while():
    caches = PromptCacheIndex()
    assert caches.record_use('engine', (SYSTEM,), 0)
    assert not caches.record_use('engine', (SYSTEM,), 1)
    assert caches.record_use('engine', (SYSTEM,), 10)


def test_old_parts_are_not_believed():
    caches = PromptCacheIndex()
    caches.record_use('engine', (SYSTEM,), 0)
    assert caches.missing_tokens('engine', (SYSTEM,), 100) == 500


def test_a_restarted_engine_has_nothing():
    caches = PromptCacheIndex()
    caches.record_use('engine', (SYSTEM,), 0)
    caches.remove('engine')
    assert not caches.has_parts('engine')
    assert caches.missing_tokens('engine', (SYSTEM,), 0) == 500


def test_engines_that_are_gone_are_dropped():
    caches = PromptCacheIndex()
    caches.record_use('gone', (SYSTEM,), 0)
    caches.record_use('kept', (SYSTEM,), 0)
    caches.keep_only({'kept'})
    assert list(caches.all_parts()) == ['kept']
