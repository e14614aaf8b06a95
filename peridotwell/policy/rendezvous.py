"""Rendezvous hashing: all routers rank the targets of a subject alike."""

from functools import lru_cache

import xxhash

__all__ = ('rendezvous_score',)

CACHED_SCORES = 65536


@lru_cache(maxsize=CACHED_SCORES)
def rendezvous_score(subject: str, target: str) -> int:
    """Return the hash of a subject and a target; the highest score wins."""
    return xxhash.xxh3_64_intdigest(f'{subject}|{target}'.encode())
