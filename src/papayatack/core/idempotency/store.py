"""The store of one node: what it keeps, forgets, and hands over."""

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
MAX_ENTRIES = 50_000
MAX_BYTES = 16 * 1024 * 1024
MAX_RESPONSE_BYTES = 64 * 1024
MAX_WAITERS = 64
MAX_KEY_BYTES = 256
RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Record:
    """A key's state: running while ``expires_s`` is ``None``."""

    shard: ShardId
    key: str
    fingerprint: bytes
    expires_s: float | None = None
    response: StoredResponse | None = None
    waiters: list[int] = dataclasses.field(default_factory=list)

    @property
    def fixed_size(self) -> int:
        return len(self.key) + len(self.fingerprint) + ENTRY_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True, kw_only=True)
class _ShardState:
    """What is known of a shard's keys."""

    token: int
    expected_part: int | None = None
    unknown_until_s: float = float("-inf")
    unknown_before: int = 0
    records: dict[str, _Record] = dataclasses.field(default_factory=dict)


class IdempotencyStore:
    """Keeps the outcomes of all shards that one node owns.

    Args:
        window_s: Seconds for which an outcome is kept.
        max_entries: Keys that are kept at most.
        max_bytes: Bytes that keys and answers take at most.
        max_answer_bytes: Size up to which an answer is kept.
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
        """Number of keys in memory."""
        return self._entries

    @property
    def size(self) -> int:
        """Bytes that keys and answers take."""
        return self._bytes

    def open_shard(
        self, now: float, shard: ShardId, *, token: int, prior_outcomes: PriorOutcomes
    ) -> None:
        """Start to keep outcomes of a shard that this node now owns.

        Args:
            now: The current time.
            shard: The shard.
            token: Fencing token of the new tenure.
            inheritance: What became of the outcomes of the former owner.
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
        """Treat a shard whose outcomes did not all arrive as taken over by loss."""
        state = self._shards.get(shard)
        if state is not None and state.expected_part is not None:
            state.expected_part = None
            state.unknown_until_s = now + self._window_s
            state.unknown_before = state.token

    def record_owner_loss(self, since_s: float, shard: ShardId, *, token: int) -> None:
        """Note that another owner may have come in between.

        What is remembered stays: it was run here.

        Args:
            since_s: When the new tenure began.
            shard: The shard.
            token: Fencing token of the new tenure.
        """
        state = self._shards[shard]
        state.token = token
        state.unknown_until_s = max(state.unknown_until_s, since_s + self._window_s)
        state.unknown_before = token

    def expect_handover(self, shard: ShardId, *, token: int) -> None:
        """Await the outcomes of another owner, beside what is remembered here."""
        state = self._shards[shard]
        state.token = token
        state.expected_part = 0

    def find_expected_part(self, shard: ShardId) -> int | None:
        """Return the part of a handover that is awaited next, if one is."""
        state = self._shards.get(shard)
        return None if state is None else state.expected_part

    def has_records(self, now: float, shard: ShardId) -> bool:
        """Tell whether any key of a shard is remembered."""
        self._expire(now)
        state = self._shards.get(shard)
        return state is not None and bool(state.records)

    def has_key(self, now: float, shard: ShardId, key: str) -> bool:
        """Tell whether a key of a shard is remembered."""
        self._expire(now)
        state = self._shards.get(shard)
        return state is not None and key in state.records

    def is_incomplete(self, now: float, shard: ShardId) -> bool:
        """Tell whether keys of a lost owner may still be repeated."""
        state = self._shards.get(shard)
        if state is None:
            return False
        return state.expected_part is not None or now < state.unknown_until_s

    def is_idle(self, now: float, shard: ShardId) -> bool:
        """Tell whether nothing that matters is remembered of a shard."""
        return not self.has_records(now, shard) and not self.is_incomplete(now, shard)

    def close_shard(self, shard: ShardId) -> tuple[int, ...]:
        """Forget a shard; return the repeats that still wait for an outcome."""
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
        """Decide what becomes of a keyed request.

        Args:
            now: The current time.
            shard: The shard of the request's own key.
            key: The caller's idempotency key.
            fingerprint: Digest of all that must be equal in a repeat.
            since: Fencing token under which the caller first sent the request, if
                it says so.
        """
        self._expire(now)
        state = self._shards.get(shard)
        if state is None:
            return _refuse(ErrorKind.NOT_OWNER, "shard is not served here")
        record = state.records.get(key)
        if record is not None:
            return self._handle_repeat(record, fingerprint)
        if state.expected_part is not None:
            return _refuse(
                ErrorKind.NO_OWNER, "outcomes are being handed over", RETRY_AFTER_S
            )
        if (
            now < state.unknown_until_s
            and (first_attempt_token or 0) < state.unknown_before
        ):
            return _refuse(
                ErrorKind.IDEMPOTENCY_UNKNOWN,
                "the key may have been used before the former owner was lost",
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
        """Record how a request that was run has ended.

        A request that was not run frees its key. One whose end is not known keeps
        it, so that no repeat is run.

        Returns:
            The repeats that joined; they get the same result as the first.
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
        """Forget a joined repeat whose caller left."""
        state = self._shards.get(shard)
        record = state.records.get(key) if state is not None else None
        if record is not None and waiter_id in record.waiters:
            record.waiters.remove(waiter_id)

    def export_shard(
        self, now: float, shard: ShardId, *, max_bytes: int = 64 * 1024
    ) -> tuple[ExportPart, ...]:
        """Return a released shard's outcomes in parts of bounded size.

        Nothing runs any more on a released shard; a request that still does is
        handed over as one whose end is not known.
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
        """Take over a part; return whether it was the awaited one.

        A part that comes twice is ignored. One that comes out of turn is ignored
        too, for its sender sends again from the first part not acknowledged.
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
        """Answer a request whose key is known."""
        if record.fingerprint != fingerprint:
            return _refuse(
                ErrorKind.IDEMPOTENCY_MISMATCH, "the key was used by another request"
            )
        if record.response is not None:
            return Replay(response=record.response)
        if record.expires_s is not None:
            return _refuse(
                ErrorKind.IDEMPOTENCY_UNKNOWN, "the first answer is not known any more"
            )
        if len(record.waiters) >= MAX_WAITERS:
            return _refuse(
                ErrorKind.IDEMPOTENCY_UNKNOWN,
                "the request is running and too many repeats wait for it",
                RETRY_AFTER_S,
            )
        self._last_waiter_id += 1
        record.waiters.append(self._last_waiter_id)
        return Join(waiter_id=self._last_waiter_id)

    def _admit(
        self, state: _ShardState, shard: ShardId, key: str, fingerprint: bytes
    ) -> Decision:
        """Note a new key, if there is memory for its outcome."""
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
        """Drop the oldest answers, but not their keys, until there is room."""
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
        """Keep an inherited outcome, over the limit of entries if need be."""
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
        """Take a record out of the sums and orders."""
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
