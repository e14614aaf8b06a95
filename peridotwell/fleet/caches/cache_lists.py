"""Lists of the prompt parts that an engine has cached, as routers send them.

A list is sent in portions, first the parts with most tokens: they are a small
share of the bytes and save most of the prefill work.
"""

from collections.abc import Iterable, Iterator

from peridotwell.fleet.transport.frames import CachedPrompt, Pairs
from peridotwell.policy.placement.prompt_cache_index import CachedPart

__all__ = ('PART_BYTES', 'chunk_lists', 'encode_parts', 'list_portions')

# Encoded size of a part in a list.
PART_BYTES = 13
# Number of parts in a portion of a list.
PORTION_PARTS = 16


def encode_parts(parts: Iterable[CachedPart]) -> Pairs:
    """Return parts as they are in messages."""
    return tuple((part.part_id, part.tokens) for part in parts)


def list_portions(
    target_id: int, parts: Iterable[CachedPart]
) -> Iterator[CachedPrompt]:
    """Yield the portions of an engine's list, at least one."""
    ordered = sorted(parts, key=lambda part: (-part.tokens, part.part_id))
    for start in range(0, max(len(ordered), 1), PORTION_PARTS):
        portion = ordered[start : start + PORTION_PARTS]
        yield CachedPrompt(target_id, encode_parts(portion))


def chunk_lists(
    lists: Iterable[CachedPrompt], chunk_bytes: int
) -> Iterator[tuple[CachedPrompt, ...]]:
    """Yield lists in groups of at least `chunk_bytes`, but for the last."""
    chunk: list[CachedPrompt] = []
    size = 0
    for each in lists:
        chunk.append(each)
        size += len(each.parts) * PART_BYTES
        if size >= chunk_bytes:
            yield tuple(chunk)
            chunk = []
            size = 0
    if chunk:
        yield tuple(chunk)
