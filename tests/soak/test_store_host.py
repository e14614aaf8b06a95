"""The store of the soak has reports of targets that run, and of no others."""

from dataclasses import asdict

import trio

from tests.soak.site import Site
from tests.soak.store_host import StoreHost

BEAT_SECONDS = 0.02


# Guards against a target that stands still and reports all the while, which no
# target does: its router takes it to be alive (issue 68).
async def test_a_target_that_stands_still_reports_nothing(nursery):
    host = StoreHost(nursery, [], {})
    entries = {
        name: {'service': 'svc', 'state': 'ready', 'born': 1}
        for name in ('t0', 't1')
    }
    for name, entry in entries.items():
        host.publish_target(name, 1, entry)
    host.stop_reports('t0')
    await host.start({}, asdict(Site(beat_seconds=BEAT_SECONDS)))
    with trio.fail_after(2):
        while entries['t1']['seq'] < 3:
            await trio.sleep(BEAT_SECONDS)
    assert entries['t0']['seq'] == 0
    host.resume_reports('t0')
    with trio.fail_after(2):
        while entries['t0']['seq'] < 3:
            await trio.sleep(BEAT_SECONDS)
