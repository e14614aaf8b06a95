"""HTTP clients for targets, one for each start and address."""

from collections.abc import Sequence

import trio

from peridotwell.attempt_errors import AttemptError
from peridotwell.domain.target import Target
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import TargetAdapter
from peridotwell.forwarding.targets.restart_watch import RestartWatch
from peridotwell.serving.response_buffers import ResponseBuffers
from peridotwell.serving.target_client import NoticeListener, TargetClient
from peridotwell.serving.witness_keeper import WitnessKeeper

__all__ = ('TargetClients',)

TargetKey = tuple[str, str, str, str]
CLOSE_TIMEOUT_SECONDS = 1


class TargetClients:
    """The HTTP clients of this router for all targets.

    `restarts` is told when all connections to a target have ended.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        adapter: TargetAdapter,
        on_notice: NoticeListener,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._buffers = buffers or ResponseBuffers()
        self.restarts = RestartWatch(directory)
        self.witness_keeper = WitnessKeeper()
        self._on_notice = on_notice
        self._directory = directory
        self._adapter = adapter
        self._clients: dict[TargetKey, TargetClient] = {}
        # Whether clients may be of targets that have left or restarted.
        self._may_have_gone = False
        directory.on_change(self._record_change)

    def client(self, target: Target) -> TargetClient:
        """Return the client for the current incarnation of a target."""
        key = _target_key(target)
        client = self._clients.get(key)
        if client is None:
            client = TargetClient(
                target,
                self._adapter,
                self._on_notice,
                self._buffers,
                self._status_path,
                self.restarts.record_closed,
                self.witness_keeper,
            )
            self._clients[key] = client
            # The target may have left since it was chosen.
            self._may_have_gone = True
        return client

    def known_same(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return the targets whose entries are known to be of their processes.

        That is all, unless the store is away: then a connection from before
        its last answer shows it.
        """
        belief = self._directory.belief
        if not belief.is_away():
            return targets
        return tuple(
            target
            for target in targets
            if self._was_connected(target, belief.answered_until)
        )

    def record_failure(
        self, target: Target, exc: AttemptError, started_at: float
    ) -> None:
        """Record what the failure of an attempt shows of a target's process.

        `started_at` is when the attempt began.
        """
        client = self.client(target)
        self.restarts.record_failure(
            target, exc, is_connected=client.is_connected(started_at)
        )

    async def close_gone(self) -> None:
        """Close the clients of targets that have left or restarted.

        Clients with running requests stay open until the requests end.
        """
        if not self._may_have_gone:
            return
        known = {
            _target_key(target) for target in self._directory.all_targets()
        }
        gone = self._clients.keys() - known
        # Looked for again until there is none.
        self._may_have_gone = bool(gone)
        for key in gone:
            client = self._clients[key]
            if client.is_busy():
                continue
            self._clients.pop(key)
            with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
                await client.aclose()

    def _was_connected(self, target: Target, at: float) -> bool:
        """Return whether a connection to a target is open since a time."""
        client = self._clients.get(_target_key(target))
        return client is not None and client.is_connected(at)

    def _status_path(self, target: Target) -> str:
        table = self._directory.table
        service = table.services.get(target.pool.name) if table else None
        return self._adapter.status_path(service)

    def _record_change(self) -> None:
        self._may_have_gone = True


def _target_key(target: Target) -> TargetKey:
    return target.name, target.incarnation, target.software, target.address
