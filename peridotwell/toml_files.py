"""TOML files decoded into structs, with errors that name the remedy."""

from pathlib import Path
from typing import TypeVar

import msgspec

from peridotwell.errors import SettingsError

__all__ = ('read_toml',)

Document = TypeVar('Document')


def read_toml(
    path: str | Path,
    kind: type[Document],
    *,
    if_unreadable: str,
    if_wrong: str = 'correct this key',
) -> Document:
    """Return the file at `path` decoded as `kind`.

    Raises SettingsError, whose message ends with the remedy given for a file
    that cannot be read, or that does not hold what it should.
    """
    try:
        content = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(
            f'{path}: {exc.strerror}: {if_unreadable}.',
        ) from exc
    try:
        return msgspec.toml.decode(content, type=kind)
    except msgspec.DecodeError as exc:
        raise SettingsError(f'{path}: {exc}: {if_wrong}.') from exc
