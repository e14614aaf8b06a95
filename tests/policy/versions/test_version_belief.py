"""On what a stream goes on, without a network."""

import math
from dataclasses import replace

import pytest

from peridotwell.policy.versions.stream_versions import Provenance
from peridotwell.policy.versions.version_belief import (
    Basis,
    KnownVersions,
    VersionBelief,
    decide,
)

TAKEN_UP_AT = 10.0
NOTHING_SHOWN = KnownVersions(
    stream=None,
    only=1,
    told_until=-math.inf,
    answered_until=-math.inf,
    is_confirmed=True,
)


# Guards against streams of two versions at a router that takes silence for
# news: only what was heard after the stream was taken up shows one version.
@pytest.mark.parametrize(
    ('changes', 'basis'),
    [
        ({}, Basis.not_current),
        ({'answered_until': 9.99}, Basis.not_current),
        ({'told_until': 9.99}, Basis.not_current),
        ({'answered_until': 10.0}, Basis.one_version),
        ({'told_until': 10.0}, Basis.one_version),
        (
            {'answered_until': 10.0, 'is_confirmed': False},
            Basis.not_confirmed,
        ),
        ({'told_until': 10.0, 'is_confirmed': False}, Basis.one_version),
        (
            {'answered_until': 10.0, 'told_until': 10.0, 'only': None},
            Basis.several_versions,
        ),
        ({'stream': 2, 'only': None}, Basis.stream),
    ],
)
def test_a_stream_goes_on_by_what_was_shown_later(changes, basis):
    known = replace(NOTHING_SHOWN, **changes)
    assert decide(known, TAKEN_UP_AT) is basis


def test_the_latest_evidence_of_a_service_counts():
    belief = VersionBelief()
    assert belief.told_until('s') == -math.inf
    for at in (3, 5, 4, math.nan):
        belief.record('s', Provenance('r1', at))
    assert belief.told_until('s') == 5
    assert belief.told_until('other') == -math.inf
