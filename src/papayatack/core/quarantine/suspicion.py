"""What is known of one request that was in flight when an upstream crashed.

Suspicions of the same request are merged, whatever the order in which they arrive and
however often: the higher generation replaces the lower, and within a generation the
number of rounds only grows. A request that ended at an upstream, or that an operator
lifted, begins a new generation without rounds.
"""

import dataclasses

__all__ = ["QUARANTINE_ROUNDS", "Suspicion"]

QUARANTINE_ROUNDS = 3
"""Rounds after which a request reaches no upstream any more."""

MAX_UPSTREAMS = 4
MAX_TEXT_LENGTH = 200
MAX_COUNT = 2**53 - 1
"""Largest number that a record can hold."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """How often a request was in flight when an upstream crashed.

    A crash is a further round only if the run that it ended had begun when the round
    before was known. Crashes at the same time are one round: a request that several
    upstreams run at once need not have caused any of them.

    Attributes:
        fingerprint: Digest of the request.
        head: Digest of the request without its body, caller and key.
        service_name: Service that was to run it.
        caller: Name of the caller.
        generation: Number of times that the request was cleared.
        rounds: Number of rounds in this generation.
        variant: Exact fingerprint of the request in the last round, if the suspicion is
            of requests that are alike; empty if it is of one that is the same.
        is_shared: Whether requests that are alike, but not the same, were in flight in
            different rounds.
        request_id: Id of the request in the last round, or when it was cleared.
        upstreams: Names of the upstreams that crashed in the last rounds.
    """

    fingerprint: str
    head: str
    service_name: str
    caller: str
    generation: int = 0
    rounds: int = 0
    variant: str = ""
    is_shared: bool = False
    request_id: str = ""
    upstreams: tuple[str, ...] = ()

    @property
    def is_open(self) -> bool:
        """Whether there was a crash since the request was cleared."""
        return self.rounds > 0

    @property
    def is_quarantined(self) -> bool:
        """Whether the request may reach no upstream."""
        return self.rounds >= QUARANTINE_ROUNDS

    @property
    def is_of_one(self) -> bool:
        """Whether it is of requests that are alike, of which only one was in flight."""
        return bool(self.variant) and not self.is_shared

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Order among suspicions of the same request; the highest replaces others."""
        return self.generation, self.rounds, self.is_shared

    @property
    def is_valid(self) -> bool:
        """Whether all values are within their bounds."""
        texts = (
            self.fingerprint,
            self.head,
            self.service_name,
            self.caller,
            self.variant,
            self.request_id,
            *self.upstreams,
        )
        return (
            bool(self.fingerprint and self.head)
            and 0 <= self.generation <= MAX_COUNT
            and 0 <= self.rounds <= MAX_COUNT
            and len(self.upstreams) <= MAX_UPSTREAMS
            and all(len(text) <= MAX_TEXT_LENGTH for text in texts)
        )

    def add_round(self, *, variant: str, request_id: str, upstream: str) -> "Suspicion":
        """Return the suspicion after a further crash."""
        is_other = self.is_open and self.variant != variant
        return dataclasses.replace(
            self,
            rounds=self.rounds + 1,
            variant=variant,
            is_shared=self.is_shared or is_other,
            request_id=request_id[:MAX_TEXT_LENGTH],
            upstreams=(*self.upstreams, upstream[:MAX_TEXT_LENGTH])[-MAX_UPSTREAMS:],
        )

    def clear(self, request_id: str) -> "Suspicion":
        """Return the suspicion after the request has ended, or was lifted."""
        return dataclasses.replace(
            self,
            generation=self.generation + 1,
            rounds=0,
            variant="",
            is_shared=False,
            request_id=request_id[:MAX_TEXT_LENGTH],
            upstreams=(),
        )
