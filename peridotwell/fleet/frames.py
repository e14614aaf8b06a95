"""The messages between routers.

Each is a msgspec struct encoded as a MessagePack array whose first element
is its kind; structs stand in for data classes because data classes are not
encoded as arrays. `sender` is the wire id of the sending router. Targets,
pools and customers are named by their wire ids.
"""

from typing import Any

import msgspec

from peridotwell.errors import PeridotwellError
from peridotwell.fleet.target_membership import TargetObservation
from peridotwell.policy.quarantine import CrashRecord

__all__ = (
    'Frame',
    'FrameError',
    'Hello',
    'Heartbeat',
    'CreditRequest',
    'CreditGrant',
    'CreditReturn',
    'HoldingsReport',
    'HoldingsPull',
    'Observations',
    'StatePull',
    'StatePush',
    'CachedPrompt',
    'RouterUpdate',
    'StoreChanges',
    'UpdateBatch',
    'SharedEntry',
    'EntriesPull',
    'EntriesPush',
    'CachesPull',
    'CachesPush',
    'encode_frame',
    'decode_frame',
)

MAX_FRAME_BYTES = 2 * 1024 * 1024
Pairs = tuple[tuple[int, int], ...]


class FrameError(PeridotwellError):
    """A frame from another router cannot be decoded."""

    code = 'frame_invalid'


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between routers."""

    sender: int


class Hello(Frame, frozen=True, array_like=True, tag=1):
    """Who a router is and where others reach it; repeated after a restart."""

    name: str
    data_centre: str
    peers: str
    operators: str
    incarnation: int
    wants_reply: bool = False


class Heartbeat(Frame, frozen=True, array_like=True, tag=2):
    """A sign of life with the sender's loads.

    `view` is a hash of the routers that the sender believes to be live in
    its data centre, `loads` its outstanding calls for the pools whose
    count has changed, `customers` its largest customers by outstanding
    calls. `digest` is a hash of the
    news that the sender knows.
    """

    version: int
    view: int
    digest: int
    leaving: bool = False
    loads: Pairs = ()
    customers: Pairs = ()


class CreditRequest(Frame, frozen=True, array_like=True, tag=3):
    """Ask the lender of a target for one credit.

    With `target` 0, any of the lender's targets of the pool will do.
    `outstanding` is the sender's present count for the pool; `number` counts
    the sender's asks to the receiver. `is_suspect` asks for a target that
    runs no other suspect.
    """

    target: int
    pool: int
    outstanding: int
    number: int
    is_suspect: bool = False


class CreditGrant(Frame, frozen=True, array_like=True, tag=4):
    """The answer to ask `number`: `lent` credits, possibly none.

    `may_keep` tells whether idle credits may be kept for a while.
    """

    target: int
    lent: int
    number: int
    may_keep: bool = False


class CreditReturn(Frame, frozen=True, array_like=True, tag=5):
    """Credits returned to their lender, and targets free of suspects."""

    credits: Pairs
    suspects: tuple[int, ...] = ()


class HoldingsReport(Frame, frozen=True, array_like=True, tag=6):
    """All credits that the sender holds of the receiver's targets.

    `number` is the last ask that the receiver has answered.
    """

    view: int
    number: int
    credits: Pairs


class HoldingsPull(Frame, frozen=True, array_like=True, tag=10):
    """Ask a borrower for a report, because a census waits for it."""


class Observations(Frame, frozen=True, array_like=True, tag=7):
    """Signs about targets and verdicts on requests."""

    signs: tuple[TargetObservation, ...] = ()
    verdicts: tuple[CrashRecord, ...] = ()


class StatePull(Frame, frozen=True, array_like=True, tag=8):
    """Ask for the configuration and the instance list."""


class StatePush(Frame, frozen=True, array_like=True, tag=9):
    """The configuration in force and the last instance list, if asked for."""

    configuration: bytes
    listing: bytes = b''


class CachedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """Shared prompt parts, as (number, tokens), that an engine has read."""

    target: int
    parts: Pairs


class RouterUpdate(Frame, frozen=True, array_like=True, tag=11):
    """A forwarding router's sign of life, with what has changed.

    `revision` is the store's revision that the sender has read. `running` are
    its outstanding calls and `reading` the prompt tokens that it waits for,
    for the targets whose count has changed, or for all if `is_full`.
    `prompts` are those sent to engines since the last update, `verdicts` are
    on requests that lose targets. `number` grows from update to update.
    """

    revision: int
    number: int
    is_leaving: bool = False
    is_full: bool = False
    running: Pairs = ()
    reading: Pairs = ()
    prompts: tuple[CachedPrompt, ...] = ()
    verdicts: tuple[CrashRecord, ...] = ()


class SharedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the store; deleted at `revision` if it has no value."""

    key: str
    revision: int
    value: bytes | None


class EntriesPull(Frame, frozen=True, array_like=True, tag=12):
    """Ask for the store's entries that have changed after `revision`."""

    revision: int


class EntriesPush(Frame, frozen=True, array_like=True, tag=13):
    """The store's entries that a router knows to be newer than asked for.

    All entries, if `is_whole`: what is missing is gone.
    """

    revision: int
    entries: tuple[SharedEntry, ...]
    is_whole: bool = False


class StoreChanges(msgspec.Struct, frozen=True, array_like=True):
    """What has changed in the store after revision `base`, up to `revision`.

    For `doubt_seconds` longer, what vanishes may still register again.
    """

    base: int
    revision: int
    entries: tuple[SharedEntry, ...]
    doubt_seconds: float = 0


class UpdateBatch(Frame, frozen=True, array_like=True, tag=16):
    """Updates of several routers, passed on by a relay.

    `follows_store` tells whether the sender hears from the store, `revision`
    how far it knows it.
    """

    follows_store: bool
    revision: int
    updates: tuple[RouterUpdate, ...]
    news: StoreChanges | None = None


class CachesPull(Frame, frozen=True, array_like=True, tag=14):
    """Ask for all prompts that engines have cached, as far as known."""


class CachesPush(Frame, frozen=True, array_like=True, tag=15):
    """All prompts that the sender believes to be cached."""

    prompts: tuple[CachedPrompt, ...]


_Any = (
    Hello
    | Heartbeat
    | CreditRequest
    | CreditGrant
    | CreditReturn
    | HoldingsReport
    | HoldingsPull
    | Observations
    | StatePull
    | StatePush
    | RouterUpdate
    | UpdateBatch
    | EntriesPull
    | EntriesPush
    | CachesPull
    | CachesPush
)
_decoder: Any = msgspec.msgpack.Decoder(_Any)
_encoder = msgspec.msgpack.Encoder()


def encode_frame(frame: Frame) -> bytes:
    """Encode a message."""
    return _encoder.encode(frame)


def decode_frame(content: bytes) -> Frame:
    """Decode a message. Raises FrameError on anything else."""
    if len(content) > MAX_FRAME_BYTES:
        raise FrameError('The frame is too long: check who sends to this port.')
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as exc:
        raise FrameError(f'{exc}: check who sends to this port.') from exc
