"""What holds for the targets of a service of which some are brittle."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from peridotwell.policy.brittle.brittle_notice import BrittleNotice, Terms

__all__ = ('ServiceTerms',)

# A target that has not been heard for this time does not speak for its service
# any more if another one has said since that it is not brittle.
SILENCE_SECONDS = 3.0


@dataclass(frozen=True)
class _Cached:
    at: float
    terms: Terms | None


class ServiceTerms:
    """The strictest terms that targets of a service have named lately."""

    def __init__(self) -> None:
        # By service: when a target last named no number.
        self._sound_at: dict[int, float] = {}
        # By service: its terms at a moment.
        self._cached: dict[int, _Cached] = {}

    def record_sound(self, service: int, sound_at: float) -> None:
        """Record that a target has named no number."""
        known_at = self._sound_at.get(service, sound_at)
        self._sound_at[service] = max(known_at, sound_at)

    def record_change(self, service: int) -> None:
        """Record that a notice of a service has changed."""
        self._cached.pop(service, None)

    def expire(self, services: Collection[int]) -> None:
        """Forget all services but those that have notices."""
        self._sound_at = {
            service: sound_at
            for service, sound_at in self._sound_at.items()
            if service in services
        }
        self._cached.clear()

    def find(
        self, service: int, notices: Iterable[BrittleNotice], now: float
    ) -> Terms | None:
        """Return the terms by the notices of all services, or None."""
        cached = self._cached.get(service)
        if cached is not None and cached.at == now:
            return cached.terms
        heard_from = self._sound_at.get(service, -math.inf) - SILENCE_SECONDS
        terms = _strictest(
            notice
            for notice in notices
            if notice.service == service
            and notice.is_brittle(now)
            and notice.said_at >= heard_from
        )
        self._cached[service] = _Cached(now, terms)
        return terms


def _strictest(notices: Iterable[BrittleNotice]) -> Terms | None:
    named = [notice.terms for notice in notices if notice.terms is not None]
    if not named:
        return None
    return Terms(
        min(terms.max_rejections_per_second for terms in named),
        min((terms.slots for terms in named if terms.slots), default=0),
    )
