"""The tokens that every engine stand-in generates for one request."""

import xxhash

__all__ = ('token_at', 'prompt_prefixes')

WORDS = (
    'amber', 'birch', 'cobalt', 'delta', 'ember', 'fjord', 'garnet', 'harbor',
    'indigo', 'juniper', 'kelp', 'lichen', 'maple', 'nickel', 'ochre', 'pine',
)  # fmt: skip


def token_at(prompt: str, position: int) -> str:
    """Return the token at `position`; the same on every engine."""
    digest = xxhash.xxh3_64_intdigest(f'{position}|{prompt}'.encode())
    return f'{WORDS[digest % len(WORDS)]}{position} '


def prompt_prefixes(messages: list[dict[str, str]]) -> list[tuple[int, int]]:
    """Return (hash, tokens) of each prefix that ends with a message."""
    digest = xxhash.xxh3_64()
    tokens = 0
    prefixes = []
    for message in messages:
        text = f'{message.get("role")}:{message.get("content")}'
        digest.update(text.encode())
        tokens += 1 + len(text.split())
        prefixes.append((digest.intdigest(), tokens))
    return prefixes
