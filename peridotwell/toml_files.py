"""Reads TOML files into structs, with errors that say what to do."""

from pathlib import Path
from typing import TypeVar

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.errors import SettingsError

__all__ = ('read_toml',)

Document = TypeVar('Document')


def read_toml(
    path: str | Path,
    document_type: type[Document],
    *,
    unreadable_remedy: str,
    invalid_remedy: str = 'correct this key',
) -> Document:
    """Return the file at `path` decoded as `document_type`.

    Raises SettingsError, whose message ends with `unreadable_remedy` for a
    file that cannot be read, and with `invalid_remedy` for one that cannot be
    decoded.
    """
    try:
        content = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(
            f'{path}: {exc.strerror}: {unreadable_remedy}.',
        ) from exc
    try:
        return msgspec.toml.decode(content, type=document_type)
    except DECODING_ERRORS as exc:
        raise SettingsError(f'{path}: {exc}: {invalid_remedy}.') from exc
