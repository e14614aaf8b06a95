"""Which shared prompt parts each engine has read lately.

Kept from what routers send, not from the engines' own events, which come
late. An engine drops the parts that were used least recently, so the map
keeps the latest ones up to a share of the engine's memory.
"""

from collections import OrderedDict
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass

import xxhash

from peridotwell.domain.prompt import Prompt

__all__ = ('CachedPart', 'PromptCacheIndex', 'part_id', 'cached_parts')

# The rest holds running requests and what they generate.
SHARE_FOR_PARTS = 0.7
UNKNOWN_CAPACITY_TOKENS = 200_000
# Peers are told again when a part is used after this time, so that their map
# keeps it.
ANNOUNCE_AGAIN_SECONDS = 3.0
# An engine that has not used a part for so long may have dropped it.
KEEP_SECONDS = 60.0


@dataclass(frozen=True)
class CachedPart:
    """A shared part: a 64-bit number for its name, and its tokens."""

    part_id: int
    tokens: int


def part_id(model: str, name: str) -> int:
    """Return the number that stands for a part of a model's prompts."""
    return xxhash.xxh3_64_intdigest(f'{model}|{name}'.encode())


def cached_parts(prompt: Prompt) -> tuple[CachedPart, ...]:
    """Return the shared parts of a prompt, in order."""
    return tuple(
        CachedPart(part_id(prompt.model, part.name), part.tokens)
        for part in prompt.shared
    )


class _EngineCache:
    """The parts of one engine, least recently used first."""

    def __init__(self) -> None:
        self.capacity_tokens = UNKNOWN_CAPACITY_TOKENS
        self._tokens = 0
        self._used: OrderedDict[int, tuple[int, float]] = OrderedDict()

    def record_use(self, part: CachedPart, now: float) -> bool:
        """Book a use; True if it should be announced."""
        known = self._used.pop(part.part_id, None)
        if known is None:
            self._tokens += part.tokens
        self._used[part.part_id] = (part.tokens, now)
        while self._tokens > self.capacity_tokens and len(self._used) > 1:
            _, (tokens, _) = self._used.popitem(last=False)
            self._tokens -= tokens
        return known is None or now - known[1] > ANNOUNCE_AGAIN_SECONDS

    def parts(self) -> Iterator[CachedPart]:
        """Yield all parts, least recently used first."""
        for number, (tokens, _) in self._used.items():
            yield CachedPart(number, tokens)

    def holds(self, part: CachedPart, now: float) -> bool:
        """Whether the part is still there, as far as known."""
        known = self._used.get(part.part_id)
        return known is not None and now - known[1] <= KEEP_SECONDS


class PromptCacheIndex:
    """The shared parts of every engine, by target name."""

    def __init__(self) -> None:
        self._engines: dict[str, _EngineCache] = {}

    def record_use(
        self,
        target: str,
        parts: Sequence[CachedPart],
        now: float,
    ) -> bool:
        """Book that a prompt goes to an engine; True if that is news."""
        engine = self._engine(target)
        news = [engine.record_use(part, now) for part in parts]
        return any(news)

    def missing_tokens(
        self,
        target: str,
        parts: Sequence[CachedPart],
        now: float,
    ) -> int:
        """Return the shared tokens that an engine would have to read.

        A part counts as kept only if all parts before it are kept too.
        """
        engine = self._engines.get(target)
        missing = sum(part.tokens for part in parts)
        if engine is None:
            return missing
        for part in parts:
            if not engine.holds(part, now):
                break
            missing -= part.tokens
        return missing

    def all_parts(self) -> dict[str, tuple[CachedPart, ...]]:
        """Return the parts of each engine, least recently used first."""
        return {
            name: tuple(engine.parts())
            for name, engine in self._engines.items()
        }

    def has_parts(self, target: str) -> bool:
        """Whether any part of an engine is known."""
        engine = self._engines.get(target)
        return engine is not None and any(engine.parts())

    def set_capacity(self, target: str, memory_tokens: int) -> None:
        """Tell how much an engine can hold."""
        capacity = int(memory_tokens * SHARE_FOR_PARTS)
        self._engine(target).capacity_tokens = capacity

    def remove(self, target: str) -> None:
        """Forget an engine that has lost its memory."""
        self._engines.pop(target, None)

    def keep_only(self, targets: Container[str]) -> None:
        """Forget the engines that are not among `targets`."""
        self._engines = {
            name: engine
            for name, engine in self._engines.items()
            if name in targets
        }

    def _engine(self, target: str) -> _EngineCache:
        return self._engines.setdefault(target, _EngineCache())
