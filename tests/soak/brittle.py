"""Checks that brittle targets do not have to reject too many requests."""

from collections import defaultdict

__all__ = ('BrittleChecker',)

# Routers know by then that a target is brittle, or what else has changed.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 1.0


class BrittleChecker:
    """Counts the rejections of each target, by its name.

    Rejections of a router that was disturbed lately are excused.
    """

    def __init__(self, violations: list[str]) -> None:
        self.rejections = 0
        self._violations = violations
        self._routers: dict[str, object] = {}
        # By target: the times of rejections, and the requests.
        self._rejected: dict[str, list[tuple[float, str]]] = defaultdict(list)

    def record_sent(self, request_id: str, router) -> None:
        """Record the router of a request."""
        self._routers[request_id] = router

    def record_rejection(
        self, request_id: str, target: str, max_rejections: float, now: float
    ) -> None:
        """Record that a target has no room for a request."""
        router = self._routers.get(request_id)
        if router is None or now - router.disturbed_at < CONTACT_SECONDS:
            return
        self.rejections += 1
        rejected = self._rejected[target]
        rejected.append((now, request_id))
        recent = [each for each in rejected if now - each[0] < WINDOW_SECONDS]
        if len(recent) > max_rejections:
            requests = ', '.join(request for _, request in recent)
            self._violations.append(
                f'{target} fell over: {len(recent)} rejections in a second '
                f'({requests})'
            )
