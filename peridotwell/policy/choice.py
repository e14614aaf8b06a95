"""A choice of a target, and the choice for plain services."""

from collections.abc import Sequence
from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.policy.rendezvous import rendezvous_score

__all__ = ('Choice', 'Candidate', 'mean_load', 'choose_least_loaded')


@dataclass(frozen=True)
class Choice:
    """A target with what decided for it.

    `load` and `mean_load` count requests. `missing_tokens` are the prompt's
    tokens that the target does not have cached; `fetched_tokens` are those
    of them that it can copy from the engine `fetch_from`; `tokens_ahead` are
    the tokens of other prompts that the target reads first.
    """

    target: Target
    load: float
    mean_load: float
    missing_tokens: int = 0
    fetched_tokens: int = 0
    tokens_ahead: int = 0
    fetch_from: Target | None = None


@dataclass(frozen=True)
class Candidate:
    """A target that may get a request, and the requests that it holds."""

    target: Target
    load: float


def mean_load(candidates: Sequence[Candidate]) -> float:
    """Return the mean load of some candidates."""
    return sum(each.load for each in candidates) / len(candidates)


def choose_least_loaded(
    candidates: Sequence[Candidate],
    data_centre: str,
    tie: str,
) -> Choice:
    """Return the target with the least load, a near one among equals.

    `tie` decides among equals of the same data centre, so that routers do
    not all choose the same.
    """

    def burden(candidate: Candidate) -> tuple[float, int]:
        target = candidate.target
        distance = target.pool.data_centre != data_centre
        return candidate.load + distance, -rendezvous_score(tie, target.name)

    best = min(candidates, key=burden)
    return Choice(best.target, best.load, mean_load(candidates))
