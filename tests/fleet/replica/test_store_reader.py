"""Tests of what counts as evidence for what the store holds."""

import pytest
import trio

from peridotwell.errors import StoreResponseLost
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import EvidenceSource
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import Changes, Snapshot, told_changes
from tests.fleet.replica.test_service_directory import (
    Decoder,
    ScriptedFeed,
    entry,
)

KNOWN = 8


@pytest.fixture
def directory():
    """Return a directory of revision 8, known from the store and a peer."""
    loaded = ServiceDirectory(Decoder())
    listed = (entry('table', b'1', 1), entry('t/x', b'ready', 2))
    loaded.apply_snapshot(Snapshot(listed, 5), 0)
    loaded.replica.history.record(told_changes(Snapshot(listed, 5)))
    shared = SharedEntry('table', KNOWN, b'2')
    loaded.apply_peer_changes((shared,), KNOWN, 0)
    return loaded


async def read(directory, answer):
    reader = StoreReader(ScriptedFeed(answer), directory, Metrics('', ''))
    if isinstance(answer, Snapshot):
        return await reader.read_snapshot()
    after = directory.feed_revision
    return await reader.read_changes(after, 0, EvidenceSource.watch)


OLDER = KNOWN - 1
STALE = (
    Changes((), (), 5),
    Changes((entry('t/x', b'leaving', OLDER),), (), OLDER),
    Snapshot((entry('table', b'1', 1),), OLDER),
)


# Guards against a young belief by which a route is refused that an acknowledged
# version has: the answer showed the store as it was before what is known.
@pytest.mark.parametrize('answer', STALE)
async def test_an_answer_older_than_what_was_known_is_no_evidence(
    autojump_clock, directory, answer
):
    await trio.sleep(1)
    with pytest.raises(StoreResponseLost):
        await read(directory, answer)
    assert directory.belief.evidence is None
    assert directory.belief.is_away()
    assert directory.known_revision == KNOWN


# Guards against stale answers that tell nobody whether the store was restored
# or only lags behind.
@pytest.mark.parametrize(
    ('changes', 'told'),
    [
        (Changes((entry('t/x', b'ready', 2),), (), 5), 'same'),
        (Changes((entry('t/x', b'leaving', 2),), (), 5), 'other'),
        (Changes((), (('t/x', 6),), OLDER), 'unknown'),
    ],
)
async def test_the_log_tells_what_a_stale_answer_repeats(
    directory, caplog, changes, told
):
    with pytest.raises(StoreResponseLost):
        await read(directory, changes)
    logged = {each.msg['event']: each.msg for each in caplog.records}
    stale = logged['store.stale_answer']
    assert (stale['told'], stale['era']) == (told, 0)
    assert ('store.contradiction' in logged) == (told == 'other')


async def test_the_entries_of_such_an_answer_are_applied(directory):
    with pytest.raises(StoreResponseLost):
        await read(directory, STALE[1])
    assert not directory.available_names


async def test_a_read_of_one_entry_shows_how_old_an_answer_may_be(directory):
    directory.belief.record_read(KNOWN + 2)
    with pytest.raises(StoreResponseLost):
        await read(directory, Changes((), (), KNOWN + 1))
    await read(directory, Changes((), (), KNOWN + 2))
    assert directory.belief.evidence.revision == KNOWN + 2


class _ProceedingFeed(ScriptedFeed):
    """Another call tells a later revision while this one waits."""

    def __init__(self, directory, *results) -> None:
        super().__init__(*results)
        self._directory = directory

    async def wait_for_changes(self, after, wait_seconds):
        self._directory.apply_changes(Changes((), (), KNOWN + 3), 0)
        return await super().wait_for_changes(after, wait_seconds)


async def test_what_became_known_while_a_call_waited_does_not_count(directory):
    feed = _ProceedingFeed(directory, Changes((), (), KNOWN))
    reader = StoreReader(feed, directory, Metrics('', ''))
    await reader.read_changes(KNOWN, 0, EvidenceSource.watch)
    assert directory.belief.evidence.revision == KNOWN


# Guards against a version that is never looked for: a call beside the watch,
# after changes that only a peer has told, let the watch begin after them.
async def test_changes_that_only_a_peer_has_told_are_asked_for(directory):
    reader = StoreReader(
        ScriptedFeed(Changes((), (), KNOWN + 1)), directory, Metrics('', '')
    )
    followed = directory.feed_revision
    await reader.read_changes(KNOWN, 0, EvidenceSource.check)
    assert directory.known_revision == KNOWN + 1
    assert directory.feed_revision == followed
