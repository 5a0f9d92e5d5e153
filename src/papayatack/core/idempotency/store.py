"""In-memory store of outcomes by shard and idempotency key, with bounded size."""

import dataclasses
from collections import OrderedDict

from papayatack.core.errors import ErrorKind, Outcome, Refusal
from papayatack.core.heap import KeyedHeap
from papayatack.core.idempotency.outcomes import (
    ENTRY_OVERHEAD_BYTES,
    Decision,
    ExportPart,
    Join,
    PriorOutcomes,
    Refuse,
    Replay,
    Run,
    StoredOutcome,
    StoredResponse,
    split_outcomes,
)
from papayatack.core.identity import ShardId

__all__ = ["IdempotencyStore"]

WINDOW_S = 600.0
"""Time for which an outcome is retained."""

MAX_ENTRIES = 50_000
MAX_BYTES = 16 * 1024 * 1024
MAX_RESPONSE_BYTES = 64 * 1024

MAX_WAITERS = 64
"""Repeats that may wait for one running request."""

MAX_KEY_BYTES = 256

RETRY_AFTER_S = 0.5
"""Retry-After during a handover, and when too many repeats are waiting."""


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Record:
    """The record of one key; its request is running while ``expires_s`` is ``None``.

    Attributes:
        shard: The shard that held the key when the request began.
        key: The caller's idempotency key.
        fingerprint: Digest of the first request that used the key.
        expires_s: Event loop time at which the record expires.
        response: The stored response; ``None`` if it is unknown or was discarded.
        waiters: Ids of the repeats that wait for the request to end.
    """

    shard: ShardId
    key: str
    fingerprint: bytes
    expires_s: float | None = None
    response: StoredResponse | None = None
    waiters: list[int] = dataclasses.field(default_factory=list)

    @property
    def fixed_size(self) -> int:
        """Memory that the record takes without its response, in bytes."""
        return len(self.key) + len(self.fingerprint) + ENTRY_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True, kw_only=True)
class _ShardState:
    """The records of a shard, and what is unknown about its keys.

    Attributes:
        token: Fencing token of the current tenure.
        expected_part: Index of the next part of a handover; ``None`` if no handover is
            in progress.
        unknown_until_s: Event loop time until which keys that a lost owner had seen may
            be repeated.
        unknown_before: First fencing token issued after that loss.
        records: The records by key.
    """

    token: int
    expected_part: int | None = None
    unknown_until_s: float = float("-inf")
    unknown_before: int = 0
    records: dict[str, _Record] = dataclasses.field(default_factory=dict)


class IdempotencyStore:
    """Holds the outcomes of all shards that one node owns.

    Args:
        window_s: Seconds for which an outcome is retained.
        max_entries: Maximum number of keys. Outcomes that are handed over to this node
            are stored even beyond it.
        max_bytes: Maximum size of keys and responses, in bytes. Keys that are handed
            over to this node are stored even beyond it.
        max_response_bytes: Size above which a response is not stored, in bytes.
    """

    def __init__(
        self,
        *,
        window_s: float = WINDOW_S,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._window_s = window_s
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._max_response_bytes = max_response_bytes
        self._shards: dict[ShardId, _ShardState] = {}
        self._expiries: KeyedHeap[_Record] = KeyedHeap()
        self._records_with_response: OrderedDict[_Record, None] = OrderedDict()
        self._entries = 0
        self._bytes = 0
        self._last_waiter_id = 0

    @property
    def entries(self) -> int:
        """Number of recorded keys."""
        return self._entries

    @property
    def size(self) -> int:
        """Estimated size of all records and stored responses, in bytes."""
        return self._bytes

    def open_shard(
        self, now: float, shard: ShardId, *, token: int, prior_outcomes: PriorOutcomes
    ) -> None:
        """Start to record outcomes of a shard that this node now owns.

        Args:
            now: Event loop time.
            shard: The shard.
            token: Fencing token of the new tenure.
            prior_outcomes: What is known about the outcomes of earlier owners. A shard
                without records is treated as ``LOST`` if ``RETAINED`` is given.
        """
        if prior_outcomes is PriorOutcomes.RETAINED and shard in self._shards:
            self._shards[shard].token = token
            return
        self.close_shard(shard)
        state = _ShardState(token=token)
        if prior_outcomes is PriorOutcomes.EXPECTED:
            state.expected_part = 0
        elif prior_outcomes is not PriorOutcomes.NONE:
            state.unknown_until_s = now + self._window_s
            state.unknown_before = token
        self._shards[shard] = state

    def abandon_handover(self, now: float, shard: ShardId) -> None:
        """Treat the previous owner as lost if its handover is incomplete."""
        state = self._shards.get(shard)
        if state is not None and state.expected_part is not None:
            state.expected_part = None
            state.unknown_until_s = now + self._window_s
            state.unknown_before = state.token

    def record_owner_loss(self, since_s: float, shard: ShardId, *, token: int) -> None:
        """Record that another node may have owned the shard since the last tenure.

        Existing records stay valid, since their requests were run on this node.

        Args:
            since_s: Event loop time at which the new tenure began.
            shard: The shard.
            token: Fencing token of the new tenure.
        """
        state = self._shards[shard]
        state.token = token
        state.unknown_until_s = max(state.unknown_until_s, since_s + self._window_s)
        state.unknown_before = token

    def expect_handover(self, shard: ShardId, *, token: int) -> None:
        """Expect the previous owner's outcomes, in addition to the existing records."""
        state = self._shards[shard]
        state.token = token
        state.expected_part = 0

    def find_expected_part(self, shard: ShardId) -> int | None:
        """Return the index of the next expected handover part, if there is one."""
        state = self._shards.get(shard)
        return None if state is None else state.expected_part

    def has_records(self, now: float, shard: ShardId) -> bool:
        """Return whether any key of a shard is recorded."""
        self._expire(now)
        state = self._shards.get(shard)
        return state is not None and bool(state.records)

    def has_key(self, now: float, shard: ShardId, key: str) -> bool:
        """Return whether a key of a shard is recorded."""
        self._expire(now)
        state = self._shards.get(shard)
        return state is not None and key in state.records

    def is_incomplete(self, now: float, shard: ShardId) -> bool:
        """Return whether unrecorded keys may have been used under an earlier owner.

        That holds during a handover, and while keys that a lost owner had seen may
        still be repeated.
        """
        state = self._shards.get(shard)
        if state is None:
            return False
        return state.expected_part is not None or now < state.unknown_until_s

    def is_idle(self, now: float, shard: ShardId) -> bool:
        """Return whether a shard can be closed without affecting any decision."""
        return not self.has_records(now, shard) and not self.is_incomplete(now, shard)

    def close_shard(self, shard: ShardId) -> tuple[int, ...]:
        """Remove a shard; return the ids of the repeats that were still waiting."""
        state = self._shards.pop(shard, None)
        if state is None:
            return ()
        waiters: list[int] = []
        for record in state.records.values():
            waiters.extend(record.waiters)
            self._unlink(record)
        return tuple(waiters)

    def begin(
        self,
        now: float,
        shard: ShardId,
        key: str,
        fingerprint: bytes,
        *,
        first_attempt_token: int | None = None,
    ) -> Decision:
        """Decide how to handle a keyed request.

        Args:
            now: Event loop time.
            shard: The shard under which the request is recorded.
            key: The caller's idempotency key.
            fingerprint: Digest of everything that must be equal in a repeat.
            first_attempt_token: Fencing token under which, according to the caller, the
                request was first sent; ``None`` if unknown.
        """
        self._expire(now)
        state = self._shards.get(shard)
        if state is None:
            return _refuse(ErrorKind.NOT_OWNER, "the shard is not owned by this node")
        record = state.records.get(key)
        if record is not None:
            return self._handle_repeat(record, fingerprint)
        if state.expected_part is not None:
            return _refuse(
                ErrorKind.NO_OWNER,
                "outcomes of the previous owner are being handed over",
                RETRY_AFTER_S,
            )
        if (
            now < state.unknown_until_s
            and (first_attempt_token or 0) < state.unknown_before
        ):
            return _refuse(
                ErrorKind.IDEMPOTENCY_UNKNOWN,
                "the key may have been used before the previous owner was lost",
                token=state.token,
            )
        return self._admit(state, shard, key, fingerprint)

    def complete(
        self,
        now: float,
        shard: ShardId,
        key: str,
        *,
        outcome: Outcome,
        response: StoredResponse | None = None,
    ) -> tuple[int, ...]:
        """Record the outcome of a request that :meth:`begin` decided to run.

        A request that was not run frees its key. One whose outcome is unknown keeps the
        key reserved, so that no repeat is run.

        Returns:
            Ids of the waiting repeats, which get the same result as the first request.
        """
        state = self._shards.get(shard)
        record = state.records.get(key) if state is not None else None
        if record is None or record.expires_s is not None:
            return ()
        waiters = tuple(record.waiters)
        record.waiters.clear()
        if outcome is Outcome.NOT_RUN:
            self._drop(record)
            return waiters
        record.expires_s = now + self._window_s
        self._expiries.put(record, record.expires_s)
        if outcome is Outcome.ANSWERED and response is not None:
            self._store_response(record, response)
        return waiters

    def remove_waiter(self, shard: ShardId, key: str, waiter_id: int) -> None:
        """Remove a waiting repeat whose caller has disconnected."""
        state = self._shards.get(shard)
        record = state.records.get(key) if state is not None else None
        if record is not None and waiter_id in record.waiters:
            record.waiters.remove(waiter_id)

    def export_shard(
        self, now: float, shard: ShardId, *, max_bytes: int = 64 * 1024
    ) -> tuple[ExportPart, ...]:
        """Return a released shard's outcomes in parts of at most ``max_bytes``.

        No request should be running in a released shard; one that is still running is
        exported with an unknown outcome.
        """
        self._expire(now)
        state = self._shards.get(shard)
        if state is None:
            return ()
        if state.expected_part is not None:
            self.abandon_handover(now, shard)
        parts = split_outcomes(
            [self._export_record(now, record) for record in state.records.values()],
            max_bytes,
        )
        return tuple(
            ExportPart(
                shard=shard,
                index=index,
                last=index == len(parts) - 1,
                unknown_remaining_s=max(0.0, state.unknown_until_s - now),
                unknown_before=state.unknown_before,
                outcomes=tuple(part),
            )
            for index, part in enumerate(parts)
        )

    def import_part(self, now: float, part: ExportPart) -> bool:
        """Import outcomes of the previous owner; return if they were those expected.

        Duplicate and out-of-order parts are ignored: the expected part is requested
        again until it arrives.
        """
        state = self._shards.get(part.shard)
        if state is None or state.expected_part != part.index:
            return False
        for stored in part.outcomes:
            self._import_record(now, state, part.shard, stored)
        if part.unknown_remaining_s > 0:
            until_s = now + part.unknown_remaining_s
            state.unknown_until_s = max(state.unknown_until_s, until_s)
            state.unknown_before = max(state.unknown_before, part.unknown_before)
        state.expected_part = None if part.last else part.index + 1
        return True

    def _handle_repeat(self, record: _Record, fingerprint: bytes) -> Decision:
        """Decide on a request whose key is already recorded."""
        if record.fingerprint != fingerprint:
            return _refuse(
                ErrorKind.IDEMPOTENCY_MISMATCH,
                "the key was used by a different request",
            )
        if record.response is not None:
            return Replay(response=record.response)
        if record.expires_s is not None:
            return _refuse(
                ErrorKind.IDEMPOTENCY_UNKNOWN,
                "the response to the first attempt is not available",
            )
        if len(record.waiters) >= MAX_WAITERS:
            return _refuse(
                ErrorKind.IDEMPOTENCY_UNKNOWN,
                "the request is running and too many repeats are waiting for it",
                RETRY_AFTER_S,
            )
        self._last_waiter_id += 1
        record.waiters.append(self._last_waiter_id)
        return Join(waiter_id=self._last_waiter_id)

    def _admit(
        self, state: _ShardState, shard: ShardId, key: str, fingerprint: bytes
    ) -> Decision:
        """Record a new key, if there is memory for its outcome."""
        record = _Record(shard=shard, key=key, fingerprint=fingerprint)
        if len(key) > MAX_KEY_BYTES:
            return _refuse(ErrorKind.HEADER_TOO_LARGE, "Idempotency-Key is too long")
        self._evict_responses(record.fixed_size)
        if (
            self._entries >= self._max_entries
            or self._bytes + record.fixed_size > self._max_bytes
        ):
            return _refuse(
                ErrorKind.QUEUE_FULL,
                "no memory for another idempotency key",
                self._window_s / 10,
            )
        state.records[key] = record
        self._entries += 1
        self._bytes += record.fixed_size
        return Run()

    def _store_response(self, record: _Record, response: StoredResponse) -> None:
        if response.size > min(self._max_response_bytes, self._max_bytes):
            return
        self._evict_responses(response.size)
        if self._bytes + response.size > self._max_bytes:
            return
        record.response = response
        self._records_with_response[record] = None
        self._bytes += response.size

    def _evict_responses(self, needed: int) -> None:
        """Discard the oldest responses, but not their keys, until there is room."""
        while self._records_with_response and self._bytes + needed > self._max_bytes:
            record, _ = self._records_with_response.popitem(last=False)
            self._bytes -= record.response.size
            record.response = None

    def _export_record(self, now: float, record: _Record) -> StoredOutcome:
        expires_s = record.expires_s
        remaining_s = self._window_s if expires_s is None else expires_s - now
        return StoredOutcome(
            key=record.key,
            fingerprint=record.fingerprint,
            remaining_s=remaining_s,
            response=record.response,
        )

    def _import_record(
        self, now: float, state: _ShardState, shard: ShardId, stored: StoredOutcome
    ) -> None:
        """Record an outcome that was handed over, even beyond the configured limits.

        Dropping the record could allow its key to run a second time.
        """
        if stored.key in state.records:
            return
        record = _Record(
            shard=shard,
            key=stored.key,
            fingerprint=stored.fingerprint,
            expires_s=now + stored.remaining_s,
        )
        self._evict_responses(record.fixed_size)
        state.records[stored.key] = record
        self._entries += 1
        self._bytes += record.fixed_size
        self._expiries.put(record, record.expires_s)
        if stored.response is not None:
            self._store_response(record, stored.response)

    def _expire(self, now: float) -> None:
        while (head := self._expiries.peek()) is not None and head[0] <= now:
            self._drop(head[1])

    def _drop(self, record: _Record) -> None:
        del self._shards[record.shard].records[record.key]
        self._unlink(record)

    def _unlink(self, record: _Record) -> None:
        """Remove a record from the totals and from the expiry and eviction orders."""
        self._expiries.remove(record)
        self._entries -= 1
        self._bytes -= record.fixed_size
        if record.response is not None:
            del self._records_with_response[record]
            self._bytes -= record.response.size


def _refuse(
    kind: ErrorKind,
    detail: str,
    retry_after_s: float | None = None,
    *,
    token: int | None = None,
) -> Refuse:
    return Refuse(
        refusal=Refusal(kind=kind, detail=detail, retry_after_s=retry_after_s),
        token=token,
    )
