import uuid

import msgspec
import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotwell.domain.configuration import (
    Change,
    Configuration,
    Override,
    Scope,
)
from peridotwell.errors import ChangeRefused, StoreError, StoreResponseLost
from peridotwell.store.configuration import (
    CONFIGURATION_KEY,
    ConfigurationStore,
)
from standins.memory_store import MemoryStore
from tests.store.fakes import Fault, FaultyStore


def make_change(based_on=0, change_id='', **parts):
    return Change(
        change_id=change_id or uuid.uuid4().hex,
        reason='because',
        based_on=based_on,
        **parts,
    )


def make_configuration_store(memory, *script):
    return ConfigurationStore(FaultyStore(memory, list(script)))


async def test_accepted_change_is_stored_with_its_history():
    memory = MemoryStore()
    configuration_store = make_configuration_store(memory)
    change = make_change(set_defaults={'load_bound': 1.5})
    accepted = await configuration_store.write_change(change, 7)
    assert accepted.version == 1
    other = make_configuration_store(memory)
    assert await other.refresh()
    assert other.current.defaults.load_bound == 1.5
    assert other.current.history[0].change_id == change.change_id


@pytest.mark.parametrize(
    ('parts', 'expected_message'),
    [
        ({'set_defaults': {'load_bound': 0.5}}, 'choose another value'),
        ({'set_defaults': {'load_bund': 1.5}}, 'no default named load_bund'),
        ({'remove_overrides': ('x',)}, 'no exception named x'),
        ({'based_on': 4}, 'look at it and try again'),
    ],
)
async def test_refused_changes_state_the_remedy(parts, expected_message):
    memory = MemoryStore()
    with pytest.raises(ChangeRefused, match=expected_message):
        await make_configuration_store(memory).write_change(
            make_change(**parts), 0
        )
    assert memory.read(CONFIGURATION_KEY, 0) is None


async def test_exception_out_of_range_is_refused():
    override = Override('x', Scope.customer, 'kk', 'crash_limit', 99, 'reason')
    with pytest.raises(ChangeRefused, match='crash_limit'):
        await make_configuration_store(MemoryStore()).write_change(
            make_change(add_overrides=(override,)), 0
        )


def test_change_without_a_reason_cannot_be_decoded():
    with pytest.raises(msgspec.ValidationError, match='reason'):
        msgspec.json.decode(
            b'{"change_id":"a","reason":"","based_on":0}', type=Change
        )


async def test_second_of_two_concurrent_changes_is_refused():
    memory = MemoryStore()
    one, other = (
        make_configuration_store(memory),
        make_configuration_store(memory),
    )
    stale = FaultyStore(memory)
    stale.take_snapshot()
    await one.write_change(make_change(set_defaults={'load_bound': 1.5}), 0)
    stale_configuration = ConfigurationStore(stale)
    stale.script = [Fault.stale]
    with pytest.raises(ChangeRefused, match='Another change came first'):
        await stale_configuration.write_change(
            make_change(set_defaults={'load_bound': 2}), 0
        )
    await other.refresh()
    assert other.current.defaults.load_bound == 1.5


@pytest.mark.parametrize('fault', [Fault.lost_before, Fault.lost_after])
async def test_lost_response_to_a_write_is_resolved_by_reading(fault):
    memory = MemoryStore()
    configuration_store = make_configuration_store(memory, Fault.none, fault)
    change = make_change(set_defaults={'load_bound': 1.5})
    assert (await configuration_store.write_change(change, 0)).version == 1
    assert memory.revision == 1


async def test_change_with_unknown_outcome_names_the_history_command():
    memory = MemoryStore()
    configuration_store = make_configuration_store(
        memory, Fault.none, *[Fault.lost_after] * 6
    )
    with pytest.raises(StoreResponseLost, match='config history'):
        await configuration_store.write_change(make_change(), 0)


async def test_stale_read_does_not_revert():
    memory = MemoryStore()
    store = FaultyStore(memory)
    configuration_store = ConfigurationStore(store)
    await configuration_store.write_change(
        make_change(set_defaults={'load_bound': 1.5}), 0
    )
    store.take_snapshot()
    await configuration_store.write_change(
        make_change(1, set_defaults={'load_bound': 2}), 0
    )
    store.script = [Fault.stale]
    assert not await configuration_store.refresh()
    assert configuration_store.current.defaults.load_bound == 2


async def test_invalid_stored_document_does_not_replace_the_current_one():
    memory = MemoryStore()
    store = FaultyStore(memory)
    configuration_store = ConfigurationStore(store)
    await configuration_store.write_change(
        make_change(set_defaults={'load_bound': 1.5}), 0
    )
    await store.write(CONFIGURATION_KEY, b'{"version": "x"}', expected=1)
    with pytest.raises(msgspec.ValidationError):
        await configuration_store.refresh()
    assert configuration_store.current.version == 1
    with pytest.raises(ChangeRefused, match='restore key'):
        await configuration_store.write_change(make_change(1), 0)


def test_override_applies_to_its_subject_only():
    override = Override('x', Scope.customer, 'kk', 'share', 4, 'large customer')
    cfg = Configuration(overrides=(override,))
    assert cfg.for_request(customer='kk').share == 4
    assert cfg.for_request(customer='other', pool='kk').share == 1


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent operators, lost responses, stale reads and peers."""

    def __init__(self):
        super().__init__()
        self.memory = MemoryStore()
        self.accepted = {}
        self.highest_versions = {}
        self.stores = [FaultyStore(self.memory) for _ in range(3)]
        self.configuration_stores = [
            ConfigurationStore(store) for store in self.stores
        ]

    @rule(
        router=st.integers(0, 2),
        script=st.lists(st.sampled_from(Fault), max_size=8),
        bound=st.sampled_from([1.25, 1.5, 2.0]),
    )
    def change(self, router, script, bound):
        self.stores[router].script = script
        configuration_store = self.configuration_stores[router]
        change = make_change(
            configuration_store.current.version,
            set_defaults={'load_bound': bound},
        )
        try:
            accepted = trio.run(configuration_store.write_change, change, 0)
        except (ChangeRefused, StoreError):
            return
        finally:
            self.stores[router].script = []
        assert accepted.version not in self.accepted
        self.accepted[accepted.version] = change.change_id

    @rule(router=st.integers(0, 2), fault=st.sampled_from(Fault))
    def refresh(self, router, fault):
        self.stores[router].script = [fault]
        try:
            trio.run(self.configuration_stores[router].refresh)
        except StoreError:
            return

    @rule(router=st.integers(0, 2))
    def take_stale_snapshot(self, router):
        self.stores[router].take_snapshot()

    @rule(router=st.integers(0, 2), peer=st.integers(0, 2))
    def adopt_from_peer(self, router, peer):
        self.configuration_stores[router].apply(
            self.configuration_stores[peer].document
        )

    @invariant()
    def versions_never_decrease(self):
        for router, configuration_store in enumerate(self.configuration_stores):
            assert (
                configuration_store.current.version
                >= self.highest_versions.get(router, 0)
            )
            self.highest_versions[router] = configuration_store.current.version

    @invariant()
    def accepted_changes_are_kept(self):
        entry = self.memory.read(CONFIGURATION_KEY, 0)
        if entry is None:
            assert not self.accepted
            return
        stored = msgspec.json.decode(entry.value, type=Configuration)
        history = {old.version: old.change_id for old in stored.history}
        for version, change_id in self.accepted.items():
            if version in history or version > stored.version:
                assert history.get(version) == change_id


ConfigurationMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=25, derandomize=True, deadline=None
)
TestConfigurationMachine = ConfigurationMachine.TestCase
