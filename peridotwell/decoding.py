"""Reading of what others send: numbers, and what decoders raise."""

import msgspec

__all__ = ('DECODING_ERRORS', 'number_below')

# Documents of others may also be nested too deep, or take too much memory.
DECODING_ERRORS = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
    MemoryError,
)


def number_below(text: str, bound: float) -> float | None:
    """Return a number from 0 on and below a bound, from its decimal text.

    Returns None if the text is anything else.
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < bound else None
