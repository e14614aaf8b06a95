"""What decoders raise for documents that cannot be read."""

import msgspec

__all__ = ('DECODING_ERRORS',)

# Documents of others may also be nested too deep, or take too much memory.
DECODING_ERRORS = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
    MemoryError,
)
