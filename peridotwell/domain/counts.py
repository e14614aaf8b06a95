"""Numbers in texts from outside."""

__all__ = ('is_count',)

# Longer numbers are no counts, and the language refuses to convert some.
MAX_DIGITS = 18


def is_count(text: str) -> bool:
    """Return whether `text` is a whole number in ASCII digits.

    Other digits of Unicode cannot all be converted to numbers.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
