"""Tests of the choice of an engine under several kinds of load."""

from dataclasses import replace

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.placement.engine_choice import (
    CacheSource,
    EngineCandidate,
    PromptNeeds,
    choose_engine,
)

SPEED = 80_000.0
FACTOR = 2.0
NEEDS = PromptNeeds('document-7', 'request-1', 500, 0.4)


def engine(name: str) -> Target:
    return Target(name, '10.0.0.1:80', TargetKind.engine, Pool('a', 'model'))


def candidate(name, load=0.0, missing=10_000, ahead=0) -> EngineCandidate:
    return EngineCandidate(engine(name), load, missing, ahead)


def choose(candidates, source=None, needs=NEEDS, unseen=0.0):
    return choose_engine(needs, candidates, source, FACTOR, SPEED, unseen)


def test_an_engine_with_the_prompt_cached_is_preferred():
    candidates = [
        candidate('cold', load=2),
        candidate('warm', load=5, missing=0),
        candidate('other', load=2),
    ]
    assert choose(candidates).target.name == 'warm'


def test_routers_agree_on_the_engine_of_an_uncached_prompt():
    names = [f'engine-{number}' for number in range(6)]
    chosen = {
        choose([candidate(name) for name in order]).target.name
        for order in (names, names[::-1])
    }
    assert len(chosen) == 1


def test_new_documents_spread_over_idle_engines():
    names = [f'engine-{number}' for number in range(6)]
    chosen = [
        choose(
            [candidate(name) for name in names],
            needs=PromptNeeds(f'document-{number}', 'request-1', 500, 0.4),
        ).target.name
        for number in range(600)
    ]
    counts = [chosen.count(name) for name in names]
    assert min(counts) > 60
    assert max(counts) < 150


@pytest.mark.parametrize('load', [0, 1, 5, 20, 100])
def test_a_popular_document_never_exceeds_the_load_bound(load):
    """A surge of requests about one document overloads the engine that has it.

    The bound is twice the mean load of all engines plus three.
    """
    candidates = [candidate(f'engine-{number}', load) for number in range(5)]
    held = load
    while held <= 2 * (5 * load + held) / 6 + 3:
        held += 1
    hot = candidate('hot', load=held, missing=0)
    assert choose([*candidates, hot]).target.name != 'hot'


def test_an_engine_that_would_respond_too_late_is_not_chosen():
    """Many long prompts at once delay the engine that has the cache."""
    late = candidate('warm', load=3, missing=0, ahead=60_000)
    free = candidate('free', load=3, missing=10_000)
    assert choose([late, free]).target.name == 'free'


def test_missing_parts_are_copied_from_the_engine_that_has_them():
    warm = candidate('warm', load=30, missing=0)
    cold = candidate('cold', load=1, missing=10_000)
    source = CacheSource(warm.target, 0)
    choice = choose([warm, cold], source)
    assert choice.target.name == 'cold'
    assert choice.fetch_from == warm.target
    assert choice.fetched_tokens == 10_000


def test_nothing_is_copied_to_the_engine_that_has_it():
    warm = candidate('warm', missing=0)
    choice = choose([warm], CacheSource(warm.target, 0))
    assert choice.fetch_from is None


def test_short_parts_are_prefilled_instead_of_copied():
    cold = candidate('cold', missing=40)
    source = CacheSource(engine('warm'), 0)
    assert choose([cold], source).fetch_from is None


def test_a_leaving_engine_is_a_source_but_gets_no_requests():
    """During a rollout, the old engine leaves while its documents are used."""
    new = candidate('new', missing=9_000)
    leaving = CacheSource(engine('leaving'), 0)
    choice = choose([new], leaving)
    assert choice.target.name == 'new'
    assert choice.fetch_from.name == 'leaving'


def test_a_route_without_an_objective_ignores_the_wait():
    needs = PromptNeeds('document-7', 'request-1', 500, 0)
    late = candidate('warm', load=3, missing=0, ahead=60_000)
    free = candidate('free', load=3, missing=10_000)
    assert choose([late, free], needs=needs).target.name == 'warm'


def test_requests_of_a_cached_prompt_are_shared_by_the_engines_that_have_it():
    """A popular prompt would load one of them alone until counts arrive."""
    names = [f'engine-{number}' for number in range(4)]
    chosen = [
        choose(
            [candidate(name, load=3, missing=0) for name in names],
            needs=replace(NEEDS, request_key=f'request-{number}'),
        ).target.name
        for number in range(400)
    ]
    assert min(chosen.count(name) for name in names) > 60


def test_an_idle_engine_is_not_chosen_by_all_while_others_fill_it():
    """Sixty routers saw the same idle engine and all chose it."""
    candidates = [candidate('idle', load=0)]
    candidates += [candidate(f'engine-{n}', load=4) for n in range(9)]
    chosen = [
        choose(
            candidates,
            needs=replace(NEEDS, subject=f'document-{number}'),
            unseen=16,
        ).target.name
        for number in range(400)
    ]
    # The room of the idle engine is 5.2 of the 16 requests.
    assert 90 < chosen.count('idle') < 180


def test_the_idle_engine_is_chosen_while_nothing_is_on_its_way():
    candidates = [candidate('idle', load=0), candidate('busy', load=4)]
    assert choose(candidates).target.name == 'idle'
