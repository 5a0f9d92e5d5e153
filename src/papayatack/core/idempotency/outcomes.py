"""Decisions on keyed requests, and outcomes on their way to a new owner."""

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


class PriorOutcomes(enum.Enum):
    """What a new owner knows of the keys that earlier owners saw."""

    NONE = enum.auto()
    """There was no earlier owner, so all its own keys are all keys."""

    EXPECTED = enum.auto()
    """The former owner released the shard and hands its outcomes over."""

    LOST = enum.auto()
    """The former owner was lost with its outcomes."""

    RETAINED = enum.auto()
    """This node is the former owner itself, with no other owner in between."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredResponse:
    """An upstream's whole answer.

    Attributes:
        status: HTTP status code.
        headers: Header fields in their order.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""

    @property
    def size(self) -> int:
        """Return the bytes that the answer takes."""
        return len(self.body) + sum(
            len(name) + len(text) for name, text in self.headers
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Run the request, then call :meth:`IdempotencyStore.complete`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """Wait for the running request; its completion names this number.

    Attributes:
        number: Identifies the waiting repeat.
    """

    waiter_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """Answer with the kept answer."""

    response: StoredResponse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Do not run the request.

    Attributes:
        refusal: What the caller is told.
        token: Fencing token with which the caller can state that its next attempt
            is the first one; ``None`` if that would not help.
    """

    refusal: Refusal
    token: int | None = None


Decision = Run | Join | Replay | Refuse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredOutcome:
    """One key's outcome on its way to a new owner.

    Attributes:
        key: The caller's key.
        fingerprint: Digest of the request that used it first.
        remaining_s: Seconds for which it must still be kept.
        answer: The answer; ``None`` if it is not known or no longer kept.
    """

    key: str
    fingerprint: bytes
    remaining_s: float
    response: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExportPart:
    """A part of a shard's outcomes, for the next owner.

    Attributes:
        shard: The shard.
        index: Number of this part, from 0.
        last: Whether no part follows.
        unknown_remaining_s: Seconds for which keys of an earlier, lost owner may
            still be repeated; 0 if there are none.
        unknown_before: First fencing token after that loss.
        outcomes: The outcomes.
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
    """Group outcomes into parts below a size; there is at least one part."""
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
