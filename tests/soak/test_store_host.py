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


# Guards against a restore that no soak could tell from none: all was written
# again at once, and the store was soon past what it had given out (issue 87).
async def test_only_what_a_restored_store_lost_is_written_again(nursery):
    host = StoreHost(nursery, [], {})
    await host.start({}, asdict(Site(beat_seconds=0)))
    entries = {
        name: {'service': 'svc', 'state': 'ready', 'born': 1}
        for name in ('t0', 't1', 't2')
    }
    for name, entry in entries.items():
        host.publish_target(name, 1, entry)
    host.configure(1)
    host.copy(0)
    copied = host._store.revision
    for _ in range(5):
        host.publish_target('t0', 1, {**entries['t0'], 'state': 'draining'})
    host.publish_target('t2', 1, {**entries['t2'], 'state': 'gone'})
    told, items = host._store.revision, dict(host._store.items)
    host.restore(0)
    host.write_lost()
    assert host._store.revision == copied + 2 < told
    values = {key: item['value'] for key, item in host._store.items.items()}
    assert values == {key: item['value'] for key, item in items.items()}
