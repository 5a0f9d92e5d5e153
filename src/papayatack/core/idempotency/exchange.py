"""Handover of outcomes from the node that released a shard to its next owner."""

import dataclasses

from papayatack.core.idempotency.outcomes import (
    ExportPart,
    StoredOutcome,
    StoredResponse,
)
from papayatack.core.idempotency.registry import IdempotencyRegistry
from papayatack.core.idempotency.tenures import Tenure
from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import (
    AnswerField,
    KeyOutcome,
    OutcomePart,
    OutcomeQuery,
)
from papayatack.core.statuses import is_final_status

__all__ = ["OutcomeExchange"]

MICROSECONDS = 1_000_000
QUERY_INTERVAL_S = 0.2
"""Time after which a query that has not been answered is sent again."""

EXPORT_RETENTION_S = 10.0
"""Time for which the parts of a released shard are held for the next owner."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Export:
    """The exported parts of a shard that was released at the end of one tenure.

    The outcomes are split into parts only once: splitting again after some have expired
    could move an outcome into a part that has already been sent.

    Attributes:
        tenure_number: Number of the tenure.
        parts: The parts in order; empty once the retention time has passed.
        created_s: Event loop time at which the parts were created.
        last_part_sent: Whether the last part has been sent at least once.
    """

    tenure_number: int
    parts: tuple[ExportPart, ...]
    created_s: float
    last_part_sent: bool = False


class OutcomeExchange:
    """Fetches outcomes of shards released to this node and serves those it released.

    Args:
        registry: Holds this node's outcomes.
    """

    def __init__(self, *, registry: IdempotencyRegistry) -> None:
        self._registry = registry
        self._exports: dict[ShardId, _Export] = {}
        self._queried_s: dict[ShardId, float] = {}

    def list_queries(
        self, now: float, tenures: list[Tenure]
    ) -> list[tuple[IncarnationId, OutcomeQuery]]:
        """Return the queries due now, each with its recipient, for recent tenures."""
        queries = []
        for tenure in tenures:
            last_s = self._queried_s.get(tenure.shard, float("-inf"))
            if now >= last_s + QUERY_INTERVAL_S:
                queries.extend(self._make_query(now, tenure))
        return queries

    def _make_query(
        self, now: float, tenure: Tenure
    ) -> list[tuple[IncarnationId, OutcomeQuery]]:
        """Return the query for the next expected part, or an empty list."""
        index = self._registry.find_expected_part(now, tenure)
        if index is None or tenure.predecessor is None:
            return []
        self._queried_s[tenure.shard] = now
        query = OutcomeQuery(
            shard=tenure.shard, epoch=tenure.predecessor_epoch, index=index
        )
        return [(tenure.predecessor, query)]

    def answer_query(
        self, now: float, tenure: Tenure, epoch: int, query: OutcomeQuery
    ) -> OutcomePart | None:
        """Return the requested part, or ``None`` if this node cannot provide it.

        A node only provides outcomes for the epoch under which it last served a shard.

        Args:
            now: Event loop time.
            tenure: This node's last tenure of the shard, which it has released.
            epoch: Epoch under which this node last served the shard.
            query: The query of the shard's next owner.
        """
        if query.epoch != epoch:
            return None
        self._drop_expired_exports(now)
        export = self._exports.get(query.shard)
        if export is None or export.tenure_number != tenure.number:
            parts = self._registry.export_shard(now, tenure)
            export = _Export(tenure_number=tenure.number, parts=parts, created_s=now)
            self._exports[query.shard] = export
        if not 0 <= query.index < len(export.parts):
            return None
        part = export.parts[query.index]
        export.last_part_sent = export.last_part_sent or part.last
        return _encode_part(part, epoch)

    def _drop_expired_exports(self, now: float) -> None:
        """Free parts whose recipients have stopped waiting for them."""
        for export in self._exports.values():
            if now > export.created_s + EXPORT_RETENTION_S:
                export.parts = ()

    def receive_part(
        self, now: float, sender: IncarnationId, tenure: Tenure, part: OutcomePart
    ) -> list[tuple[IncarnationId, OutcomeQuery]]:
        """Import a part and return the query for the next one.

        Parts that are not from the predecessor and epoch of the tenure are ignored.
        """
        if sender != tenure.predecessor or part.epoch != tenure.predecessor_epoch:
            return []
        if not self._registry.import_part(now, tenure, _decode_part(part)):
            return []
        return self._make_query(now, tenure)

    def has_pending_exports(self, now: float, shards: list[ShardId]) -> bool:
        """Return whether outcomes of released shards were not yet requested in full."""
        recorded = set(shards) & set(self._registry.list_shards_with_records(now))
        return any(
            shard not in self._exports or not self._exports[shard].last_part_sent
            for shard in recorded
        )


def _encode_part(part: ExportPart, epoch: int) -> OutcomePart:
    return OutcomePart(
        shard=part.shard,
        epoch=epoch,
        index=part.index,
        last=part.last,
        unknown_remaining_us=int(part.unknown_remaining_s * MICROSECONDS),
        unknown_before=part.unknown_before,
        outcomes=tuple(_encode_outcome(stored) for stored in part.outcomes),
    )


def _encode_outcome(stored: StoredOutcome) -> KeyOutcome:
    response = stored.response or StoredResponse(status=0)
    return KeyOutcome(
        key=stored.key,
        fingerprint=stored.fingerprint,
        remaining_us=int(stored.remaining_s * MICROSECONDS),
        status=response.status,
        headers=tuple(
            AnswerField(name=name, value=value) for name, value in response.headers
        ),
        body=response.body,
    )


def _decode_part(part: OutcomePart) -> ExportPart:
    return ExportPart(
        shard=part.shard,
        index=part.index,
        last=part.last,
        unknown_remaining_s=part.unknown_remaining_us / MICROSECONDS,
        unknown_before=part.unknown_before,
        outcomes=tuple(_decode_outcome(outcome) for outcome in part.outcomes),
    )


def _decode_outcome(outcome: KeyOutcome) -> StoredOutcome:
    response = None
    if is_final_status(outcome.status):
        headers = tuple((field.name, field.value) for field in outcome.headers)
        response = StoredResponse(
            status=outcome.status, headers=headers, body=outcome.body
        )
    return StoredOutcome(
        key=outcome.key,
        fingerprint=outcome.fingerprint,
        remaining_s=outcome.remaining_us / MICROSECONDS,
        response=response,
    )
