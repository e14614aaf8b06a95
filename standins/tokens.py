"""Tokens and prompt prefixes that are the same on every simulated engine."""

import xxhash

__all__ = ('token_at', 'prompt_prefixes')

TOKEN_WORDS = (
    'amber', 'birch', 'cobalt', 'delta', 'ember', 'fjord', 'garnet', 'harbor',
    'indigo', 'juniper', 'kelp', 'lichen', 'maple', 'nickel', 'ochre', 'pine',
)  # fmt: skip


def token_at(prompt: str, position: int) -> str:
    """Return the token at `position` of the completion of `prompt`.

    It depends on the arguments only, so that every engine generates it.
    """
    digest = xxhash.xxh3_64_intdigest(f'{position}|{prompt}'.encode())
    return f'{TOKEN_WORDS[digest % len(TOKEN_WORDS)]}{position} '


def prompt_prefixes(messages: list[dict[str, str]]) -> list[tuple[int, int]]:
    """Return (hash, length in tokens) of each prefix that ends a message."""
    digest = xxhash.xxh3_64()
    tokens = 0
    prefixes = []
    for message in messages:
        text = f'{message.get("role")}:{message.get("content")}'
        digest.update(text.encode())
        tokens += 1 + len(text.split())
        prefixes.append((digest.intdigest(), tokens))
    return prefixes
