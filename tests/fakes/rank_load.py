"""Simulated load of one upstream by requests and calls of several ranks."""

import dataclasses
import heapq
import itertools
import random

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.inventory import RequestClass

__all__ = ["DEFAULT_KINDS", "Kind", "RankLoad", "list_kinds"]

SPREAD = 0.4
"""Standard deviation of the logarithm of the service time."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Kind:
    """Requests that are alike, and what became of them.

    Attributes:
        rank: Their precedence; 0 is the highest.
        work_s: Mean service time.
        target_s: Seconds from the first attempt until the target.
        deadline_s: Seconds from the first attempt until the deadline.
        share: Share of the offered work.
        request_class: Class in which they wait.
        offered: Requests.
        in_time: Requests that were answered by their target.
        answered: Requests that were answered by their deadline.
        refused: Attempts that were refused.
        returned: Second attempts.
        returned_answered: Second attempts that were answered by the deadline.
        held_s: Total time for which refused attempts had waited.
    """

    rank: int
    work_s: float
    target_s: float
    deadline_s: float
    share: float
    request_class: RequestClass = RequestClass.ORDER
    offered: int = 0
    in_time: int = 0
    answered: int = 0
    refused: int = 0
    returned: int = 0
    returned_answered: int = 0
    held_s: float = 0.0

    @property
    def is_call(self):
        """Return whether they are calls of running requests."""
        return self.request_class is RequestClass.CALL

    @property
    def in_time_share(self):
        """Return the share that was answered by the target."""
        return self.in_time / max(1, self.offered)

    @property
    def answered_share(self):
        """Return the share that was answered by the deadline."""
        return self.answered / max(1, self.offered)


DEFAULT_KINDS = (
    Kind(rank=0, work_s=0.14, target_s=0.41, deadline_s=1.0, share=0.25),
    Kind(rank=1, work_s=0.2, target_s=0.62, deadline_s=1.5, share=0.3),
    Kind(rank=2, work_s=0.27, target_s=1.5, deadline_s=2.0, share=0.3),
    Kind(rank=0, work_s=0.05, target_s=0.2, deadline_s=0.6, share=0.05),
    Kind(rank=1, work_s=0.05, target_s=0.2, deadline_s=0.6, share=0.05),
    Kind(rank=2, work_s=0.05, target_s=0.2, deadline_s=0.6, share=0.05),
)
"""Requests of three ranks, and calls of each; the shares of the calls come last."""


def list_kinds(**changes):
    """Return new kinds like the default ones, with changes to each."""
    return [
        dataclasses.replace(
            kind,
            request_class=RequestClass.CALL
            if kind.work_s < 0.1
            else kind.request_class,
            **changes,
        )
        for kind in DEFAULT_KINDS
    ]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    kind: Kind
    first_s: float
    deadline_s: float
    is_first: bool = True


class RankLoad:
    """Discrete-event simulation of an upstream under Poisson arrivals.

    Callers that are refused come back once, when they were told to, if their deadline
    leaves them time. Calls do not come back.

    Args:
        kinds: Kinds of requests; their shares add up to 1.
        load: Returns the offered work at a time, relative to what the slots can do.
        ranked: Whether admission is told the ranks.
    """

    def __init__(
        self, *, kinds, load, seed, ranked=True, slots=6, length_s=40.0, offer=None
    ):
        self.kinds = kinds
        self.ranked = ranked
        self.rng = random.Random(seed)
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(slots=slots, ramp_s=0.0),
            rng=random.Random(seed),
        )
        self.numbers = itertools.count()
        self.events = []
        self.attempts = {}
        self.decisions = []
        self.refusals = []
        for kind in kinds:
            self.schedule_arrivals(kind, load, slots, length_s)

    def schedule_arrivals(self, kind, load, slots, length_s):
        """Schedule the first attempts of a kind."""
        now = 0.0
        while now < length_s:
            rate = max(0.01, load(now)) * slots * kind.share / kind.work_s
            now += self.rng.expovariate(rate)
            left_s = kind.deadline_s
            if kind.is_call:
                left_s *= self.rng.uniform(0.2, 1.0)
            attempt = _Attempt(kind=kind, first_s=now, deadline_s=now + left_s)
            self.schedule(now, self.arrive, attempt)

    def schedule(self, now, handler, *arguments):
        """Schedule an event."""
        heapq.heappush(self.events, (now, next(self.numbers), handler, arguments))

    def run(self):
        """Run the simulation until its end; return the kinds."""
        while self.events:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
            self.apply_decisions(now)
            wakeup_s = self.admission.next_wakeup(now)
            if not self.events and wakeup_s is not None:
                self.schedule(wakeup_s, self.wake)
        return self.kinds

    def wake(self, now):
        """Let the controller refuse what waited too long."""

    def arrive(self, now, attempt):
        """Submit an attempt."""
        kind = attempt.kind
        entry = self.admission.offer(
            now,
            partner="",
            request_class=kind.request_class,
            cost=1.0,
            deadline_s=attempt.deadline_s,
            target_s=attempt.first_s + kind.target_s,
            **({"rank": kind.rank} if self.ranked else {}),
        )
        self.attempts[entry.number] = attempt
        if attempt.is_first:
            kind.offered += 1
        else:
            kind.returned += 1

    def end(self, now, entry, service_s):
        """Release the slot of a request whose response has come."""
        self.admission.release(now, entry, service_time_s=service_s)
        attempt = self.attempts.pop(entry.number)
        kind = attempt.kind
        kind.in_time += now <= attempt.first_s + kind.target_s
        kind.answered += now <= attempt.deadline_s
        if not attempt.is_first:
            kind.returned_answered += now <= attempt.deadline_s

    def apply_decisions(self, now):
        """Start the admitted attempts; refused callers may come back."""
        for decision in self.admission.poll(now):
            number = decision.entry.number
            if isinstance(decision, Admitted):
                self.decisions.append((number, "admitted", 0.0))
                kind = self.attempts[number].kind
                ratio = self.rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
                service_s = ratio * kind.work_s
                self.schedule(now + service_s, self.end, decision.entry, service_s)
                continue
            self.note_refusal(now, decision)

    def note_refusal(self, now, decision):
        """Count a refusal, and let its caller come back."""
        attempt = self.attempts.pop(decision.entry.number)
        kind = attempt.kind
        kind.refused += 1
        kind.held_s += now - decision.entry.offered_s
        refusal = decision.refusal
        retry_after_s = refusal.retry_after_s or 0.0
        self.refusals.append((now, kind, retry_after_s))
        self.decisions.append(
            (decision.entry.number, refusal.kind.value, round(retry_after_s, 6))
        )
        again_s = now + retry_after_s
        if kind.is_call or not attempt.is_first or again_s >= attempt.deadline_s:
            return
        again = dataclasses.replace(attempt, is_first=False)
        self.schedule(again_s, self.arrive, again)
