"""Tests of the regions that requests are restricted to."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.placement.region_restriction import (
    RegionTable,
    combined_regions,
)

EU = frozenset(('eu',))
BOTH = frozenset(('eu', 'us'))
NONE = frozenset()
REGIONS = RegionTable({'north': 'eu', 'south': 'us'})


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        (None, None, None),
        (EU, None, EU),
        (None, EU, EU),
        (BOTH, EU, EU),
        (EU, frozenset(('us',)), NONE),
        (NONE, None, NONE),
    ],
)
def test_both_restrictions_apply(first, second, expected):
    assert combined_regions(first, second) == expected


# Guards against requests at data centres of unknown region.
@pytest.mark.parametrize(
    ('allowed', 'expected'),
    [
        (None, ['north', 'south', 'elsewhere']),
        (EU, ['north']),
        (BOTH, ['north', 'south']),
        (NONE, []),
    ],
)
def test_only_targets_in_allowed_regions_remain(allowed, expected):
    targets = [
        Target(name, 'x', TargetKind.service, Pool(name, 's'))
        for name in ('north', 'south', 'elsewhere')
    ]
    found = REGIONS.within(allowed, targets)
    assert [target.name for target in found] == expected
