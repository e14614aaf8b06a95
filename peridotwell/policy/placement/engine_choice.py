"""Choice of the engine that runs a prompt.

An engine that has the shared parts of a prompt cached need not prefill them;
copying them from another engine costs a fraction of the prefill. A response
that is late because its engine has many prompts to prefill first is worth
little to the caller. The cost of an engine is therefore the tokens that it
has to prefill, plus a penalty that grows as the expected time to the first
token approaches the objective. Only engines below the load bound are chosen,
unless none is.

Engines whose costs differ by less than one running request are equal, because
the loads are not known more exactly. Routers agree on the engine of a new
prompt, so that one engine caches it; if engines have it, they share its
requests.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from operator import attrgetter

from peridotwell.domain.target import Target
from peridotwell.policy.load.stale_counts import (
    fill_level,
    room_score,
    weighted_fill_level,
    weighted_room,
)
from peridotwell.policy.load.target_paces import NO_PACES, relative_speeds
from peridotwell.policy.placement.choice import Candidate, Choice, mean_load

__all__ = ('EngineCandidate', 'PromptNeeds', 'CacheSource', 'choose_engine')

# Fraction of the distance from the mean load to the load bound that an engine
# may use for cached prompts. The rest is a margin for counts that lag.
BOUND_FRACTION = 0.8
# Requests added to the bound, so that a nearly idle service uses its caches.
BOUND_EXTRA_REQUESTS = 2
# Cost of copying a cached token, as a fraction of the cost of its prefill.
FETCH_COST = 0.17
# Smallest number of tokens worth copying. Prefilling fewer takes less time than
# setting up a copy.
MIN_FETCH_TOKENS = 64
# Number of prefill tokens that cost as much as one more running request.
TOKENS_PER_REQUEST = 100
# Number of prefill tokens that cost as much as a late response.
TOKENS_PER_LATE_RESPONSE = 6000
# Fraction of the objective up to which an expected wait adds no penalty.
SAFE_FRACTION = 0.3
# The properties of an engine that decide its cost.
_cost_state = attrgetter('load', 'missing_tokens', 'tokens_ahead')


class EngineCandidate(Candidate, frozen=True):
    """An engine that may run a prompt.

    `missing_tokens` are the shared tokens that it does not have cached.
    `tokens_ahead` are the tokens of other prompts that it prefills first.
    """

    missing_tokens: int
    tokens_ahead: int


@dataclass(frozen=True)
class CacheSource:
    """The engine that has most of a prompt cached.

    `missing_tokens` are the shared tokens that this engine has not cached.
    """

    target: Target
    missing_tokens: int


@dataclass(frozen=True)
class PromptNeeds:
    """The properties of a prompt that decide which engine suits it.

    `subject` is the key of the prompt for rendezvous hashing, `request_key`
    that of the request. `own_tokens` is the number of tokens that no other
    prompt shares. `objective_seconds` is the objective for the time to the
    first token.
    """

    subject: str
    request_key: str
    own_tokens: int
    objective_seconds: float


def choose_engine(
    needs: PromptNeeds,
    candidates: Sequence[EngineCandidate],
    source: CacheSource | None,
    load_factor: float,
    tokens_per_second: float,
    unseen_requests: float,
    paces: Mapping[str, float] = NO_PACES,
) -> Choice:
    """Return an engine with the lowest cost.

    `source` is None if engines cannot copy from each other. `load_factor` is
    the bound on an engine's load as a multiple of the mean load.
    `unseen_requests` are those that other routers have sent and not reported
    yet. Equal engines are chosen according to their room for more requests.
    `paces` are those of all candidates by name, or empty: slow engines get less
    and are expected to respond later.
    """
    mean = mean_load(candidates)
    speeds = _speeds(candidates, paces)
    level = _level(candidates, speeds, unseen_requests)
    bound = (
        mean * (1 + (load_factor - 1) * BOUND_FRACTION) + BOUND_EXTRA_REQUESTS
    )
    allowed = [each for each in candidates if each.load < bound]
    cost = partial(
        _cost, needs, source=source, speed=tokens_per_second, level=level
    )
    engines = allowed or candidates
    costs = (
        [cost(each, pace=paces[each.target.name]) for each in engines]
        if paces
        else _costs(engines, cost)
    )
    best = _engine_with_room(needs, engines, costs, level, speeds)
    fetched_tokens = _fetched_tokens(best, source)
    return Choice(
        best.target,
        best.load,
        mean,
        best.missing_tokens,
        fetched_tokens,
        best.tokens_ahead,
        source.target if source and fetched_tokens else None,
        level,
    )


def _speeds(
    candidates: Sequence[EngineCandidate], paces: Mapping[str, float]
) -> Mapping[str, float]:
    """Return the relative speeds of engines by name; none without paces."""
    if not paces:
        return paces
    names = [each.target.name for each in candidates]
    return dict(zip(names, relative_speeds(names, paces), strict=True))


def _level(
    candidates: Sequence[EngineCandidate],
    speeds: Mapping[str, float],
    unseen_requests: float,
) -> float:
    """Return the level up to which unseen requests fill engines."""
    loads = [each.load for each in candidates]
    if not speeds:
        return fill_level(loads, unseen_requests)
    return weighted_fill_level(loads, tuple(speeds.values()), unseen_requests)


def _costs(
    engines: Sequence[EngineCandidate], cost: Callable[..., float]
) -> list[float]:
    """Return the cost of each engine.

    Many engines are alike: one cost is computed for all that are.
    """
    states = list(map(_cost_state, engines))
    examples = dict(zip(states, engines, strict=True))
    cost_of = {state: cost(each) for state, each in examples.items()}
    return [cost_of[state] for state in states]


def _engine_with_room(
    needs: PromptNeeds,
    engines: Sequence[EngineCandidate],
    costs: Sequence[float],
    level: float,
    speeds: Mapping[str, float],
) -> EngineCandidate:
    """Return one of the engines whose costs are equal to the lowest cost."""
    max_cost = min(costs) + TOKENS_PER_REQUEST
    equal = [
        each
        for cost, each in zip(costs, engines, strict=True)
        if cost < max_cost
    ]
    is_cached = all(not each.missing_tokens for each in equal)
    key = needs.request_key if is_cached else needs.subject
    if speeds:
        return max(
            equal,
            key=lambda each: room_score(
                key,
                each.target.name,
                weighted_room(level - each.load, speeds[each.target.name]),
            ),
        )
    return max(
        equal,
        key=lambda each: room_score(key, each.target.name, level - each.load),
    )


def _cost(
    needs: PromptNeeds,
    engine: EngineCandidate,
    source: CacheSource | None,
    speed: float,
    level: float,
    pace: float = 1,
) -> float:
    """Return the cost of an engine, in prefill tokens.

    `speed` is the prefill speed of engines in tokens a second, `pace` what this
    one takes as a multiple of their time. An engine below `level` is expected
    to be filled up to it.
    """
    fetched_tokens = _fetched_tokens(engine, source)
    prefill_tokens = engine.missing_tokens - fetched_tokens
    work = prefill_tokens + fetched_tokens * FETCH_COST
    tokens = engine.tokens_ahead + prefill_tokens + needs.own_tokens
    wait_seconds = tokens * pace / speed
    return (
        work
        + max(engine.load, level) * TOKENS_PER_REQUEST
        + _lateness_penalty(wait_seconds, needs.objective_seconds)
        * TOKENS_PER_LATE_RESPONSE
    )


def _lateness_penalty(wait_seconds: float, objective_seconds: float) -> float:
    """Return a penalty, from 0 without a limit, for the wait in seconds."""
    if objective_seconds <= 0:
        return 0
    return max(
        0,
        (wait_seconds / objective_seconds - SAFE_FRACTION)
        / (1 - SAFE_FRACTION),
    )


def _fetched_tokens(engine: EngineCandidate, source: CacheSource | None) -> int:
    """Return the number of missing tokens that are worth copying."""
    if source is None:
        return 0
    fetched_tokens = engine.missing_tokens - source.missing_tokens
    return fetched_tokens if fetched_tokens >= MIN_FETCH_TOKENS else 0
