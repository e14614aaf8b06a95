"""Sound streams without a mark of their end, at a router process."""

import random

import pytest

from tests.processes.mixed_streams import Mix, MixedTarget, play

TARGETS = 4
SEED = 84


def mixed(*unmarked):
    """Return targets of which each sends a share of streams without a mark."""
    draws = random.Random(SEED)
    return [
        MixedTarget(Mix(share), random.Random(draws.random()))
        for share in unmarked
    ]


# Guards against whole streams that a router cuts since their ends, unlike those
# of other streams, have no mark: beside its planned stop, which makes it LOST,
# and while all targets are silent for a time.
@pytest.mark.parametrize('has_pause', [False, True])
@pytest.mark.parametrize(
    'unmarked', [(0.1,) * TARGETS, (0.5,) * TARGETS, (1, 0, 0, 0)]
)
@pytest.mark.parametrize('route', ['draft', 'ask'])
async def test_sound_streams_without_a_mark_are_whole(
    nursery, tmp_path, route, unmarked, has_pause
):
    targets = mixed(*unmarked)
    counts = await play(nursery, tmp_path, targets, route, has_pause=has_pause)
    assert not counts['sound, cut']
    assert not counts['looks whole']
    assert counts['whole'] > 0
