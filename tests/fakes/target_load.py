"""Simulated load of one upstream by requests that differ only in their target."""

import dataclasses
import heapq
import itertools
import random

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.inventory import RequestClass

__all__ = ["Kind", "TargetLoad"]

SPREAD = 0.5
"""Standard deviation of the logarithm of the service time."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Kind:
    """Requests with the same target, and what became of them.

    Attributes:
        share: Share of the arrivals.
        target_s: Seconds from the first attempt until the target.
        offered: Attempts that were submitted.
        served: Attempts that got a slot.
        in_time: Attempts whose response came by the target.
    """

    share: float
    target_s: float
    offered: int = 0
    served: int = 0
    in_time: int = 0

    @property
    def served_share(self):
        """Return the share of the attempts that got a slot."""
        return self.served / self.offered


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    kind: Kind
    first_s: float
    is_first: bool


class TargetLoad:
    """Discrete-event simulation of an upstream under Poisson arrivals.

    Args:
        kinds: Kinds of requests; their shares add up to 1.
        load: Offered work, relative to what the slots can do.
        returning: Counts the second attempts of refused callers, if there are any.
    """

    def __init__(
        self,
        *,
        kinds,
        load,
        seed,
        slots=9,
        service_s=0.5,
        deadline_s=6.0,
        length_s=120.0,
        returning=None,
    ):
        self.kinds = kinds
        self.returning = returning
        self.service_s = service_s
        self.deadline_s = deadline_s
        self.length_s = length_s
        self.rng = random.Random(seed)
        limits = AdmissionLimits(slots=slots, ramp_s=0.0)
        self.admission = AdmissionController(
            now=0.0, limits=limits, rng=random.Random(seed)
        )
        self.numbers = itertools.count()
        self.events = []
        self.attempts = {}
        now = 0.0
        while now < length_s:
            now += self.rng.expovariate(load * slots / service_s)
            shares = [kind.share for kind in kinds]
            kind = self.rng.choices(kinds, shares)[0]
            attempt = _Attempt(kind=kind, first_s=now, is_first=True)
            self.schedule(now, self.arrive, attempt)

    def schedule(self, now, handler, *arguments):
        """Schedule an event."""
        heapq.heappush(self.events, (now, next(self.numbers), handler, arguments))

    def run(self):
        """Run the simulation until its end."""
        while self.events and self.events[0][0] < self.length_s:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
            self.apply_decisions(now)

    def get_counts(self, attempt):
        """Return where an attempt is counted."""
        return attempt.kind if attempt.is_first else self.returning

    def arrive(self, now, attempt):
        """Submit an attempt."""
        entry = self.admission.offer(
            now,
            partner="",
            request_class=RequestClass.BROWSE,
            cost=1.0,
            deadline_s=attempt.first_s + self.deadline_s,
            target_s=attempt.first_s + attempt.kind.target_s,
        )
        self.attempts[entry.number] = attempt
        self.get_counts(attempt).offered += 1

    def end(self, now, entry, service_s):
        """Release the slot of a request whose response has come."""
        self.admission.release(now, entry, service_time_s=service_s)
        attempt = self.attempts.pop(entry.number)
        if now <= attempt.first_s + attempt.kind.target_s:
            self.get_counts(attempt).in_time += 1

    def apply_decisions(self, now):
        """Start the admitted attempts; refused callers may come back once."""
        for decision in self.admission.poll(now):
            number = decision.entry.number
            if isinstance(decision, Admitted):
                self.get_counts(self.attempts[number]).served += 1
                ratio = self.rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
                service_s = ratio * self.service_s
                self.schedule(now + service_s, self.end, decision.entry, service_s)
                continue
            attempt = self.attempts.pop(number)
            retry_after_s = decision.refusal.retry_after_s
            if self.returning is None or not attempt.is_first or not retry_after_s:
                continue
            again = dataclasses.replace(attempt, is_first=False)
            self.schedule(now + retry_after_s, self.arrive, again)
