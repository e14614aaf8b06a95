"""Rendezvous hashing: every router prefers the same target for a subject."""

from functools import lru_cache

import xxhash

__all__ = ('rendezvous_score',)

CACHE_ENTRIES = 65536


@lru_cache(maxsize=CACHE_ENTRIES)
def rendezvous_score(subject: str, target: str) -> int:
    """Return how much a subject prefers a target; the largest goes first."""
    return xxhash.xxh3_64_intdigest(f'{subject}|{target}'.encode())
