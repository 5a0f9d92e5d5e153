"""Outcomes kept under the callers' idempotency keys.

The owner of a shard remembers, for a window, what became of each keyed request. A
repeat is joined to a running one or gets the kept answer; it is never run again. An
outcome is not forgotten before its window ends: when memory runs short, kept answers
shrink to the fact that there was one, and then new keys are refused.

An owner that took a shard over after a loss does not know the keys that the lost
owner saw. Until the window has passed it runs a key that it does not know only if
the caller states, by the fencing token that the router gave it, that the first
attempt was made under this owner.
"""

from papayatack.core.idempotency.exchange import OutcomeExchange
from papayatack.core.idempotency.outcomes import (
    Decision,
    ExportPart,
    Join,
    PriorOutcomes,
    Refuse,
    Replay,
    Run,
    StoredOutcome,
    StoredResponse,
)
from papayatack.core.idempotency.registry import (
    HANDOVER_TIMEOUT_S,
    IdempotencyRegistry,
    format_token,
)
from papayatack.core.idempotency.store import IdempotencyStore
from papayatack.core.idempotency.tenures import KeyTenure, Tenure

__all__ = [
    "HANDOVER_TIMEOUT_S",
    "Decision",
    "IdempotencyStore",
    "PriorOutcomes",
    "Join",
    "StoredResponse",
    "IdempotencyRegistry",
    "KeyTenure",
    "OutcomeExchange",
    "ExportPart",
    "Refuse",
    "Replay",
    "Run",
    "StoredOutcome",
    "Tenure",
    "format_token",
]
