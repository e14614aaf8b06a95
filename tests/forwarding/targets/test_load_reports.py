"""Load reports that cannot be read are counted, and logged once a target."""

from types import SimpleNamespace

import httpcore
from peridotwell_platform.headers import PlatformTargetAdapter

from peridotwell.forwarding.targets import load_reports
from peridotwell.forwarding.targets.load_reports import LoadReports
from peridotwell.metrics import Metrics
from peridotwell.serving.target_response import TargetResponse


# Guards against a log full of one fault, and a fault that nobody sees.
async def test_unread_report_is_counted_and_logged_once(monkeypatch):
    lines = []
    recorded = []
    monkeypatch.setattr(
        load_reports,
        'log_event',
        lambda event, **fields: lines.append((event, fields)),
    )
    metrics = Metrics('', '')
    tracker = SimpleNamespace(
        record_report=lambda target, load, now: recorded.append(load.running)
    )
    reports = LoadReports(PlatformTargetAdapter(), tracker, metrics)
    for name, text in (
        ('i-1', '1,0,8,100,9'),
        ('i-1', '2,0,8,x'),
        ('i-2', '3,0'),
        ('i-2', '4,0,8'),
    ):
        headers = [(b'x-replica-load', text.encode())]
        response = TargetResponse(httpcore.Response(200, headers=headers))
        reports.record(SimpleNamespace(name=name), response)
    assert recorded == [1, 2, 4]
    assert metrics.counters['load.unreadable'] == 3
    assert lines == [
        ('load.unreadable', {'target': 'i-1', 'report': '1,0,8,100,9'}),
        ('load.unreadable', {'target': 'i-2', 'report': '3,0'}),
    ]
