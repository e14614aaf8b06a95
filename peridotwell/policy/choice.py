"""The chosen target of a request, and how plain services choose one."""

from collections.abc import Sequence
from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.policy.rendezvous import rendezvous_score

__all__ = ('Choice', 'Candidate', 'mean_load', 'choose_least_loaded')


@dataclass(frozen=True)
class Choice:
    """A chosen target with the figures that decided the choice.

    `load` and `mean_load` count requests. `missing_tokens` are the prompt's
    tokens that the target does not have cached; `fetched_tokens` are those
    of them that it can copy from the engine `fetch_from`; `tokens_ahead` are
    the tokens of other prompts that the target prefills first.
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
    """A target that may be chosen, and the number of requests that it has."""

    target: Target
    load: float


def mean_load(candidates: Sequence[Candidate]) -> float:
    """Return the mean load of the candidates."""
    return sum(each.load for each in candidates) / len(candidates)


def choose_least_loaded(
    candidates: Sequence[Candidate],
    data_centre: str,
    tie_key: str,
) -> Choice:
    """Return the least loaded target; equals in `data_centre` come first.

    A target in another data centre counts as one request more. The hash of
    `tie_key` decides among the targets that are still equal, so that routers
    do not all choose the same one.
    """

    def cost(candidate: Candidate) -> tuple[float, int]:
        target = candidate.target
        remote_penalty = target.pool.data_centre != data_centre
        return candidate.load + remote_penalty, -rendezvous_score(
            tie_key, target.name
        )

    best = min(candidates, key=cost)
    return Choice(best.target, best.load, mean_load(candidates))
