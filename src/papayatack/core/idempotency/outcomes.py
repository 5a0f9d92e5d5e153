"""Decisions on keyed requests, and outcomes exported to the next owner of a shard."""

import dataclasses
import enum

from papayatack.core.errors import Refusal
from papayatack.core.identity import ShardId

__all__ = [
    "ENTRY_OVERHEAD_BYTES",
    "Decision",
    "PriorOutcomes",
    "Join",
    "StoredResponse",
    "ExportPart",
    "Refuse",
    "Replay",
    "Run",
    "StoredOutcome",
    "split_outcomes",
]

ENTRY_OVERHEAD_BYTES = 64
"""Estimated memory that a record takes besides its key, fingerprint and response."""


class PriorOutcomes(enum.Enum):
    """What a new owner knows about the outcomes that earlier owners recorded."""

    NONE = enum.auto()
    """There was no earlier owner, so there are no prior outcomes."""

    EXPECTED = enum.auto()
    """The previous owner released the shard and will hand over its outcomes."""

    LOST = enum.auto()
    """The previous owner failed and its outcomes were lost."""

    RETAINED = enum.auto()
    """This node was itself the previous owner, with no other owner in between."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredResponse:
    """A complete response of an upstream.

    Attributes:
        status: HTTP status code.
        headers: Names and values of the header fields, in their original order.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""

    @property
    def size(self) -> int:
        """Size of the header fields and the body, in bytes."""
        return len(self.body) + sum(
            len(name) + len(text) for name, text in self.headers
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Run the request, then report its end to :meth:`IdempotencyStore.complete`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """Wait for the running request, whose completion returns this waiter's id.

    Attributes:
        waiter_id: Identifies the waiting repeat, unique within the store.
    """

    waiter_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """Answer with the stored response."""

    response: StoredResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Reject the request without running it.

    Attributes:
        refusal: The error that the caller receives.
        token: Fencing token that the caller may send as the first-attempt token of a
            new key; ``None`` if the token would not change the decision.
    """

    refusal: Refusal
    token: int | None = None


Decision = Run | Join | Replay | Refuse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredOutcome:
    """The outcome of one key, as handed over to the next owner.

    Attributes:
        key: The caller's idempotency key.
        fingerprint: Digest of the first request that used the key.
        remaining_s: Seconds until the record expires.
        response: The response; ``None`` if it is unknown or was discarded.
    """

    key: str
    fingerprint: bytes
    remaining_s: float
    response: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExportPart:
    """One of the parts in which a shard's outcomes are handed over to the next owner.

    Attributes:
        shard: The shard.
        index: Index of this part, from 0.
        last: Whether this is the last part.
        unknown_remaining_s: Seconds for which keys that a lost owner had seen may still
            be repeated; 0 if no such keys are left.
        unknown_before: First fencing token issued after that loss.
        outcomes: The outcomes in this part.
    """

    shard: ShardId
    index: int
    last: bool
    unknown_remaining_s: float = 0.0
    unknown_before: int = 0
    outcomes: tuple[StoredOutcome, ...] = ()


def split_outcomes(
    outcomes: list[StoredOutcome], max_bytes: int
) -> list[list[StoredOutcome]]:
    """Group outcomes into parts of at most ``max_bytes``; return at least one part.

    An outcome that is larger than ``max_bytes`` forms a part of its own.
    """
    parts: list[list[StoredOutcome]] = [[]]
    size = 0
    for stored in outcomes:
        response_size = stored.response.size if stored.response is not None else 0
        item_size = len(stored.key) + len(stored.fingerprint) + response_size
        item_size += ENTRY_OVERHEAD_BYTES
        if parts[-1] and size + item_size > max_bytes:
            parts.append([])
            size = 0
        parts[-1].append(stored)
        size += item_size
    return parts
