"""News that the next update of this router tells the others at once."""

from collections.abc import Iterable
from dataclasses import dataclass

from peridotwell.fleet.transport.frames import CachedPrompt
from peridotwell.policy.quarantine import CrashRecord

__all__ = ('News', 'PendingNews')

MAX_PROMPTS_PER_UPDATE = 200
MAX_STREAMS_PER_UPDATE = 100

Pair = tuple[int, int]


@dataclass(frozen=True)
class News:
    """The news of one update; see RouterUpdate for the fields."""

    prompts: tuple[CachedPrompt, ...]
    crash_records: tuple[CrashRecord, ...]
    stream_versions: tuple[Pair, ...]


class PendingNews:
    """Collects news until the next update."""

    def __init__(self) -> None:
        self._prompts: list[CachedPrompt] = []
        self._crash_records: list[CrashRecord] = []
        self._stream_versions: list[Pair] = []

    def __bool__(self) -> bool:
        """Return whether there are news."""
        return any(
            (
                self._prompts,
                self._crash_records,
                self._stream_versions,
            )
        )

    def add_prompt(self, prompt: CachedPrompt) -> bool:
        """Add a prompt; return False if there is no room for it."""
        if len(self._prompts) >= MAX_PROMPTS_PER_UPDATE:
            return False
        self._prompts.append(prompt)
        return True

    def add_crash_records(self, crash_records: Iterable[CrashRecord]) -> None:
        """Add records of requests that crash targets."""
        self._crash_records.extend(crash_records)

    def add_stream_versions(self, streams: Iterable[Pair]) -> None:
        """Add streams and the software versions that began them."""
        self._stream_versions.extend(streams)

    def take(self) -> News:
        """Return the news for one update; streams may be left for the next."""
        news = News(
            tuple(self._prompts),
            tuple(self._crash_records),
            tuple(self._stream_versions[:MAX_STREAMS_PER_UPDATE]),
        )
        self._prompts.clear()
        self._crash_records.clear()
        del self._stream_versions[:MAX_STREAMS_PER_UPDATE]
        return news
