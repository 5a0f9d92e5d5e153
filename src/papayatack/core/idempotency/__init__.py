"""Records outcomes of requests by the idempotency keys that callers send.

The owner of a shard records the outcome of each keyed request for a retention window.
A repeat waits for the request while it is running and is answered with the stored
response afterwards; it is never run again. No record expires before its window ends.
When memory runs short, the store discards the oldest responses but keeps their records,
and rejects new keys once no more responses can be discarded.

An owner that took over a shard after its previous owner was lost does not know which
keys that owner had seen. Until the window has passed, it runs an unrecorded key only if
the caller sends a first-attempt token: a fencing token, issued by the router, showing
that the first attempt was made under the current owner.
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
