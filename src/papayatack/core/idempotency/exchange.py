"""Outcomes on their way from the node that released a shard to the next one."""

import dataclasses

from papayatack.core.idempotency.outcomes import Outcomes, StoredOutcome, StoredResponse
from papayatack.core.idempotency.registry import IdempotencyRegistry
from papayatack.core.idempotency.tenures import Tenure
from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import (
    AnswerField,
    KeyOutcome,
    OutcomePart,
    OutcomeQuery,
)

__all__ = ["OutcomeExchange"]

MICROSECONDS = 1_000_000
QUERY_INTERVAL_S = 0.2
EXPORT_KEPT_S = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Export:
    """The parts of a shard that was released after one tenure.

    They are cut once only, so that no outcome moves to a part that was sent before.
    """

    number: int
    parts: tuple[Outcomes, ...]
    cut_s: float
    taken: bool = False


class OutcomeExchange:
    """Asks for the outcomes of shards that were released to this node, and answers.

    Args:
        memory: The node's memory.
    """

    def __init__(self, *, memory: IdempotencyRegistry) -> None:
        self._memory = memory
        self._exports: dict[ShardId, _Export] = {}
        self._asked_s: dict[ShardId, float] = {}

    def list_queries(
        self, now: float, tenures: list[Tenure]
    ) -> list[tuple[IncarnationId, OutcomeQuery]]:
        """Return what to ask whom now, for tenures that began lately."""
        found = []
        for tenure in tenures:
            last_s = self._asked_s.get(tenure.shard, float("-inf"))
            if now >= last_s + QUERY_INTERVAL_S:
                found.extend(self._list_query(now, tenure))
        return found

    def _list_query(
        self, now: float, tenure: Tenure
    ) -> list[tuple[IncarnationId, OutcomeQuery]]:
        index = self._memory.find_awaited_part(now, tenure)
        if index is None or tenure.predecessor is None:
            return []
        self._asked_s[tenure.shard] = now
        query = OutcomeQuery(
            shard=tenure.shard, epoch=tenure.predecessor_epoch, index=index
        )
        return [(tenure.predecessor, query)]

    def answer_query(
        self, now: float, stopped: Tenure, epoch: int, query: OutcomeQuery
    ) -> OutcomePart | None:
        """Return the part that is asked for, if this node can vouch for it.

        Args:
            now: The current time.
            stopped: This node's last tenure of the shard, which it has released.
            epoch: Epoch under which it served the shard last.
            query: The query.
        """
        if query.epoch != epoch:
            return None
        self._drop_old(now)
        export = self._exports.get(query.shard)
        if export is None or export.number != stopped.number:
            parts = self._memory.export_shard(now, stopped)
            export = _Export(number=stopped.number, parts=parts, cut_s=now)
            self._exports[query.shard] = export
        if not 0 <= query.index < len(export.parts):
            return None
        part = export.parts[query.index]
        export.taken = export.taken or part.last
        return _encode_part(part, epoch)

    def _drop_old(self, now: float) -> None:
        """Free the parts that nobody can await any more."""
        for export in self._exports.values():
            if now > export.cut_s + EXPORT_KEPT_S:
                export.parts = ()

    def receive_part(
        self, now: float, sender: IncarnationId, tenure: Tenure, part: OutcomePart
    ) -> list[tuple[IncarnationId, OutcomeQuery]]:
        """Take over a part; return the query for the next one."""
        if sender != tenure.predecessor or part.epoch != tenure.predecessor_epoch:
            return []
        if not self._memory.import_part(now, tenure, _decode_part(part)):
            return []
        return self._list_query(now, tenure)

    def has_pending_exports(self, now: float, shards: list[ShardId]) -> bool:
        """Tell whether remembered keys of released shards were not yet asked for."""
        left = set(shards) & set(self._memory.list_remembered(now))
        return any(
            shard not in self._exports or not self._exports[shard].taken
            for shard in left
        )


def _encode_part(part: Outcomes, epoch: int) -> OutcomePart:
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
    answer = stored.answer or StoredResponse(status=0)
    return KeyOutcome(
        key=stored.key,
        fingerprint=stored.fingerprint,
        remaining_us=int(stored.remaining_s * MICROSECONDS),
        status=answer.status,
        headers=tuple(
            AnswerField(name=name, value=value) for name, value in answer.headers
        ),
        body=answer.body,
    )


def _decode_part(part: OutcomePart) -> Outcomes:
    return Outcomes(
        shard=part.shard,
        index=part.index,
        last=part.last,
        unknown_remaining_s=part.unknown_remaining_us / MICROSECONDS,
        unknown_before=part.unknown_before,
        outcomes=tuple(_decode_outcome(outcome) for outcome in part.outcomes),
    )


def _decode_outcome(outcome: KeyOutcome) -> StoredOutcome:
    answer = None
    if outcome.status:
        headers = tuple((field.name, field.value) for field in outcome.headers)
        answer = StoredResponse(
            status=outcome.status, headers=headers, body=outcome.body
        )
    return StoredOutcome(
        key=outcome.key,
        fingerprint=outcome.fingerprint,
        remaining_s=outcome.remaining_us / MICROSECONDS,
        answer=answer,
    )
