"""Tests of targets that have too many requests beside unreachable ones."""

import pytest

from peridotwell.forwarding.handover.crowded_paths import CrowdedPaths
from peridotwell.policy.placement.choice import Choice
from tests.forwarding.targets.test_crash_tracker import target

REACHED, LOST, ANOTHER = (target(f't{n}', f'10.0.0.{n}:80') for n in range(3))


class Ejection:
    """Knows which targets cannot be reached."""

    def __init__(self, *names):
        self._names = frozenset(names)

    def unreachable_targets(self):
        return self._names


class Tracker:
    """Knows the numbers of requests of targets that all take work."""

    def __init__(self, loads, *unreachable):
        self.ejection = Ejection(*unreachable)
        self.directory = self
        self._loads = loads

    def available_targets(self, service):
        return tuple(self._loads)

    def accepts(self, each, now):
        return True

    def load(self, each, now):
        return self._loads[each]


def names_with_room(loads, *unreachable):
    paths = CrowdedPaths(Tracker(loads, *unreachable))
    choice = Choice(REACHED, loads[REACHED], loads[REACHED])
    return [each.name for each in paths.targets_with_room(choice, 0)]


def test_unreachable_targets_with_few_requests_have_room():
    loads = {REACHED: 40, LOST: 4, ANOTHER: 30}
    assert names_with_room(loads, 't1', 't2') == ['t1']


@pytest.mark.parametrize('load', [3, 10])
def test_an_even_load_needs_no_other_router(load):
    loads = {REACHED: load, LOST: load - 2, ANOTHER: load}
    assert names_with_room(loads, 't1') == []


def test_nothing_is_compared_while_all_targets_are_reachable():
    assert names_with_room({REACHED: 40, LOST: 4, ANOTHER: 4}) == []
