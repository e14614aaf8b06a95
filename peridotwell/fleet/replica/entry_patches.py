"""Differences between two versions of a store entry.

A change of a large configuration is a few hundred bytes as a difference, but
hundreds of kilobytes as a whole, which takes a second on a slow link.
"""

import zstandard

from peridotwell.errors import PeridotwellError

__all__ = ('PatchError', 'make_patch', 'apply_patch')

COMPRESSION_LEVEL = 3
# The old and the new version must fit in the window: 4 MB.
WINDOW_LOG = 22
MAX_ENTRY_BYTES = 2 * 1024 * 1024


class PatchError(PeridotwellError):
    """A difference does not fit the version that it is applied to."""

    code = 'patch_invalid'


def make_patch(old: bytes, new: bytes) -> bytes:
    """Return the difference from `old` to `new`, both not empty."""
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        window_log=WINDOW_LOG,
        source_size=len(new),
        dict_size=len(old),
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_as_dictionary(old), compression_params=parameters
    )
    return compressor.compress(new)


def apply_patch(old: bytes, patch: bytes) -> bytes:
    """Return the version that `patch` makes of `old`. Raises PatchError."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_as_dictionary(old), max_window_size=1 << WINDOW_LOG
    )
    try:
        return decompressor.decompress(patch, max_output_size=MAX_ENTRY_BYTES)
    except zstandard.ZstdError as exc:
        raise PatchError(
            f'The difference does not fit: read the whole entry ({exc}).'
        ) from exc


def _as_dictionary(content: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        content, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
