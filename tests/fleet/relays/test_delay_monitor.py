"""Tests of the log line about late state."""

import pytest

from peridotwell.fleet.relays import delay_monitor
from peridotwell.fleet.relays.delay_monitor import DelayMonitor
from peridotwell.metrics import Metrics
from peridotwell.policy.updates.update_delay import UpdateDelay
from tests.fleet.relays.test_update_exchange import InMemoryTransport


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        delay_monitor,
        'log_failure',
        lambda event, **fields: found.append((event, fields)),
    )
    return found


@pytest.fixture
def metrics():
    return Metrics('', '')


@pytest.fixture
def monitor(metrics):
    return DelayMonitor(InMemoryTransport('r', {}), UpdateDelay(), metrics)


def test_a_late_event_loop_is_reported_once_a_second(monitor, lines):
    monitor.record_loop_delay(0.4)
    monitor.tick(1)
    monitor.record_loop_delay(0.3)
    monitor.tick(1.5)
    assert [fields['loop_delay_seconds'] for _, fields in lines] == [0.4]
    monitor.tick(2.1)
    assert [fields['loop_delay_seconds'] for _, fields in lines] == [0.4, 0.3]


def test_late_updates_are_reported_although_the_event_loop_is_on_time(lines):
    delay = UpdateDelay()
    delay.record_sent(1, 0)
    monitor = DelayMonitor(InMemoryTransport('r', {}), delay, Metrics('', ''))
    monitor.tick(3)
    (event, fields), *rest = lines
    assert (event, fields['update_delay_seconds']) == ('state.delayed', 3)
    assert not rest


def test_nothing_is_reported_while_all_is_on_time(monitor, lines):
    monitor.record_loop_delay(0.05)
    monitor.tick(1)
    assert not lines


def test_totals_of_the_transport_are_counted(metrics):
    transport = InMemoryTransport('r', {})
    monitor = DelayMonitor(transport, UpdateDelay(), metrics)
    transport.sent_bytes = 700
    monitor.tick(1)
    transport.sent_bytes = 900
    monitor.tick(2)
    assert metrics.counters['peer.sent_bytes'] == 900


def test_messages_that_fill_half_of_the_link_are_reported_by_kind(lines):
    transport = InMemoryTransport('r', {})
    monitor = DelayMonitor(transport, UpdateDelay(), Metrics('', ''), 1000)
    monitor.tick(1)
    transport.sent_bytes_by_kind['CachesPush'] += 700
    monitor.tick(2.1)
    assert lines == [('peer.link_busy', {'CachesPush_bytes': 700})]
    transport.sent_bytes_by_kind['CachesPush'] += 400
    monitor.tick(3.2)
    assert len(lines) == 1
