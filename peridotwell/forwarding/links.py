"""One link for each start of each target; links of gone targets close."""

import trio

from peridotwell.domain.target import Target
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import TargetAdapter
from peridotwell.serving.target_client import TargetClient

__all__ = ('Links',)

Start = tuple[str, str, str]
CLOSE_SECONDS = 1


class Links:
    """The links of this router to all targets."""

    def __init__(
        self, directory: ServiceDirectory, adapter: TargetAdapter
    ) -> None:
        self._directory = directory
        self._adapter = adapter
        self._links: dict[Start, TargetClient] = {}

    def link(self, target: Target) -> TargetClient:
        """Return the link to a target, as it was started last."""
        start = _start(target)
        found = self._links.get(start)
        if found is None:
            found = TargetClient(target, self._adapter)
            self._links[start] = found
        return found

    async def close_gone(self) -> None:
        """Close links to targets that are gone or were started again.

        Requests that still run keep their connections.
        """
        known = {_start(target) for target in self._directory.all_targets()}
        gone = self._links.keys() - known
        for start in gone:
            link = self._links[start]
            if link.is_busy():
                continue
            self._links.pop(start)
            with trio.move_on_after(CLOSE_SECONDS):
                await link.aclose()


def _start(target: Target) -> Start:
    return target.name, target.incarnation, target.address
