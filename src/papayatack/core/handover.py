"""Backoff for requests whose key has no owner during a handover.

A move, a graceful shutdown or a takeover leaves a key without an owner for a moment. A
request that is refused in this time was not run and caused no load on any upstream.
Retrying it therefore does not draw on the retry budget. Its retries have limits of
their own instead: on the total wait, on the delays between attempts, and on the number
of waiting requests.

The total wait is measured from the first refusal for the shard, instead of from the
arrival of the request: a shard that has had no owner for longer than a handover takes
may not get one soon, so further requests for it are tried once and refused immediately.
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
        ErrorKind.DATA_CENTRE_EVACUATED,
    }
)
"""Refusals that are expected to stop once the key has an owner."""

MAX_WAIT_S = 2.5
"""Default maximum wait, in seconds: the two seconds within which a key whose owner is
lost is served again, plus the time for this node to learn of the new owner."""

MAX_WAITING = 256
"""Default maximum number of requests that wait at once on this node."""

MAX_OUTAGES = 4096
"""Maximum number of outages that are tracked at once."""

OUTAGE_EXPIRY_S = 2.0
"""Time in seconds without a further refusal after which an outage counts as over."""

INITIAL_DELAY_S = 0.01
"""Maximum delay before the first retry, in seconds."""

MAX_DELAY_S = 0.2
"""Maximum delay before any retry, in seconds."""

DELAY_FACTOR = 2.0
"""Factor by which the maximum delay grows with each retry."""

MIN_JITTER_RATIO = 0.5
"""Minimum delay as a share of the maximum delay."""


class HandoverReason(enum.StrEnum):
    """Reason why a request waits or is refused; counted under ``handover_waits``."""

    WAITING = "waiting"
    WAIT_LIMIT_REACHED = "patience-over"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    TOO_MANY_WAITING = "too-many-waiting"


@dataclasses.dataclass(slots=True, kw_only=True)
class BackoffState:
    """Backoff state of one request.

    Attributes:
        subject: Shard that has no owner, or name of a service without keys.
        is_waiting: Whether the request counts as waiting.
        delays: Number of delays so far.
    """

    subject: str = ""
    is_waiting: bool = False
    delays: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Outage:
    """Period in which requests for one subject are refused."""

    since_s: float
    last_s: float


class HandoverBackoff:
    """Decides on retries of requests that are refused during a handover.

    Args:
        rng: Source of the jitter.
        max_wait_s: Maximum wait from the first refusal for a subject, in seconds.
        max_waiting: Maximum number of requests that wait at once on this node.
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
        """Return the number of requests that are waiting."""
        return self._waiting

    def decide(
        self, now: float, state: BackoffState, deadline_s: float
    ) -> tuple[HandoverReason, float]:
        """Return whether to wait, and the delay before the next attempt in seconds.

        Args:
            now: The current time, in seconds.
            state: Backoff state of the request, to be released by :meth:`end_wait`.
            deadline_s: Time by which the response is needed, in seconds.
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
        """Record that a subject has an owner, which ends its outage."""
        if self._outages:
            self._outages.pop(subject, None)

    def _record_outage(self, now: float, subject: str) -> float:
        """Record a refusal; return the start of the subject's outage."""
        outage = self._outages.get(subject)
        if outage is not None and now - outage.last_s <= OUTAGE_EXPIRY_S:
            outage.last_s = now
            return outage.since_s
        if len(self._outages) >= MAX_OUTAGES:
            self._expire_outages(now)
        self._outages[subject] = _Outage(since_s=now, last_s=now)
        return now

    def _expire_outages(self, now: float) -> None:
        """Discard expired outages, or all of them if too many are left."""
        kept = {
            subject: outage
            for subject, outage in self._outages.items()
            if now - outage.last_s <= OUTAGE_EXPIRY_S
        }
        self._outages = kept if len(kept) < MAX_OUTAGES else {}

    def end_wait(self, state: BackoffState) -> None:
        """Record that a request has its final response and no longer waits."""
        if state.is_waiting:
            state.is_waiting = False
            self._waiting -= 1

    def _draw_delay(self, delays: int) -> float:
        bound_s = min(INITIAL_DELAY_S * DELAY_FACTOR**delays, MAX_DELAY_S)
        return self._rng.uniform(bound_s * MIN_JITTER_RATIO, bound_s)
