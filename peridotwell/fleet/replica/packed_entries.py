"""Compressed entries in a peer's answer: a configuration shrinks to a tenth."""

import msgspec
import zstandard

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.errors import PeridotwellError
from peridotwell.fleet.transport.frames import EntriesPush, SharedEntry

__all__ = ('PackError', 'pack_entries', 'unpack_entries')

# Smaller answers are not worth the compression.
MIN_VALUE_BYTES = 4000
MAX_UNPACKED_BYTES = 16_000_000
COMPRESSION_LEVEL = 3
UNPACKING_ERRORS = (zstandard.ZstdError, *DECODING_ERRORS)
_decoder = msgspec.msgpack.Decoder(tuple[SharedEntry, ...])


class PackError(PeridotwellError):
    """The compressed entries of an answer cannot be read."""

    code = 'entries_invalid'


def pack_entries(push: EntriesPush) -> EntriesPush:
    """Return an answer with its entries compressed, if they are large."""
    value_bytes = sum(len(each.value or b'') for each in push.entries)
    if value_bytes < MIN_VALUE_BYTES:
        return push
    content = msgspec.msgpack.encode(push.entries)
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return msgspec.structs.replace(
        push, entries=(), packed=compressor.compress(content)
    )


def unpack_entries(push: EntriesPush) -> EntriesPush:
    """Return an answer with its entries. Raises PackError."""
    if not push.packed:
        return push
    try:
        if zstandard.frame_content_size(push.packed) > MAX_UNPACKED_BYTES:
            raise PackError('The entries of a peer are too long.')
        content = zstandard.ZstdDecompressor().decompress(push.packed)
        entries = _decoder.decode(content)
    except UNPACKING_ERRORS as exc:
        raise PackError(f'The entries of a peer are damaged: {exc}') from exc
    return msgspec.structs.replace(push, entries=entries, packed=b'')
