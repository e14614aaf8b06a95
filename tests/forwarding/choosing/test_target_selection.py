"""The figures of many targets are those of each one."""

import random
from dataclasses import replace

import pytest

from peridotwell.domain.prompt import Prompt, PromptPart
from peridotwell.forwarding.adapters import ReportedLoad
from peridotwell.policy.placement.engine_choice import (
    CacheSource,
    EngineCandidate,
    PromptNeeds,
    choose_engine,
)
from peridotwell.policy.placement.prompt_cache_index import cacheable_parts
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot
from tests.fleet.replica.test_evacuations import evacuate
from tests.fleet.replica.test_service_directory import apply_changes
from tests.forwarding.choosing.test_engine_room import LONG_ROUTE
from tests.forwarding.simulated_targets import (
    ENGINES,
    LOAD_FACTOR,
    PlacingRouter,
)
from tests.forwarding.targets.test_crash_tracker import make_request

ENGINE_COUNT = 24
OTHER_ROUTERS = 5
REQUESTS = 150
NOW = 10.0


@pytest.fixture
def router():
    keys = [f't/{ENGINES}/e{number}' for number in range(ENGINE_COUNT)]
    entries = [Entry('table', b'1', 1)]
    entries.extend(
        Entry(key, b'a', number) for number, key in enumerate(keys, 2)
    )
    snapshot = Snapshot(tuple(entries), len(entries))
    return PlacingRouter('r', {}, 'a', snapshot)


def change_anything(router, rng):
    """Change counts, reports and failures of some engines."""
    targets = router.directory.all_targets()
    for _ in range(8):
        target = rng.choice(targets)
        other = rng.randrange(OTHER_ROUTERS)
        router.knowledge.peer_requests.update(
            other, {target.wire_id: rng.randrange(3)}
        )
        router.knowledge.peer_prefill_tokens.update(
            other, {target.wire_id: rng.choice((0, 500, 4000))}
        )
    reported = ReportedLoad(rng.randrange(9), 0, 16)
    router.tracker.record_report(rng.choice(targets), reported, NOW)
    router.tracker.ejection.record_failure(rng.choice(targets).name, NOW)
    router.tracker.ejection.record_success(rng.choice(targets).name)


def random_request(rng, number):
    parts = (
        PromptPart(f'system{rng.randrange(2)}', 512),
        PromptPart(f'document{rng.randrange(12)}', 3000),
        PromptPart('own', 300),
    )
    return replace(
        make_request(),
        request_id=f'q{number}',
        service=ENGINES,
        route=LONG_ROUTE,
        prompt=Prompt('m', parts),
    )


def separately_chosen(router, request):
    """Return the choice from figures that are computed engine by engine."""
    tracker = router.tracker
    caches = router.knowledge.cache_index
    parts = cacheable_parts(request.prompt)
    usable = tracker.ejection.usable_targets(
        router.directory.available_targets(ENGINES), NOW
    )
    candidates = [
        EngineCandidate(
            target,
            tracker.load(target, NOW),
            caches.missing_tokens(target.name, parts, NOW),
            router.knowledge.peer_prefill_tokens.outstanding(target.wire_id)
            + router.sharing.own_prefill_tokens.count(target.wire_id),
        )
        for target in usable
    ]
    shared = sum(part.tokens for part in parts)
    sources = [
        CacheSource(target, missing)
        for target in router.directory.all_targets()
        if (missing := caches.missing_tokens(target.name, parts, NOW)) < shared
        and not tracker.is_ejected_or_silent(target, NOW)
    ]
    return choose_engine(
        PromptNeeds(
            request.prompt.placement_key,
            request.request_id,
            request.prompt.own_tokens,
            request.route.objective_seconds,
        ),
        candidates,
        min(sources, key=lambda each: each.missing_tokens, default=None),
        LOAD_FACTOR,
        tracker.times.prefill_speed(ENGINES).tokens_per_second,
        tracker.unseen_requests(
            ENGINES, sum(each.load for each in candidates), NOW
        ),
    )


# Guards against another choice because the figures are computed together.
@pytest.mark.parametrize('seed', range(5))
def test_choice_is_that_of_figures_of_each_engine(router, seed):
    rng = random.Random(seed)
    fetched = 0
    for number in range(REQUESTS):
        change_anything(router, rng)
        request = random_request(rng, number)
        # A later attempt is not bound by the room of the engines.
        choice = router.selector.choose(request, ('gone',), NOW)
        assert choice == separately_chosen(router, request)
        router.tracker.record_start(request, choice, NOW)
        fetched += bool(choice.fetched_tokens)
    assert fetched


# Guards against copies of cached tokens from a data centre that is evacuated,
# or outside the regions of the request.
def test_engines_of_closed_data_centres_are_no_cache_source(router):
    far = Entry(f't/{ENGINES}/far', b'b', 90)
    apply_changes(router.directory, far, revision=90)
    engines = router.selector._engines
    source = engines._cache_source(ENGINES, {'far': 0}, NOW)
    assert source.target.name == 'far'
    allowed = frozenset(('eu',))
    assert engines._cache_source(ENGINES, {'far': 0}, NOW, allowed) is None
    evacuate(router.directory, 91, data_centre='b')
    assert engines._cache_source(ENGINES, {'far': 0}, NOW) is None
