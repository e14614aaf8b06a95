"""The chosen target of a request, and how plain services choose one."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from peridotwell.domain.target import Target
from peridotwell.policy.load.stale_counts import (
    fill_level,
    room_score,
    weighted_fill_level,
    weighted_room,
)
from peridotwell.policy.load.target_paces import NO_PACES, relative_speeds

__all__ = (
    'Choice',
    'Candidate',
    'choose_least_loaded',
    'mean_load',
    'total_load',
)


@dataclass(frozen=True)
class Choice:
    """A chosen target with the figures that decided the choice.

    `load` and `mean_load` count requests; `level` is the load up to which
    requests that are not reported yet may have filled the targets.
    `missing_tokens` are the prompt's
    tokens that the target does not have cached; `fetched_tokens` are those
    of them that it can copy from the engine `fetch_from`; `tokens_ahead` are
    the tokens of other prompts that the target prefills first. With
    `is_handover`, the target is another router, which chooses a target itself.
    """

    target: Target
    load: float
    mean_load: float
    missing_tokens: int = 0
    fetched_tokens: int = 0
    tokens_ahead: int = 0
    fetch_from: Target | None = None
    level: float = 0
    is_handover: bool = False


class Candidate(msgspec.Struct, frozen=True):
    """A target that may be chosen, and the number of requests that it has.

    It is a struct because each choice makes one for each target.
    """

    target: Target
    load: float


def total_load(candidates: Sequence[Candidate]) -> float:
    """Return the load of the candidates together."""
    return sum([each.load for each in candidates])


def mean_load(candidates: Sequence[Candidate]) -> float:
    """Return the mean load of the candidates."""
    return total_load(candidates) / len(candidates)


def choose_least_loaded(
    candidates: Sequence[Candidate],
    data_centre: str,
    request_key: str,
    unseen_requests: float,
    paces: Mapping[str, float] = NO_PACES,
) -> Choice:
    """Return a target with room for a request, mostly the least loaded one.

    A target in another data centre counts as one request more.
    `unseen_requests` are those that other routers have sent and not reported
    yet; the hash of `request_key` decides among the targets that they may
    have filled. `paces` are those of all candidates by name, or empty: slow
    targets get less.
    """
    costs = [
        each.load + (each.target.pool.data_centre != data_centre)
        for each in candidates
    ]
    if paces:
        return _choose_at_paces(
            candidates, costs, request_key, unseen_requests, paces
        )
    level = fill_level(costs, unseen_requests)
    best, _ = max(
        zip(candidates, costs, strict=True),
        key=lambda pair: room_score(
            request_key, pair[0].target.name, level - pair[1]
        ),
    )
    return Choice(best.target, best.load, mean_load(candidates), level=level)


def _choose_at_paces(
    candidates: Sequence[Candidate],
    costs: Sequence[float],
    request_key: str,
    unseen_requests: float,
    paces: Mapping[str, float],
) -> Choice:
    """Return a target with room; each has it in proportion to its speed."""
    names = [each.target.name for each in candidates]
    speeds = relative_speeds(names, paces)
    level = weighted_fill_level(costs, speeds, unseen_requests)
    scores = [
        room_score(request_key, name, weighted_room(level - cost, speed))
        for name, cost, speed in zip(names, costs, speeds, strict=True)
    ]
    best = candidates[scores.index(max(scores))]
    return Choice(best.target, best.load, mean_load(candidates), level=level)
