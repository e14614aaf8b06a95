"""Tests of the log of regions that no data centre has."""

import logging
from dataclasses import replace

from peridotwell.domain.routing_table import Customer, RoutingTable
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.lifecycle.unknown_regions import UnknownRegions
from peridotwell.metrics import Metrics
from peridotwell.policy.placement.region_restriction import RegionTable
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot
from tests.fleet.replica.test_service_directory import Decoder
from tests.forwarding.targets.test_crash_tracker import ROUTE


class RestrictingDecoder(Decoder):
    """Decodes tables with a restricted route and customer."""

    def decode_table(self, content, revision):
        route = replace(ROUTE, allowed_regions=frozenset(('eu', 'atlantis')))
        customer = Customer('c', None, frozenset(('lemuria',)))
        return RoutingTable(
            int(content), revision, (route,), customers={'k': customer}
        )


# Guards against a line for each change of the configuration.
def test_each_unknown_region_is_logged_once(caplog):
    caplog.set_level(logging.WARNING, 'peridotwell')
    directory = ServiceDirectory(RestrictingDecoder())
    metrics = Metrics('', '')
    UnknownRegions(directory, RegionTable({'north': 'eu'}), metrics)
    for version in (1, 2):
        table = Entry('table', b'%d' % version, version)
        directory.apply_snapshot(Snapshot((table,), version), 0)
    lines = [record.msg for record in caplog.records]
    assert [
        line['region'] for line in lines if line['event'] == 'region.unknown'
    ] == ['atlantis', 'lemuria']
    assert metrics.counters['region.unknown'] == 2
