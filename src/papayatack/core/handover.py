"""How long a request waits while the ownership of its key changes hands.

A move, a graceful stop or a takeover leaves a key without an owner for a moment. A
request that meets this was not run and cost no upstream anything, so that asking
again needs no share of the retry budget; it needs bounds of its own instead: on the
time, on the pauses between attempts, and on the number of requests that wait.

The time counts from when the shard was first found without its owner, not from when
the request came: a shard that has been away for longer than a change of owner lasts
may stay away, and requests for it are asked once and refused at once.
"""

import dataclasses
import enum
import random

from papayatack.core.errors import ErrorKind

__all__ = [
    "HANDOVER_ERRORS",
    "MAX_OUTAGES",
    "HandoverReason",
    "HandoverBackoff",
    "BackoffState",
]

HANDOVER_ERRORS = frozenset(
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

MAX_WAIT_S = 2.5
"""Longest wait: the two seconds within which a lost key is served again, and the way
of that news to this node."""

MAX_WAITING = 256

MAX_OUTAGES = 4096

OUTAGE_EXPIRY_S = 2.0
"""Time without a further refusal after which a shard counts as served again."""

INITIAL_DELAY_S = 0.01

MAX_DELAY_S = 0.2

DELAY_FACTOR = 2.0

MIN_JITTER_RATIO = 0.5


class HandoverReason(enum.StrEnum):
    """Why a request waits or does not; counted under ``handover_waits``."""

    WAITING = "waiting"
    WAIT_LIMIT_REACHED = "patience-over"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    TOO_MANY_WAITING = "too-many-waiting"


@dataclasses.dataclass(slots=True, kw_only=True)
class BackoffState:
    """One request's waits.

    Attributes:
        subject: What has no owner: a shard, or a service without keys.
        waits: It counts among those that wait.
        pauses: Pauses so far.
    """

    subject: str = ""
    is_waiting: bool = False
    delays: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Outage:
    """Time in which requests for one subject were refused."""

    since_s: float
    last_s: float


class HandoverBackoff:
    """Decides on the next attempt of requests that met a change of ownership.

    Args:
        rng: Source of the jitter.
        patience_s: Longest wait from the first refusal for a subject, in seconds.
        max_waiting: Requests of this node that may wait at once.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        max_wait_s: float = MAX_WAIT_S,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._rng = rng
        self._max_wait_s = max_wait_s
        self._max_waiting = max_waiting
        self._waiting = 0
        self._outages: dict[str, _Outage] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait now."""
        return self._waiting

    def decide(
        self, now: float, state: BackoffState, deadline_s: float
    ) -> tuple[HandoverReason, float]:
        """Return whether to wait, and the pause before the next attempt.

        Args:
            now: The current time, in seconds.
            state: The request's waits; :meth:`end` gives them back.
            deadline_s: When the answer must be there.
        """
        since_s = self._record_outage(now, state.subject)
        delay_s = self._draw_delay(state.delays)
        if now + delay_s > since_s + self._max_wait_s:
            return HandoverReason.WAIT_LIMIT_REACHED, 0.0
        if now + delay_s >= deadline_s:
            return HandoverReason.DEADLINE_TOO_NEAR, 0.0
        if not state.is_waiting:
            if self._waiting >= self._max_waiting:
                return HandoverReason.TOO_MANY_WAITING, 0.0
            state.is_waiting = True
            self._waiting += 1
        state.delays += 1
        return HandoverReason.WAITING, delay_s

    def record_served(self, subject: str) -> None:
        """Note that a subject has an owner."""
        if self._outages:
            self._outages.pop(subject, None)

    def _record_outage(self, now: float, subject: str) -> float:
        """Note a refusal; return since when the subject has had no owner."""
        outage = self._outages.get(subject)
        if outage is not None and now - outage.last_s <= OUTAGE_EXPIRY_S:
            outage.last_s = now
            return outage.since_s
        if len(self._outages) >= MAX_OUTAGES:
            self._expire_outages(now)
        self._outages[subject] = _Outage(since_s=now, last_s=now)
        return now

    def _expire_outages(self, now: float) -> None:
        """Keep those of which something was heard of late, if they are not too many."""
        kept = {
            subject: outage
            for subject, outage in self._outages.items()
            if now - outage.last_s <= OUTAGE_EXPIRY_S
        }
        self._outages = kept if len(kept) < MAX_OUTAGES else {}

    def end(self, state: BackoffState) -> None:
        """Note that a request has its final answer."""
        if state.is_waiting:
            state.is_waiting = False
            self._waiting -= 1

    def _draw_delay(self, delays: int) -> float:
        bound_s = min(INITIAL_DELAY_S * DELAY_FACTOR**delays, MAX_DELAY_S)
        return self._rng.uniform(bound_s * MIN_JITTER_RATIO, bound_s)
