"""Which engine runs a prompt.

An engine that has the shared parts cached saves reading them again; copying
them from another engine costs a part of that. But an answer that comes late
because its engine has many prompts to read first is worth little to the
caller. So each engine's cost is what it has to read, plus a penalty that
grows as the expected first token nears the objective, within the bound on
its load.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.policy.choice import Candidate, Choice, mean_load
from peridotwell.policy.rendezvous import rendezvous_score

__all__ = ('EngineCandidate', 'PromptNeeds', 'CacheSource', 'choose_engine')

# Of the load bound's distance from the mean, the part that cached prompts may
# use; the rest is for counts that lag.
BOUND_SHARE = 0.8
# Added to the bound, so that a nearly idle service keeps its caches.
BOUND_EXTRA = 2
# Copying a cached token costs this part of reading it again.
FETCH_COST = 0.17
# Shorter parts are read before a copy is set up.
LEAST_FETCH_TOKENS = 64
# Tokens that weigh as much as one more running request.
TOKENS_A_REQUEST = 100
# Tokens that weigh as much as an answer that is late.
TOKENS_A_LATE_ANSWER = 6000
# Of the objective, the part up to which an answer is never expected late.
SAFE_PART = 0.3


@dataclass(frozen=True)
class EngineCandidate(Candidate):
    """An engine that may run a prompt.

    `missing_tokens` are the shared tokens that it does not have cached.
    `tokens_ahead` are the tokens of other prompts that it has yet to read.
    """

    missing_tokens: int
    tokens_ahead: int


@dataclass(frozen=True)
class CacheSource:
    """The engine that has most of a prompt cached.

    `missing_tokens` are the shared tokens that even it does not have.
    """

    target: Target
    missing_tokens: int


@dataclass(frozen=True)
class PromptNeeds:
    """What a prompt asks of an engine.

    `own_tokens` are shared with no other prompt. `objective_seconds` is the
    time to the first token that the caller should see.
    """

    subject: str
    own_tokens: int
    objective_seconds: float


def choose_engine(
    needs: PromptNeeds,
    candidates: Sequence[EngineCandidate],
    source: CacheSource | None,
    factor: float,
    tokens_per_second: float,
) -> Choice:
    """Return the engine with the least cost.

    `source` is None where engines cannot copy from each other. `factor` is
    the bound on an engine's load as a multiple of the mean. Among equals, the
    subject's order of preference decides.
    """
    mean = mean_load(candidates)
    bound = mean * (1 + (factor - 1) * BOUND_SHARE) + BOUND_EXTRA
    allowed = [each for each in candidates if each.load < bound]
    best = min(
        allowed or candidates,
        key=lambda each: (
            _cost(needs, each, source, tokens_per_second),
            -rendezvous_score(needs.subject, each.target.name),
        ),
    )
    fetched = _fetched(best, source)
    return Choice(
        best.target,
        best.load,
        mean,
        best.missing_tokens,
        fetched,
        best.tokens_ahead,
        source.target if source and fetched else None,
    )


def _cost(
    needs: PromptNeeds,
    engine: EngineCandidate,
    source: CacheSource | None,
    tokens_per_second: float,
) -> float:
    """Return the cost of an engine, in tokens read."""
    fetched = _fetched(engine, source)
    read = engine.missing_tokens - fetched
    work = read + fetched * FETCH_COST
    wait = (engine.tokens_ahead + read + needs.own_tokens) / tokens_per_second
    return (
        work
        + engine.load * TOKENS_A_REQUEST
        + _lateness(wait, needs.objective_seconds) * TOKENS_A_LATE_ANSWER
    )


def _lateness(wait: float, objective: float) -> float:
    """Return how likely an answer is late, growing from zero; not bounded."""
    if objective <= 0:
        return 0
    return max(0, (wait / objective - SAFE_PART) / (1 - SAFE_PART))


def _fetched(engine: EngineCandidate, source: CacheSource | None) -> int:
    """Return the tokens worth copying, of those that are missing."""
    if source is None:
        return 0
    fetched = engine.missing_tokens - source.missing_tokens
    return fetched if fetched >= LEAST_FETCH_TOKENS else 0
