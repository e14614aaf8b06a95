"""A digest of the program's source files, which names the build in the log.

`python -m peridotwell.source_digest FOLDER...` prints that of a checkout, whose
folders are those of the packages.
"""

import sys
from collections.abc import Iterable
from pathlib import Path

import xxhash

__all__ = ('source_digest',)


def source_digest(folders: Iterable[Path]) -> str:
    """Return the digest of the Python files below some folders, as hex digits.

    Folders, files and their names count in a fixed order. Raises OSError if a
    file cannot be read.
    """
    digest = xxhash.xxh64()
    for folder in folders:
        for path in sorted(folder.rglob('*.py')):
            digest.update(path.relative_to(folder).as_posix().encode())
            digest.update(path.read_bytes())
    return digest.hexdigest()


if __name__ == '__main__':
    sys.stdout.write(f'{source_digest(map(Path, sys.argv[1:]))}\n')
