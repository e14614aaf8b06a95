"""Whether all software versions that may have begun a stream are known.

A stream whose version is unknown may go on only if its service has had one
version, and that is known only up to some moment: that at which the store, or
all other routers, were asked. What has not been heard since shows nothing: a
target may have registered meanwhile and begun the stream milliseconds later. So
the belief must hold up to the moment at which the caller took the stream up.
"""

import math
from dataclasses import dataclass
from enum import Enum

from peridotwell.policy.versions.stream_versions import Provenance

__all__ = ('Basis', 'KnownVersions', 'VersionBelief', 'decide')


class Basis(Enum):
    """On what a stream goes on, or why it does not."""

    # The version that began it is known.
    stream = 'stream'
    # It is not, but only one version has served up to now.
    one_version = 'one_version'
    several_versions = 'several_versions'
    # This router does not know which versions have served lately.
    not_confirmed = 'not_confirmed'
    # Nor whether another one serves now.
    not_current = 'not_current'
    # It began here, at a target that may have started again unheard.
    unproven = 'unproven'

    @property
    def goes_on(self) -> bool:
        """Whether a stream may go on."""
        return self in {Basis.stream, Basis.one_version}


@dataclass(frozen=True)
class KnownVersions:
    """What a router knows when a caller takes up a stream.

    `stream` is the version that began it, or None. `only` is the only version
    of its service that has served lately; None if there are several, or none.
    Other routers show that up to `told_until`. The store does so up to
    `answered_until`, but only what is new: `is_confirmed` tells whether the
    versions before are known.
    """

    stream: int | None
    only: int | None
    told_until: float
    answered_until: float
    is_confirmed: bool


def decide(known: KnownVersions, taken_up_at: float) -> Basis:
    """Return whether a stream goes on that was taken up at a time."""
    if known.stream is not None:
        return Basis.stream
    if known.only is None:
        return Basis.several_versions
    if known.told_until >= taken_up_at:
        return Basis.one_version
    if not known.is_confirmed:
        return Basis.not_confirmed
    if known.answered_until < taken_up_at:
        return Basis.not_current
    return Basis.one_version


class VersionBelief:
    """Up to when other routers show that a service has had one version."""

    def __init__(self) -> None:
        self._evidence: dict[str, Provenance] = {}

    def record(self, service: str, evidence: Provenance) -> None:
        """Record what held at the time of the evidence."""
        if evidence.learned_at > self.told_until(service):
            self._evidence[service] = evidence

    def told_until(self, service: str) -> float:
        """Return up to when it is shown, by this router's clock."""
        evidence = self._evidence.get(service)
        return evidence.learned_at if evidence else -math.inf

    def evidence(self, service: str) -> Provenance | None:
        """Return what shows it, or None."""
        return self._evidence.get(service)
