"""Shares of the routers in the slots of a target."""

from peridotwell.policy.limits.router_shares import RouterRanks, share


def test_shares_of_all_routers_add_up_to_the_whole():
    routers = range(1, 60)
    ranks = []
    for router in routers:
        known = RouterRanks(router)
        known.set_routers(routers)
        ranks.append(known.rank(7))
    assert sorted(ranks) == list(range(59))
    for total in (0, 1, 8, 64):
        assert sum(share(total, 59, rank) for rank in ranks) == total
