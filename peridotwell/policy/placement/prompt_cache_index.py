"""Index of the shared prompt parts that each engine has cached.

The index is built from the prompts that routers send. Events of the engines
are not used because they arrive late. An engine evicts its least recently
used parts, so the index keeps the most recently used parts up to a share of
the engine's memory.
"""

from collections import OrderedDict
from collections.abc import Container, Iterable, Iterator, Sequence
from dataclasses import dataclass

import xxhash

from peridotwell.domain.prompt import Prompt

__all__ = ('CachedPart', 'PromptCacheIndex', 'part_id', 'cacheable_parts')

# Share of an engine's memory that holds shared parts. Running requests and the
# tokens that they generate occupy the rest.
MEMORY_SHARE_FOR_PARTS = 0.7
DEFAULT_CAPACITY_TOKENS = 200_000
# A part that is used again after this time is announced to the peers again, so
# that their indexes keep it.
REANNOUNCE_SECONDS = 3.0
# A part that was not used for this time counts as evicted, because the engine
# may have dropped it.
PART_TTL_SECONDS = 60.0


@dataclass(frozen=True)
class CachedPart:
    """A shared prompt part: a 64-bit hash of its name, and its token count."""

    part_id: int
    tokens: int


def part_id(model: str, name: str) -> int:
    """Return the 64-bit id of the prompt part `name` of a model."""
    return xxhash.xxh3_64_intdigest(f'{model}|{name}'.encode())


def cacheable_parts(prompt: Prompt) -> tuple[CachedPart, ...]:
    """Return the parts of a prompt that engines can cache, in order.

    These are its shared parts.
    """
    return tuple(
        CachedPart(part_id(prompt.model, part.name), part.tokens)
        for part in prompt.shared_parts
    )


class _EngineCache:
    """The cached parts of one engine, least recently used first."""

    def __init__(self) -> None:
        self.capacity_tokens = DEFAULT_CAPACITY_TOKENS
        # Whether anything was learned of it, even that it is empty.
        self.is_known = False
        self._tokens = 0
        # By part id: tokens, and when the part was used last.
        self.used: OrderedDict[int, tuple[int, float]] = OrderedDict()

    def record_use(self, part: CachedPart, now: float) -> bool:
        """Record a use and return whether to announce it to the peers."""
        previous = self.used.pop(part.part_id, None)
        if previous is None:
            self._tokens += part.tokens
        self.used[part.part_id] = (part.tokens, now)
        while self._tokens > self.capacity_tokens and len(self.used) > 1:
            _, (tokens, _) = self.used.popitem(last=False)
            self._tokens -= tokens
        return previous is None or now - previous[1] > REANNOUNCE_SECONDS

    def parts(self) -> Iterator[CachedPart]:
        """Yield all parts, the least recently used one first."""
        for stored_id, (tokens, _) in self.used.items():
            yield CachedPart(stored_id, tokens)

    def cached_tokens(self, parts: Iterable[CachedPart], now: float) -> int:
        """Return the tokens of the first parts that are all cached.

        A part is cached if it was used recently enough.
        """
        tokens = 0
        for part in parts:
            previous = self.used.get(part.part_id)
            if previous is None or now - previous[1] > PART_TTL_SECONDS:
                break
            tokens += part.tokens
        return tokens


class PromptCacheIndex:
    """The cached shared parts of every engine, by target name."""

    def __init__(self) -> None:
        self._engines: dict[str, _EngineCache] = {}

    def record_use(
        self,
        target: str,
        parts: Sequence[CachedPart],
        now: float,
    ) -> bool:
        """Record that a prompt with these parts is sent to an engine.

        Returns whether to announce the parts to the peers.
        """
        engine = self._engine(target)
        engine.is_known = True
        is_newer = [engine.record_use(part, now) for part in parts]
        return any(is_newer)

    def missing_tokens(
        self,
        target: str,
        parts: Sequence[CachedPart],
        now: float,
    ) -> int:
        """Return the number of shared tokens that an engine has not cached.

        A part counts as cached only if all parts before it are cached too.
        """
        engine = self._engines.get(target)
        missing = sum(part.tokens for part in parts)
        if engine is None:
            return missing
        return missing - engine.cached_tokens(parts, now)

    def holders(
        self, parts: Sequence[CachedPart], now: float
    ) -> dict[str, int]:
        """Return the engines that have the first part cached.

        The values are the shared tokens that they have not cached, as
        `missing_tokens` returns them.
        """
        if not parts:
            return {}
        first = parts[0].part_id
        holding = [
            (name, engine)
            for name, engine in self._engines.items()
            if first in engine.used
        ]
        total = sum(part.tokens for part in parts)
        cached = (
            (name, engine.cached_tokens(parts, now)) for name, engine in holding
        )
        return {name: total - tokens for name, tokens in cached if tokens}

    def all_parts(self) -> dict[str, tuple[CachedPart, ...]]:
        """Return the parts of each engine, least recently used first."""
        return {
            name: tuple(engine.parts())
            for name, engine in self._engines.items()
        }

    def is_known(self, target: str) -> bool:
        """Return whether a use or a list of an engine's parts is known.

        The list may have been empty.
        """
        engine = self._engines.get(target)
        return engine is not None and engine.is_known

    def set_capacity(self, target: str, memory_tokens: int) -> None:
        """Set the capacity of an engine from its memory in tokens."""
        capacity = int(memory_tokens * MEMORY_SHARE_FOR_PARTS)
        self._engine(target).capacity_tokens = capacity

    def remove(self, target: str) -> None:
        """Remove an engine whose cache is lost."""
        self._engines.pop(target, None)

    def keep_only(self, targets: Container[str]) -> None:
        """Remove the engines that are not in `targets`."""
        self._engines = {
            name: engine
            for name, engine in self._engines.items()
            if name in targets
        }

    def _engine(self, target: str) -> _EngineCache:
        engine = self._engines.get(target)
        if engine is None:
            engine = self._engines[target] = _EngineCache()
        return engine
