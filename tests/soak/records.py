"""What callers, targets, the store and the injector record during a soak run.

All times are seconds of the system's monotonic clock, which the processes of
a machine share. Rules are judged from these records after the run.
"""

import time
from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

__all__ = (
    'now',
    'Record',
    'Sent',
    'Answered',
    'Handled',
    'Arrived',
    'TakenBack',
    'Replied',
    'TakenUp',
    'TargetDisturbed',
    'VersionWritten',
    'EntryWritten',
    'RouterDisturbed',
    'RouterStarted',
    'RouterRuns',
    'Busy',
    'StoreDisturbed',
    'PathDisturbed',
    'Late',
    'AnyRecord',
    'select',
)

now = time.monotonic


class Record(msgspec.Struct, frozen=True, tag=True):
    """One observation."""


class Sent(Record, frozen=True):
    """A caller sends a request; `route` and `key` are what it asks with.

    `process` is the name of the caller's process, or how it begins.
    """

    at: float
    request_id: str
    router: str
    route: str
    key: str
    process: str = 'callers'


class Answered(Record, frozen=True):
    """A request has ended at its caller.

    Without a whole answer, `status` is 0, `error` is 'unreachable' (no
    connection), 'cut' (connection closed) or 'silent' (nothing in time), and
    `body` is what came of it. Else `ended` is what marked the end of the body:
    'chunks' (the last chunk), 'length', or 'open' (an ordinary close, no mark).
    """

    at: float
    request_id: str
    status: int
    receipt: str
    body: bytes
    # The id of the request that the answer names, if any.
    named_id: str = ''
    error: str = ''
    ended: str = ''
    # Events up to this one were not asked for: the caller has them.
    after: int = 0


class Handled(Record, frozen=True):
    """A router logs that it ended a request, so long after it had read it."""

    at: float
    request_id: str
    router: str
    seconds: float


class Arrived(Record, frozen=True):
    """A request reaches a target, which runs it or rejects it.

    A rejection may ask for a pause, or come of a brittle target that bears so
    many a second. Both are 0 if a fault held up the request or its answer.
    `process` is the name of the target's process, or how it begins. A router
    sent the request on at `sent_on_at`, 0 if that is not known: since then it
    lay on its way or at the target.
    """

    at: float
    request_id: str
    target: str
    start: int
    runs: bool
    pause_seconds: float = 0
    max_rejections: float = 0
    process: str = 'targets'
    sent_on_at: float = 0


class TakenBack(Record, frozen=True):
    """A target reads a request whose connection has been reset.

    It runs nothing, and answers nothing.
    """

    at: float
    request_id: str
    target: str
    start: int
    sent_on_at: float


class Replied(Record, frozen=True):
    """A target answers a run; `is_whole` if the answer is not broken off.

    `body` is what it sends of the body. `framing` is 'length', 'chunks' or
    'open' (no mark of the end); one that is broken off is `cut` by an ordinary
    'end' of the connection or a 'reset'.
    """

    at: float
    request_id: str
    receipt: str
    status: int
    body: bytes
    is_whole: bool
    # The target, with its start, if the answer says that it leaves.
    leaves: str = ''
    target: str = ''
    framing: str = ''
    cut: str = ''
    # The software version of the target.
    version: str = ''


class TakenUp(Record, frozen=True):
    """A caller takes up a stream, of which it has an event with a receipt."""

    at: float
    request_id: str
    receipt: str


class TargetDisturbed(Record, frozen=True):
    """A target's connections have been ended, or it begins to stand still."""

    at: float
    target: str


class VersionWritten(Record, frozen=True):
    """The store is given a version of the configuration, and has taken it.

    Without an answer of the store, `at` is infinite. `moved_to` is the service
    of the route that moves, if the version has it.
    """

    began_at: float
    at: float
    version: int
    moved_to: str = ''


class EntryWritten(Record, frozen=True):
    """The store has taken a target's state: ready, draining or gone."""

    at: float
    target: str
    start: int
    state: str
    service: str = ''


class RouterDisturbed(Record, frozen=True):
    """A router was not running as usual; `is_planned` for a stop."""

    began_at: float
    at: float
    router: str
    is_planned: bool = False


class RouterStarted(Record, frozen=True):
    """A process of a router is started."""

    at: float
    router: str


class RouterRuns(Record, frozen=True):
    """A started process logs that it now reads what its port has received."""

    at: float
    router: str


class Busy(Record, frozen=True):
    """How many threads of the machine want a processor, for each of these."""

    at: float
    per_processor: float


class StoreDisturbed(Record, frozen=True):
    """The store had a fault; `is_reachable` if it answered all the same."""

    began_at: float
    at: float
    is_reachable: bool
    # The store went back to an older state of its entries.
    is_restored: bool = False


class PathDisturbed(Record, frozen=True):
    """Bytes were held, delayed or lost on the way to a target.

    An empty `router` stands for all routers. With `passes_answers`, the target
    could still be heard.
    """

    began_at: float
    at: float
    target: str
    router: str = ''
    passes_answers: bool = False


class Late(Record, frozen=True):
    """A timer of a process of the soak itself was late.

    For `worked_seconds` of that time, the process had a processor.
    """

    at: float
    process: str
    seconds: float
    worked_seconds: float = 0


AnyRecord = (
    Sent
    | Answered
    | Handled
    | Arrived
    | TakenBack
    | Replied
    | TakenUp
    | TargetDisturbed
    | VersionWritten
    | EntryWritten
    | RouterDisturbed
    | RouterStarted
    | RouterRuns
    | Busy
    | StoreDisturbed
    | PathDisturbed
    | Late
)
Kind = TypeVar('Kind', bound=Record)


def select(records: Iterable[Record], kind: type[Kind]) -> Iterator[Kind]:
    """Yield the records of one kind in their order."""
    return (each for each in records if isinstance(each, kind))
