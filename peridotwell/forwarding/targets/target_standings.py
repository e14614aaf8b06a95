"""What the store and the targets themselves say of their processes."""

from peridotwell.domain.target import Target
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import TargetAdapter
from peridotwell.policy.health.target_notices import TargetNotices
from peridotwell.serving.request_recall import TargetStanding, TargetStandings

__all__ = ('ForwardingTargetStandings', 'has_left')


class ForwardingTargetStandings(TargetStandings):
    """Tells which targets of a forwarding router have left."""

    def __init__(
        self,
        directory: ServiceDirectory,
        notices: TargetNotices,
        adapter: TargetAdapter,
    ) -> None:
        self._directory = directory
        self._notices = notices
        self._adapter = adapter

    def standing(self, target: Target) -> TargetStanding:
        """Return what is known of a process of a target."""
        if _is_replaced(target, self._directory):
            return TargetStanding.replaced
        if target.name in self._directory.deferred_removals.names:
            return TargetStanding.doubted
        if has_left(target, self._directory, self._notices):
            return TargetStanding.left
        return TargetStanding.listed

    def status_path(self, target: Target) -> str:
        """Return the path of the status checks of a target."""
        table = self._directory.table
        service = table.services.get(target.pool.name) if table else None
        return self._adapter.status_path(service)


def has_left(
    target: Target, directory: ServiceDirectory, notices: TargetNotices
) -> bool:
    """Return whether a process of a target must get no more requests."""
    if target.name not in directory.serving_names:
        return True
    if notices.is_leaving(target):
        return True
    listed = directory.target_by_id(target.wire_id)
    return listed is None or listed.address != target.address


def _is_replaced(target: Target, directory: ServiceDirectory) -> bool:
    """Return whether another process has the name or the address."""
    listed = directory.target_by_id(target.wire_id)
    if listed is not None and listed.name == target.name:
        is_newer = target.is_reported_before(listed.report)
        return listed.incarnation != target.incarnation and is_newer
    return any(
        other.address == target.address for other in directory.all_targets()
    )
