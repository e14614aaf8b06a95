"""Rendezvous hashing: all routers rank the targets of a subject alike."""

import heapq
from collections.abc import Iterable
from functools import lru_cache

import xxhash

__all__ = ('rendezvous_score', 'first_by_score', 'unit_hash')

CACHED_SCORES = 65536
HASH_BITS = 32
HASH_VALUES = 1 << HASH_BITS


@lru_cache(maxsize=CACHED_SCORES)
def rendezvous_score(subject: str, target: str) -> int:
    """Return the hash of a subject and a target; the highest score wins."""
    return xxhash.xxh3_64_intdigest(f'{subject}|{target}'.encode())


def first_by_score(
    subject: str, targets: Iterable[int], count: int
) -> list[int]:
    """Return the targets with the highest scores, at most `count`."""
    return heapq.nlargest(
        count,
        targets,
        key=lambda target: rendezvous_score(subject, str(target)),
    )


def unit_hash(text: str) -> float:
    """Return a number from 0 to below 1 that is fixed for each text."""
    return xxhash.xxh32_intdigest(text.encode()) / HASH_VALUES
