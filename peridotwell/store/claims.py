"""Claims, which ensure that an idempotency key is run at most once.

A router creates a claim in the platform's service by compare-and-swap before
it sends a request to a target. A claim is never transferred: if its holder
crashes, the outcome stays unknown. Only the holder may mark its claim as not
run; the key can then be claimed again.
"""

import hashlib
import uuid
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.idempotency_key import key_timestamp
from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.errors import (
    ClaimUnavailable,
    IdempotencyKeyReused,
    OutcomeUnknown,
    RequestInProgress,
    StoreConflict,
    StoreError,
    StoreResponseLost,
)
from peridotwell.logs import log_failure
from peridotwell.store.base import Entry, KeyValueStore

__all__ = (
    'ClaimState',
    'StoredResponse',
    'ClaimRecord',
    'Claim',
    'Settlement',
    'ClaimStore',
)

CLAIM_ATTEMPTS = 3
SETTLE_ATTEMPTS = 3
MAX_PENDING_SETTLEMENTS = 10_000
RETRY_AFTER_SECONDS = 2
# The longest claim window that the configuration allows, plus a margin: keys
# may come from clocks that are ahead, and the claims that a router makes
# within LEASE_REUSE_SECONDS share one lease.
CLAIM_LEASE_SECONDS = 93_600
LEASE_REUSE_SECONDS = 3600


class ClaimState(Enum):
    """The state of the request under an idempotency key."""

    claimed = 'claimed'
    not_run = 'not_run'
    done = 'done'
    unknown = 'unknown'


class StoredResponse(msgspec.Struct, frozen=True):
    """A response that is returned to resends of the request.

    `body` is None if it was too large to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimRecord(msgspec.Struct, frozen=True):
    """The stored state of one key; times are seconds since the epoch."""

    state: ClaimState
    nonce: str
    request_hash: str
    holder: str
    ends_by: float
    answer: StoredResponse | None = None


@dataclass(frozen=True)
class Claim:
    """A claim that this router holds.

    The record is deleted when `lease` expires, or never if `lease` is empty.
    """

    key: str
    record: ClaimRecord
    revision: StoreOrder
    lease: str


@dataclass(frozen=True)
class Settlement:
    """The outcome of a claimed request, as the record to write."""

    claim: Claim
    record: ClaimRecord


class ClaimStore:
    """Creates and settles claims in the platform's service.

    Records of keys with a timestamp expire by a lease after the claim window;
    records of other keys are kept indefinitely. Outcomes that could not be
    recorded immediately are kept in this router's memory and retried.
    """

    def __init__(self, store: KeyValueStore, holder: str) -> None:
        self._store = store
        self._holder = holder
        self._lease = ''
        self._lease_until = float(0)
        self._pending: dict[str, Settlement] = {}

    @property
    def pending_count(self) -> int:
        """The number of outcomes that are not recorded yet."""
        return len(self._pending)

    async def claim(
        self,
        request: CallerRequest,
        ends_by: float,
        wall_time: float,
    ) -> Claim | StoredResponse:
        """Claim a request's key, or return the response of its earlier run.

        `ends_by` is the latest end of the request in seconds since the epoch.
        Raises ClaimUnavailable (not run) if the service does not respond,
        IdempotencyKeyReused, RequestInProgress or OutcomeUnknown.
        """
        try:
            lease = await self._get_lease(request.idempotency_key, wall_time)
        except StoreError as exc:
            raise _claim_unavailable() from exc
        record = ClaimRecord(
            ClaimState.claimed,
            uuid.uuid4().hex,
            _request_hash(request),
            self._holder,
            ends_by,
        )
        claim = Claim(_record_key(request), record, NO_ORDER, lease)
        try:
            return await self._create(claim, wall_time)
        except StoreError as exc:
            # The claim may have been created, but nothing was run under it.
            await self.settle(claim, ClaimState.not_run)
            raise _claim_unavailable() from exc

    async def settle(
        self,
        claim: Claim,
        state: ClaimState,
        response: StoredResponse | None = None,
    ) -> bool:
        """Record the outcome of a claim; return False if it is left pending."""
        record = msgspec.structs.replace(
            claim.record,
            state=state,
            answer=response,
        )
        settlement = Settlement(claim, record)
        try:
            await self._write_settlement(settlement)
        except StoreError:
            if len(self._pending) >= MAX_PENDING_SETTLEMENTS:
                oldest = next(iter(self._pending))
                self._pending.pop(oldest)
                log_failure('claim.outcome_dropped', nonce=oldest)
            self._pending[claim.record.nonce] = settlement
            return False
        return True

    async def settle_pending(self) -> None:
        """Try once to record all pending outcomes. Raises StoreError."""
        for nonce, settlement in tuple(self._pending.items()):
            await self._write_settlement(settlement)
            self._pending.pop(nonce, None)

    async def _create(
        self, claim: Claim, wall_time: float
    ) -> Claim | StoredResponse:
        """Create the record; after a lost response, read it back.

        The nonce distinguishes this router's write from others. A stale read
        is harmless, because the compare-and-swap based on it fails.
        """
        expected = NO_ORDER
        for _ in range(CLAIM_ATTEMPTS):
            try:
                revision = await self._write(claim, claim.record, expected)
            except (StoreResponseLost, StoreConflict):
                entry = await self._store.read(claim.key)
            else:
                return replace(claim, revision=revision)
            if entry is None:
                expected = NO_ORDER
                continue
            expected = entry.revision
            stored = _decode_record(entry)
            if stored.nonce == claim.record.nonce:
                return replace(claim, revision=expected)
            if stored.state is not ClaimState.not_run:
                return _earlier_response(stored, claim.record, wall_time)
        raise StoreResponseLost(f'claim {claim.key} is not confirmed')

    async def _write_settlement(self, settlement: Settlement) -> None:
        claim = settlement.claim
        revision = claim.revision
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await self._write(claim, settlement.record, revision)
            except (StoreResponseLost, StoreConflict):
                entry = await self._store.read(claim.key)
            else:
                return
            if entry is not None:
                if not _is_unsettled(entry, claim):
                    return
                revision = entry.revision
        raise StoreResponseLost(f'claim {claim.key} is not settled')

    async def _write(
        self,
        claim: Claim,
        record: ClaimRecord,
        expected: StoreOrder,
    ) -> StoreOrder:
        return await self._store.write(
            claim.key,
            msgspec.json.encode(record),
            expected=expected,
            lease=claim.lease,
        )

    async def _get_lease(self, key: str, wall_time: float) -> str:
        """Return a lease for a key's record, or '' for a key without a time."""
        if key_timestamp(key) is None:
            return ''
        if wall_time >= self._lease_until:
            self._lease = await self._store.grant_lease(CLAIM_LEASE_SECONDS)
            self._lease_until = wall_time + LEASE_REUSE_SECONDS
        return self._lease


def _record_key(request: CallerRequest) -> str:
    scope = '\n'.join(
        (request.customer, request.contract.prefix, request.idempotency_key)
    )
    return f'claims/{hashlib.sha256(scope.encode()).hexdigest()}'


def _request_hash(request: CallerRequest) -> str:
    digest = hashlib.sha256(f'{request.method} {request.path}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()


def _decode_record(entry: Entry) -> ClaimRecord:
    try:
        return msgspec.json.decode(entry.value, type=ClaimRecord)
    except DECODING_ERRORS as exc:
        raise StoreError(
            f'the claim {entry.key} cannot be decoded: {exc}'
        ) from exc


def _is_unsettled(entry: Entry, claim: Claim) -> bool:
    stored = _decode_record(entry)
    return (
        stored.nonce == claim.record.nonce
        and stored.state is ClaimState.claimed
    )


def _earlier_response(
    stored: ClaimRecord,
    requested: ClaimRecord,
    wall_time: float,
) -> StoredResponse:
    if stored.request_hash != requested.request_hash:
        raise IdempotencyKeyReused(
            'The idempotency key was used with another request: create a new '
            'key for each request.',
        )
    if stored.state is ClaimState.done and stored.answer is not None:
        return stored.answer
    if stored.state is ClaimState.claimed and wall_time < stored.ends_by:
        raise RequestInProgress(
            'The request is running: send it again with the same key later.',
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    raise OutcomeUnknown(
        'An earlier attempt with this key may have run and will not be run '
        'again: check whether it took effect before using a new key.',
    )


def _claim_unavailable() -> ClaimUnavailable:
    return ClaimUnavailable(
        "The platform's service did not respond, so the request was not run: "
        'send it again with the same key.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
