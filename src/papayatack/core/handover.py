"""How long a request waits while the ownership of its key changes hands.

A move, a graceful stop or a takeover leaves a key without an owner for a moment. A
request that meets this was not run and cost no upstream anything, so that asking
again needs no share of the retry budget; it needs bounds of its own instead: on the
time, on the pauses between attempts, and on the number of requests that wait.
"""

import dataclasses
import enum
import random

from papayatack.core.errors import ErrorKind

__all__ = ["HANDOVER_KINDS", "HandoverReason", "HandoverWait", "WaitState"]

HANDOVER_KINDS = frozenset(
    {
        ErrorKind.NO_OWNER,
        ErrorKind.NOT_OWNER,
        ErrorKind.LEASE_EXPIRED,
        ErrorKind.GRANT_REFUSED,
        ErrorKind.NODE_DRAINING,
        ErrorKind.CONFIG_STALE,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.UPSTREAM_DRAINING,
    }
)
"""Refusals that end by themselves once the key has its owner."""

PATIENCE_S = 2.5
"""Longest wait: the two seconds within which a lost key is served again, and the way
of that news to this node."""

MAX_WAITING = 256
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.2
PAUSE_FACTOR = 2.0
LEAST_JITTER = 0.5


class HandoverReason(enum.StrEnum):
    """Why a request waits or does not; counted under ``handover_waits``."""

    WAITING = "waiting"
    PATIENCE_OVER = "patience-over"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    TOO_MANY_WAITING = "too-many-waiting"


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitState:
    """One request's waits.

    Attributes:
        started_s: When the first refusal came; ``None`` before it.
        pauses: Pauses so far.
    """

    started_s: float | None = None
    pauses: int = 0


class HandoverWait:
    """Decides on the next attempt of requests that met a change of ownership.

    Args:
        rng: Source of the jitter.
        patience_s: Longest wait of one request, in seconds.
        max_waiting: Requests of this node that may wait at once.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        patience_s: float = PATIENCE_S,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._rng = rng
        self._patience_s = patience_s
        self._max_waiting = max_waiting
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Return how many requests wait now."""
        return self._waiting

    def decide(
        self, now: float, state: WaitState, deadline_s: float
    ) -> tuple[HandoverReason, float]:
        """Return whether to wait, and the pause before the next attempt.

        Args:
            now: The current time, in seconds.
            state: The request's waits; :meth:`end` gives them back.
            deadline_s: When the answer must be there.
        """
        if state.started_s is None:
            if self._waiting >= self._max_waiting:
                return HandoverReason.TOO_MANY_WAITING, 0.0
            state.started_s = now
            self._waiting += 1
        pause_s = self._draw_pause(state.pauses)
        if now + pause_s > state.started_s + self._patience_s:
            return HandoverReason.PATIENCE_OVER, 0.0
        if now + pause_s >= deadline_s:
            return HandoverReason.DEADLINE_TOO_NEAR, 0.0
        state.pauses += 1
        return HandoverReason.WAITING, pause_s

    def end(self, state: WaitState) -> None:
        """Note that a request has its final answer."""
        if state.started_s is not None:
            state.started_s = None
            self._waiting -= 1

    def _draw_pause(self, pauses: int) -> float:
        bound_s = min(FIRST_PAUSE_S * PAUSE_FACTOR**pauses, LONGEST_PAUSE_S)
        return self._rng.uniform(bound_s * LEAST_JITTER, bound_s)
