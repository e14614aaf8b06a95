"""News that the next update of this router tells the others at once."""

from collections.abc import Iterable
from dataclasses import dataclass

from peridotwell.fleet.transport.frames import CachedPrompt

__all__ = ('News', 'PendingNews')

MAX_PROMPTS_PER_UPDATE = 200
MAX_STREAMS_PER_UPDATE = 100

Pair = tuple[int, int]


@dataclass(frozen=True)
class News:
    """The news of one update; see RouterUpdate for the fields."""

    prompts: tuple[CachedPrompt, ...]
    stream_versions: tuple[Pair, ...]


class PendingNews:
    """Collects news until the next update."""

    def __init__(self) -> None:
        self._prompts: list[CachedPrompt] = []
        self._stream_versions: list[Pair] = []

    def __bool__(self) -> bool:
        """Return whether there are news."""
        return bool(self._prompts or self._stream_versions)

    def add_prompt(self, prompt: CachedPrompt) -> bool:
        """Add a prompt; return False if there is no room for it."""
        if len(self._prompts) >= MAX_PROMPTS_PER_UPDATE:
            return False
        self._prompts.append(prompt)
        return True

    def add_stream_versions(self, streams: Iterable[Pair]) -> None:
        """Add streams and the software versions that began them."""
        self._stream_versions.extend(streams)

    def take(self) -> News:
        """Return the news for one update; streams may be left for the next."""
        news = News(
            tuple(self._prompts),
            tuple(self._stream_versions[:MAX_STREAMS_PER_UPDATE]),
        )
        self._prompts.clear()
        del self._stream_versions[:MAX_STREAMS_PER_UPDATE]
        return news
