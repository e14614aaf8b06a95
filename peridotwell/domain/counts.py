"""Numbers in texts and documents from outside."""

from typing import Annotated

import msgspec

__all__ = ('MAX_COUNT', 'Count', 'is_count')

# Longer numbers are no counts, and the language refuses to convert some.
MAX_DIGITS = 18
MAX_COUNT = 10**MAX_DIGITS - 1

# A count in a document. Messages between routers have room for it, and it can
# be converted to a float.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


def is_count(text: str) -> bool:
    """Return whether `text` is a whole number in ASCII digits.

    Other digits of Unicode cannot all be converted to numbers.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
