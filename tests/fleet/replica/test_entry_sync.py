"""A router that lags behind asks others for the entries that it lacks."""

import pytest

from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from tests.fleet.relays.test_update_exchange import Router, run_ticks

CHANGED_AT = 1.0
# When all have told that they know the change.
TOLD_AT = CHANGED_AT + 0.3
# From the change on: the router waits before it asks, and asks twice.
MAX_SECONDS = 1.5
NEWER = Changes((Entry('table', b'2', 9),), (), 9)


# Guards against a router that goes by an older configuration for seconds,
# because it asks one peer again and again, which stands still.
@pytest.mark.parametrize('frozen', ['b', 'c'])
def test_another_peer_is_asked_if_one_does_not_answer(frozen):
    fleet = make_fleet()
    running = [each for each in fleet if each.hello.name != frozen]
    run_ticks(running, TOLD_AT, CHANGED_AT + MAX_SECONDS)
    assert fleet[0].directory.table.version == 2


@pytest.mark.parametrize('unreachable', ['b', 'c'])
def test_another_peer_is_asked_if_one_cannot_be_reached(unreachable):
    fleet = make_fleet()
    fleet[0].transport.cut_from = frozenset((unreachable,))
    run_ticks(fleet, TOLD_AT, CHANGED_AT + MAX_SECONDS)
    assert fleet[0].directory.table.version == 2


def make_fleet():
    """Return three routers, of which two have told that they know a change."""
    routers = {}
    fleet = [Router(name, routers) for name in 'abc']
    for router in fleet:
        router.sharing.discovery.add_peers(each.hello for each in fleet)
    run_ticks(fleet, 0, CHANGED_AT)
    for router in fleet[1:]:
        router.directory.apply_changes(NEWER, CHANGED_AT)
    run_ticks(fleet, CHANGED_AT, TOLD_AT)
    assert fleet[0].directory.table.version == 1
    return fleet
