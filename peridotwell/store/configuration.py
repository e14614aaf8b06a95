"""Stores the fleet's configuration and applies operators' changes.

The document is stored under one key of the platform's service and changed
only by compare-and-swap. A router keeps the highest version that it has seen
from any source (watch, poll, peers), so a stale read never reverts it.
"""

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.configuration import (
    Change,
    Configuration,
    Defaults,
    HistoryEntry,
    decode_configuration,
)
from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.errors import (
    ChangeRefused,
    StoreConflict,
    StoreError,
    StoreResponseLost,
)
from peridotwell.store.base import Entry, KeyValueStore

__all__ = ('ConfigurationStore', 'apply_change')

CONFIGURATION_KEY = 'configuration/current'
HISTORY_LENGTH = 50
WRITE_ATTEMPTS = 3


def apply_change(
    current: Configuration,
    change: Change,
    wall_time: float,
) -> Configuration:
    """Return the next version of the configuration.

    `wall_time` is the current time in seconds since the epoch. Raises
    ChangeRefused, whose message states the remedy.
    """
    if change.based_on != current.version:
        raise ChangeRefused(
            f'The change is based on version {change.based_on}, but version '
            f'{current.version} is in force: look at it and try again.',
        )
    _check_removals(current, change)
    removed = set(change.remove_overrides)
    added = {override.name for override in change.add_overrides}
    kept = tuple(
        override
        for override in current.overrides
        if override.name not in removed | added
    )
    prefixes = {contract.prefix for contract in change.add_contracts}
    contracts = tuple(
        contract
        for contract in current.contracts
        if contract.prefix not in prefixes | set(change.remove_contracts)
    )
    entry = HistoryEntry(
        current.version + 1,
        change.change_id,
        change.reason,
        change.author,
        wall_time,
        _summarise(change),
    )
    candidate = Configuration(
        version=current.version + 1,
        defaults=_replace_defaults(current.defaults, change.set_defaults),
        overrides=kept + change.add_overrides,
        contracts=contracts + change.add_contracts,
        change_id=change.change_id,
        history=(entry, *current.history)[:HISTORY_LENGTH],
    )
    return _validate(candidate)


class ConfigurationStore:
    """Reads and writes the configuration; keeps the highest version seen."""

    def __init__(self, store: KeyValueStore) -> None:
        self.current = Configuration()
        self.document = msgspec.json.encode(self.current)
        self.revision = NO_ORDER
        self.is_loaded = False
        self._store = store

    def apply(self, document: bytes) -> bool:
        """Adopt a document if its version is higher than the current one.

        Returns whether it was adopted. Raises msgspec.DecodeError for an
        invalid document.
        """
        candidate = decode_configuration(document)
        self.is_loaded = True
        if candidate.version <= self.current.version:
            return False
        self.current = candidate
        self.document = document
        return True

    def adopt_entry(self, entry: Entry) -> bool:
        """Adopt an entry of the store unless its version is older."""
        self.revision = max(self.revision, entry.revision)
        return self.apply(entry.value)

    async def refresh(self) -> bool:
        """Read the store; return whether a higher version was adopted."""
        entry = await self._store.read(CONFIGURATION_KEY)
        if entry is None:
            self.is_loaded = True
            return False
        return self.adopt_entry(entry)

    async def watch(self, wait_seconds: float) -> bool:
        """Wait for changes in the store; return whether one was adopted."""
        entries = await self._store.watch(
            CONFIGURATION_KEY,
            self.revision,
            wait_seconds,
        )
        adopted = [self.adopt_entry(entry) for entry in entries]
        return any(adopted)

    async def write_change(
        self, change: Change, wall_time: float
    ) -> Configuration:
        """Write an operator's change and return the resulting version.

        Raises ChangeRefused if the change was not written, StoreResponseLost
        if that is unknown, and StoreUnavailable.
        """
        entry = await self._store.read(CONFIGURATION_KEY)
        stored = _decode_stored(entry)
        if stored.version < self.current.version:
            raise ChangeRefused(
                'The platform returned an older version than the one in '
                'force: try again in a few seconds.',
            )
        document = msgspec.json.encode(apply_change(stored, change, wall_time))
        revision = entry.revision if entry else NO_ORDER
        await self._write(document, revision, change.change_id)
        self.apply(document)
        return decode_configuration(document)

    async def _write(
        self,
        document: bytes,
        expected: StoreOrder,
        change_id: str,
    ) -> None:
        """Write by compare-and-swap; after a lost response, read back."""
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._store.write(
                    CONFIGURATION_KEY,
                    document,
                    expected=expected,
                )
            except (StoreResponseLost, StoreConflict):
                if await self._is_written(expected, change_id):
                    return
            else:
                return
        raise _outcome_unknown(change_id)

    async def _is_written(self, expected: StoreOrder, change_id: str) -> bool:
        """Whether this change was written; False if it may be retried.

        Raises ChangeRefused if another write came first.
        """
        try:
            entry = await self._store.read(CONFIGURATION_KEY)
        except StoreError as exc:
            raise _outcome_unknown(change_id) from exc
        if entry is None or entry.revision <= expected:
            return False
        stored = _decode_stored(entry)
        self.adopt_entry(entry)
        if change_id in {old.change_id for old in stored.history}:
            return True
        raise ChangeRefused(
            'Another change came first: look at version '
            f'{stored.version} and try again.',
        )


def _decode_stored(entry: Entry | None) -> Configuration:
    """Decode the stored configuration. Raises ChangeRefused if invalid."""
    if entry is None:
        return Configuration()
    try:
        return decode_configuration(entry.value)
    except DECODING_ERRORS as exc:
        raise ChangeRefused(
            f'The stored configuration is invalid ({exc}): restore key '
            f'{CONFIGURATION_KEY} in the platform from its history.',
        ) from exc


def _outcome_unknown(change_id: str) -> StoreError:
    return StoreResponseLost(
        'It is unknown whether the change took effect: look for '
        f'change {change_id} with `config history`.',
    )


def _check_removals(current: Configuration, change: Change) -> None:
    names = {override.name for override in current.overrides}
    unknown = sorted(set(change.remove_overrides) - names)
    if unknown:
        raise ChangeRefused(
            f'There is no exception named {unknown[0]}: see `config show`.',
        )


def _replace_defaults(
    defaults: Defaults,
    new_values: dict[str, float | bool],
) -> Defaults:
    unknown = sorted(new_values.keys() - set(Defaults.__struct_fields__))
    if unknown:
        raise ChangeRefused(
            f'There is no default named {unknown[0]}: see `config show`.',
        )
    return msgspec.structs.replace(defaults, **new_values)


def _validate(candidate: Configuration) -> Configuration:
    """Validate all limits by decoding the encoded configuration."""
    try:
        checked = decode_configuration(msgspec.json.encode(candidate))
    except msgspec.ValidationError as exc:
        raise ChangeRefused(f'{exc}: choose another value.') from exc
    for override in checked.overrides:
        _check_override(checked.defaults, override.field, override.value)
    return checked


def _check_override(
    defaults: Defaults,
    field: str,
    value: float | bool,
) -> None:
    replaced = _replace_defaults(defaults, {field: value})
    try:
        msgspec.convert(msgspec.to_builtins(replaced), Defaults)
    except msgspec.ValidationError as exc:
        raise ChangeRefused(f'{field}: {exc}: choose another value.') from exc


def _summarise(change: Change) -> str:
    parts = [f'{name}={value}' for name, value in change.set_defaults.items()]
    parts += [f'+{override.name}' for override in change.add_overrides]
    parts += [f'-{name}' for name in change.remove_overrides]
    parts += [f'+{contract.prefix}' for contract in change.add_contracts]
    parts += [f'-{prefix}' for prefix in change.remove_contracts]
    return ' '.join(parts)
