"""Messages that routers send to each other.

Each message is a msgspec struct, encoded as a MessagePack array whose first
element is its numeric tag. Structs are used because msgspec does not encode
data classes as arrays. `sender` is the wire id of the sending router. Targets,
pools and customers are also identified by their wire ids.
"""

from typing import Any

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.errors import PeridotwellError
from peridotwell.fleet.membership.target_membership import TargetObservation
from peridotwell.policy.brittle.brittle_records import BrittleRecord
from peridotwell.policy.crashes.loss_records import LossRecord
from peridotwell.policy.crashes.quarantine import CrashRecord
from peridotwell.policy.evidence.step_records import StepRecord
from peridotwell.policy.health.target_notices import Departure
from peridotwell.policy.limits.target_limits import LimitRecord
from peridotwell.policy.load.target_paces import PaceRecord

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
    'EntryPatch',
    'StoreChanges',
    'LargeChanges',
    'UpdateBatch',
    'SharedEntry',
    'EntriesPull',
    'EntriesPush',
    'CachesPull',
    'CachesPush',
    'CachesRefusal',
    'encode_frame',
    'decode_frame',
)

MAX_FRAME_BYTES = 2 * 1024 * 1024
# Pairs of a wire id, or the id of a prompt part, and a number.
Pairs = tuple[tuple[int, int], ...]


class FrameError(PeridotwellError):
    """A message from another router cannot be decoded."""

    code = 'frame_invalid'


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages between routers."""

    sender: int


class Hello(Frame, frozen=True, array_like=True, tag=1):
    """The identity and addresses of a router; sent again after a restart.

    `link_bytes_per_second` is the rate of its link, 0 if unknown.
    `handover_address` takes requests that other routers hand over; it is empty
    if the router takes none. `takes_large_changes` tells whether it can read
    LargeChanges; routers of earlier builds cannot.
    """

    name: str
    data_centre: str
    peer_address: str
    operator_address: str
    incarnation: int
    wants_reply: bool = False
    link_bytes_per_second: int = 0
    handover_address: str = ''
    takes_large_changes: bool = False


class Heartbeat(Frame, frozen=True, array_like=True, tag=2):
    """Shows that the sender is alive and reports its load.

    `view_hash` is a hash of the routers that the sender believes to be live
    in its data centre. `state_digest` is a hash of the target observations
    and crash records that the sender knows. `pool_requests` holds the
    sender's outstanding requests for the pools whose count has changed,
    `customer_requests` those of its largest customers.
    """

    configuration_version: int
    view_hash: int
    state_digest: int
    is_leaving: bool = False
    pool_requests: Pairs = ()
    customer_requests: Pairs = ()


class CreditRequest(Frame, frozen=True, array_like=True, tag=3):
    """Asks the lender of a target for one credit.

    With a `target_id` of 0 the lender may choose any of its targets in the
    pool. `outstanding` is the sender's current number of requests for the
    pool. `sequence` counts the sender's credit requests to the receiver.
    `is_suspect` asks for a target that runs no other suspect request.
    """

    target_id: int
    pool_id: int
    outstanding: int
    sequence: int
    is_suspect: bool = False


class CreditGrant(Frame, frozen=True, array_like=True, tag=4):
    """Answers the credit request `sequence` with `lent` credits, possibly 0.

    `may_keep` tells whether the borrower may keep idle credits for a while.
    """

    target_id: int
    lent: int
    sequence: int
    may_keep: bool = False


class CreditReturn(Frame, frozen=True, array_like=True, tag=5):
    """Returns credits to their lender.

    `ended_suspects` lists targets whose suspect request has ended.
    """

    credits: Pairs
    ended_suspects: tuple[int, ...] = ()


class HoldingsReport(Frame, frozen=True, array_like=True, tag=6):
    """Lists all credits that the sender holds for the receiver's targets.

    `answered_sequence` is the last credit request that the receiver has
    answered.
    """

    view_hash: int
    answered_sequence: int
    credits: Pairs


class HoldingsPull(Frame, frozen=True, array_like=True, tag=10):
    """Asks a borrower for its holdings, which a new lender needs to lend."""


class Observations(Frame, frozen=True, array_like=True, tag=7):
    """Observations of targets and records of requests that crash targets."""

    targets: tuple[TargetObservation, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()


class StatePull(Frame, frozen=True, array_like=True, tag=8):
    """Asks for the configuration and the platform's instance list."""


class StatePush(Frame, frozen=True, array_like=True, tag=9):
    """The configuration in force and, if requested, the last instance list."""

    configuration: bytes
    listing: bytes = b''


class CachedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """Prompt parts that an engine has cached, as (part id, tokens)."""

    target_id: int
    parts: Pairs


class RouterUpdate(Frame, frozen=True, array_like=True, tag=11):
    """Shows that a forwarding router is alive, with what has changed.

    `revision` is the store revision that the sender has read.
    `outstanding_requests` and `prefill_tokens` (the prompt tokens that the
    sender waits for) list the targets whose count has changed, or all targets
    if `is_full`. `prompts` are those sent to engines since the last update,
    `crash_records` are those of older versions, and not read. `sequence`
    increases with each update. `store_contact_deciseconds` tells for how many
    tenths of a second the store had answered the sender without interruption,
    `store_answer_age_deciseconds` how long ago it last did. `stream_versions`
    are pairs of a stream that has begun and the software version of its target.
    `departed` are targets, with their incarnation, that have said in an answer
    that they leave. `part_records` concern parts of prompts that crash targets,
    `request_records` requests that do, `target_limits` the limits that targets
    name, `brittle_targets` those that fall over when they have to reject many
    requests. `unreachable_targets` are those to which the sender can make no
    connection, None if unchanged. `table_version` is the number of the
    configuration in force at the sender, 0 if it is not told. `event_steps` are
    software versions of services, and whether ids of their events jump.
    `target_paces` tell how long work takes on targets.
    """

    revision: StoreOrder
    sequence: int
    is_leaving: bool = False
    is_full: bool = False
    outstanding_requests: Pairs = ()
    prefill_tokens: Pairs = ()
    prompts: tuple[CachedPrompt, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()
    store_contact_deciseconds: int = 0
    store_answer_age_deciseconds: int = 0
    stream_versions: Pairs = ()
    departed: tuple[Departure, ...] = ()
    part_records: tuple[LossRecord, ...] = ()
    target_limits: tuple[LimitRecord, ...] = ()
    brittle_targets: tuple[BrittleRecord, ...] = ()
    request_records: tuple[LossRecord, ...] = ()
    unreachable_targets: tuple[int, ...] | None = None
    table_version: int = 0
    event_steps: tuple[StepRecord, ...] = ()
    target_paces: tuple[PaceRecord, ...] = ()


class SharedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the store; without a value, it was deleted at `revision`."""

    key: str
    revision: StoreOrder
    value: bytes | None


class EntriesPull(Frame, frozen=True, array_like=True, tag=12):
    """Asks for the store's entries that have changed after `revision`.

    `takes_packed` tells whether the sender can read compressed entries; routers
    of earlier builds cannot.
    """

    revision: StoreOrder
    takes_packed: bool = False


class EntriesPush(Frame, frozen=True, array_like=True, tag=13):
    """The store's entries that have changed since the requested revision.

    If `is_complete`, these are all entries: any other entry has been deleted.
    For another `removal_grace_seconds`, deleted targets may still register
    again. The requested revision is `base_revision`. `packed` has large
    entries, compressed, in place of `entries`.
    """

    revision: StoreOrder
    entries: tuple[SharedEntry, ...]
    is_complete: bool = False
    removal_grace_seconds: float = 0
    base_revision: StoreOrder = NO_ORDER
    packed: bytes = b''


class EntryPatch(msgspec.Struct, frozen=True, array_like=True):
    """An entry at `revision`, as the difference from it at `base_revision`."""

    key: str
    base_revision: StoreOrder
    revision: StoreOrder
    patch: bytes


class StoreChanges(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the store after `base_revision`, up to `revision`.

    For another `removal_grace_seconds`, deleted targets may still register
    again. `patches` holds the changes of large entries. If `is_partial` is set,
    some changes are missing, and the receiver stays behind `revision`. The
    routers of `large_receivers` get the large ones in a message of their own.
    """

    base_revision: StoreOrder
    revision: StoreOrder
    entries: tuple[SharedEntry, ...]
    removal_grace_seconds: float = 0
    patches: tuple[EntryPatch, ...] = ()
    is_partial: bool = False
    large_receivers: tuple[int, ...] = ()


class LargeChanges(Frame, frozen=True, array_like=True, tag=20):
    """All changes since `base_revision`, with differences of any size."""

    changes: StoreChanges


class UpdateBatch(Frame, frozen=True, array_like=True, tag=16):
    """Updates of several routers, forwarded by a relay.

    `follows_store` tells whether the sender reads the store itself,
    `revision` is the store revision that it knows, `knowledge_age_deciseconds`
    the age of that in tenths of a second: older versions do not tell it, and
    watch for two seconds. `listed` holds caches that engines have listed after
    the start of routers. Changes with patches and partial ones are in
    `extended_changes`: older versions know only `store_changes` and would count
    as up to date without what is missing.
    """

    follows_store: bool
    revision: StoreOrder
    updates: tuple[RouterUpdate, ...]
    store_changes: StoreChanges | None = None
    listed: tuple[CachedPrompt, ...] = ()
    extended_changes: StoreChanges | None = None
    knowledge_age_deciseconds: int = 26


class CachesPull(Frame, frozen=True, array_like=True, tag=14):
    """Asks for all prompts that the receiver believes engines have cached."""


class CachesPush(Frame, frozen=True, array_like=True, tag=15):
    """Prompts that the sender believes engines have cached.

    `is_last` is set in the last of several messages.
    """

    prompts: tuple[CachedPrompt, ...]
    is_last: bool = True


class CachesRefusal(Frame, frozen=True, array_like=True, tag=17):
    """Tells a router to request the cached prompts from another one."""


class StreamPull(Frame, frozen=True, array_like=True, tag=18):
    """Asks which software version began a stream of a service, by wire id.

    The answer repeats the number of the `question`. If `wants_current`, another
    answer follows once the receiver knows what the store holds now.
    """

    stream: int
    service: str
    question: int = 0
    wants_current: bool = False


class StreamPush(Frame, frozen=True, array_like=True, tag=19):
    """What the sender knows of a stream.

    `version` is None if it does not know the version. Streams of several
    versions of the service may be resumed for another `mixed_seconds`.
    `is_confirmed` is false if the sender does not know which versions have
    served lately; routers of earlier builds do not tell. `store_heard_seconds`
    is the time since the store last answered the sender, None if it never has
    or the sender does not tell. Builds before `question` tell none of what
    follows: `only_version` is the only version of the service that the sender
    has seen lately, None if it has seen several, or none. It has seen all since
    the oldest streams began if it `remembers`. `knowledge_age_seconds` is the
    age, when the question came, of what the store has told it, None without an
    answer.
    """

    stream: int
    service: str
    version: int | None
    mixed_seconds: float
    is_confirmed: bool = True
    store_heard_seconds: float | None = None
    question: int = 0
    only_version: int | None = None
    remembers: bool = False
    knowledge_age_seconds: float | None = None


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
    | LargeChanges
    | UpdateBatch
    | EntriesPull
    | EntriesPush
    | CachesPull
    | CachesPush
    | CachesRefusal
    | StreamPull
    | StreamPush
)
_decoder: Any = msgspec.msgpack.Decoder(_Any)
_encoder = msgspec.msgpack.Encoder()


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(frame)


def decode_frame(content: bytes) -> Frame:
    """Return the decoded message. Raises FrameError if it is invalid."""
    if len(content) > MAX_FRAME_BYTES:
        raise FrameError('The frame is too long: check who sends to this port.')
    try:
        return _decoder.decode(content)
    except DECODING_ERRORS as exc:
        raise FrameError(f'{exc}: check who sends to this port.') from exc
