"""Decides how to handle requests with an idempotency key while shards change owners."""

import xxhash

from papayatack.core.errors import ErrorKind, Outcome, Refusal
from papayatack.core.idempotency.outcomes import (
    Decision,
    ExportPart,
    PriorOutcomes,
    Refuse,
    StoredResponse,
)
from papayatack.core.idempotency.store import IdempotencyStore
from papayatack.core.idempotency.tenures import KeyTenure, Tenure
from papayatack.core.identity import ShardId
from papayatack.core.shards import is_hot_shard

__all__ = ["IdempotencyRegistry", "format_token"]

MAX_SHARDS = 10_000
"""Number of known shards from which idle ones are closed."""

HANDOVER_TIMEOUT_S = 2.0
"""Time from the start of a tenure after which an incomplete handover is abandoned."""


class IdempotencyRegistry:
    """Decides on keyed requests while shards are acquired, released, split and merged.

    A keyed request is one with an idempotency key. Its record stays with the shard that
    held the request's shard key when the request began. Therefore both a hot key's own
    shard and its parent are searched for a record.

    Args:
        store: Holds the records.
    """

    def __init__(self, *, store: IdempotencyStore) -> None:
        self._store = store
        self._tenures: dict[ShardId, Tenure] = {}

    def begin(
        self,
        now: float,
        owned: KeyTenure,
        key: str,
        fingerprint: bytes,
        *,
        first_attempt_token: str = "",
    ) -> tuple[ShardId, Decision]:
        """Decide how to handle a keyed request.

        Args:
            now: Event loop time.
            owned: The tenures of the request's shard key.
            key: The idempotency key, qualified so that callers cannot collide.
            fingerprint: Digest of everything that must be equal in a repeat.
            first_attempt_token: Formatted token under which, according to the caller,
                the request was first sent; empty if unknown.

        Returns:
            The shard under which the outcome is recorded, and the decision.
        """
        self._apply_tenures(now, owned)
        shard = owned.current.shard
        if not self._store.has_key(now, shard, key):
            if self._store.has_key(now, owned.related_shard, key):
                shard = owned.related_shard
                return shard, self._store.begin(now, shard, key, fingerprint)
            refused = self._check_related(now, owned, first_attempt_token)
            if refused is not None:
                return shard, refused
        token = _parse_token(shard, first_attempt_token)
        return shard, self._store.begin(
            now, shard, key, fingerprint, first_attempt_token=token
        )

    def complete(
        self,
        now: float,
        shard: ShardId,
        key: str,
        *,
        outcome: Outcome,
        response: StoredResponse | None = None,
    ) -> tuple[int, ...]:
        """Record the outcome of a run; return the ids of the waiting repeats."""
        return self._store.complete(now, shard, key, outcome=outcome, response=response)

    def remove_waiter(self, shard: ShardId, key: str, waiter_id: int) -> None:
        """Remove a waiting repeat whose caller has disconnected."""
        self._store.remove_waiter(shard, key, waiter_id)

    def find_expected_part(self, now: float, tenure: Tenure) -> int | None:
        """Return the index of the next expected handover part, if there is one."""
        self._apply_tenure(now, tenure, tenure.shard)
        return self._store.find_expected_part(tenure.shard)

    def import_part(self, now: float, tenure: Tenure, part: ExportPart) -> bool:
        """Import a handover part; return whether it was the expected one."""
        self._apply_tenure(now, tenure, tenure.shard)
        return self._store.import_part(now, part)

    def export_shard(self, now: float, tenure: Tenure) -> tuple[ExportPart, ...]:
        """Return the outcomes of a shard that was released at the end of a tenure."""
        self._apply_tenure(now, tenure, tenure.shard)
        return self._store.export_shard(now, tenure.shard)

    def list_shards_with_records(self, now: float) -> list[ShardId]:
        """Return the shards that have at least one record."""
        return [shard for shard in self._tenures if self._store.has_records(now, shard)]

    def _check_related(
        self, now: float, owned: KeyTenure, first_attempt_token: str
    ) -> Refuse | None:
        """Reject an unrecorded key that may have been used in the related shard.

        A current first-attempt token of a hot key's own shard excludes earlier use in
        the parent, because the shard was split off the parent. A token of the parent
        excludes nothing: the parent may have been owned before, during and after the
        lifetime of the hot key's own shard.
        """
        if not self._store.is_incomplete(now, owned.related_shard):
            return None
        shard = owned.current.shard
        token = None
        if is_hot_shard(shard):
            token = self._tenures[shard].token
            if (_parse_token(shard, first_attempt_token) or 0) >= token:
                return None
        refusal = Refusal(
            kind=ErrorKind.IDEMPOTENCY_UNKNOWN,
            detail="the key may have been used before the previous owner was lost",
        )
        return Refuse(refusal=refusal, token=token)

    def _apply_tenures(self, now: float, owned: KeyTenure) -> None:
        """Bring the shards of a key up to date with their tenures, the parent first."""
        tenures = [owned.current]
        if owned.related_tenure is not None:
            tenures.append(owned.related_tenure)
        tenures.sort(key=lambda tenure: is_hot_shard(tenure.shard))
        shards = {owned.current.shard, owned.related_shard}
        for tenure in tenures:
            (parent,) = shards - {tenure.shard}
            self._apply_tenure(now, tenure, parent)

    def _apply_tenure(self, now: float, tenure: Tenure, parent: ShardId) -> None:
        """Open a shard, record a new tenure, or abandon an overdue handover."""
        known = self._tenures.get(tenure.shard)
        if known is not None and known.number == tenure.number:
            if now >= tenure.since_s + HANDOVER_TIMEOUT_S:
                self._store.abandon_handover(now, tenure.shard)
            return
        if known is None:
            self._close_idle_shards(now)
        prior_outcomes = self._find_prior_outcomes(tenure, parent)
        self._tenures[tenure.shard] = tenure
        if known is None:
            self._store.open_shard(
                tenure.since_s,
                tenure.shard,
                token=tenure.token,
                prior_outcomes=prior_outcomes,
            )
        elif known.token == tenure.token:
            # No other node can have owned the shard between tenures with equal tokens.
            return
        elif prior_outcomes is PriorOutcomes.EXPECTED:
            self._store.expect_handover(tenure.shard, token=tenure.token)
        elif prior_outcomes is PriorOutcomes.LOST:
            self._store.record_owner_loss(
                tenure.since_s, tenure.shard, token=tenure.token
            )

    def _find_prior_outcomes(self, tenure: Tenure, parent: ShardId) -> PriorOutcomes:
        """Return what this node knows about the outcomes of earlier owners."""
        if tenure.is_first:
            return PriorOutcomes.NONE
        parent_tenure = self._tenures.get(parent)
        if parent_tenure is not None and tenure.parent_number == parent_tenure.number:
            return PriorOutcomes.NONE
        if tenure.predecessor is not None and not is_hot_shard(tenure.shard):
            return PriorOutcomes.EXPECTED
        return PriorOutcomes.LOST

    def _close_idle_shards(self, now: float) -> None:
        """Close idle shards if there are too many, to bound memory."""
        if len(self._tenures) < MAX_SHARDS:
            return
        for shard in list(self._tenures):
            if self._store.is_idle(now, shard):
                self._store.close_shard(shard)
                del self._tenures[shard]


def format_token(shard: ShardId, token: int | None) -> str:
    """Return a fencing token as sent to callers, empty for ``None``.

    The text contains a digest of the shard, since tokens of different shards cannot be
    compared.
    """
    if token is None:
        return ""
    return f"{xxhash.xxh3_64_hexdigest(shard.encode())}-{token}"


def _parse_token(shard: ShardId, text: str) -> int | None:
    """Return the fencing token in ``text``, or ``None`` if it is not of this shard."""
    _, _, number = text.rpartition("-")
    if not number.isascii() or not number.isdigit():
        return None
    token = int(number[:20])
    return token if text == format_token(shard, token) else None
