"""Checks that routers heed what targets say of themselves in their answers."""

from collections import Counter
from dataclasses import dataclass

__all__ = ('NoticeChecker',)

# A router may go on for this long with a target that says it leaves.
LEAVING_GRACE_SECONDS = 2.0
# It may go on for this long with a target that has asked for a pause, and send
# it so many requests afterwards until the pause ends.
PAUSE_GRACE_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2


@dataclass(frozen=True)
class _Sent:
    """A request, its router with its process id, and when it was sent."""

    router: object
    process_id: int
    sent_at: float


@dataclass(frozen=True)
class _Pause:
    begins_at: float
    ends_at: float


class NoticeChecker:
    """Compares arrivals at targets with what routers were told before.

    `target` is the name of a target with the number of its start. A router
    that has been disturbed since it was told is excused.
    """

    def __init__(self, violations: list[str]) -> None:
        self._violations = violations
        self._sent: dict[str, _Sent] = {}
        # Target by request and receipt of the answer that says so.
        self._said_leaving: dict[tuple[str, str], str] = {}
        self._told_leaving: dict[tuple[str, int, str], float] = {}
        self._pauses: dict[tuple[str, int, str], _Pause] = {}
        self._in_pause: Counter[tuple[str, int, str]] = Counter()

    def record_sent(self, request_id: str, router, now: float) -> None:
        """Record that a caller sends a request."""
        process_id = router.process.pid if router.process else 0
        self._sent[request_id] = _Sent(router, process_id, now)

    def record_answer(self, request_id: str, receipt: str, now: float) -> None:
        """Record that a caller has an answer, with this receipt of its run."""
        target = self._said_leaving.get((request_id, receipt))
        if target is not None:
            self._told_leaving.setdefault(self._key(request_id, target), now)

    def say_leaving(self, request_id: str, receipt: str, target: str) -> None:
        """Record that the answer to a request says that its target leaves."""
        self._said_leaving[request_id, receipt] = target

    def say_pause(
        self, request_id: str, target: str, seconds: float, now: float
    ) -> None:
        """Record that a target asks for a pause."""
        key = self._key(request_id, target)
        begins_at = now + PAUSE_GRACE_SECONDS
        self._pauses[key] = _Pause(begins_at, now + seconds)
        self._in_pause[key] = 0

    def record_arrival(self, request_id: str, target: str, now: float) -> None:
        """Record that a request reaches a target, and check it."""
        sent = self._sent.get(request_id)
        if sent is None:
            return
        key = self._key(request_id, target)
        told_at = self._told_leaving.get(key)
        if told_at is not None and not _is_excused(sent, told_at):
            late_seconds = sent.sent_at - told_at
            if late_seconds > LEAVING_GRACE_SECONDS:
                self._violations.append(
                    f'{request_id} reached {target} {late_seconds:.2f} s after '
                    'its router had passed on that the target leaves'
                )
        self._check_pause(request_id, key, now)

    def _check_pause(self, request_id, key, now) -> None:
        pause = self._pauses.get(key)
        sent = self._sent[request_id]
        if pause is None or _is_excused(sent, pause.begins_at):
            return
        if pause.begins_at < sent.sent_at and now < pause.ends_at:
            self._in_pause[key] += 1
            if self._in_pause[key] > MAX_REQUESTS_IN_PAUSE:
                self._violations.append(
                    f'{request_id} reached {key[2]} within its pause'
                )

    def _key(self, request_id: str, target: str) -> tuple[str, int, str]:
        sent = self._sent.get(request_id)
        if sent is None:
            return ('', 0, target)
        return (sent.router.name, sent.process_id, target)


def _is_excused(sent: _Sent, told_at: float) -> bool:
    return sent.router.disturbed_at >= told_at - PAUSE_GRACE_SECONDS
