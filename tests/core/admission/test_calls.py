"""Simulated loads of calls of running requests beside first requests."""

import dataclasses
import heapq
import itertools
import random
import unittest

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.inventory import RequestClass

SLOTS = 13
CALL_S = 0.025
FIRST_S = 0.04
TARGET_S = 0.1
FIRST_TARGET_S = 0.15
DEADLINE_S = 0.3
LEAST_LEFT_S = 0.03
SPAN_S = 20.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Counts:
    """Requests of one kind: offered, and answered by their deadline."""

    offered: int = 0
    answered: int = 0

    @property
    def share(self):
        """Return the share that was answered."""
        return self.answered / self.offered


class CalledService:
    """Discrete-event simulation of one upstream that is called.

    Half of the work that is offered are calls, some of whose parents have little time
    left.

    Args:
        load: Offered work, relative to what the slots can do.
        call_class: Class in which calls wait.
    """

    def __init__(self, *, load, call_class, seed=5):
        self.rng = random.Random(seed)
        self.call_class = call_class
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(slots=SLOTS, ramp_s=0.0),
            rng=random.Random(seed),
        )
        self.calls = Counts()
        self.firsts = Counts()
        self.events = []
        self.numbers = itertools.count()
        self.entries = {}
        for service_s, is_call in ((CALL_S, True), (FIRST_S, False)):
            now = 0.0
            while now < SPAN_S:
                now += self.rng.expovariate(load / 2 * SLOTS / service_s)
                self.schedule(now, self.arrive, is_call, service_s)

    def schedule(self, now, handler, *arguments):
        """Schedule an event."""
        heapq.heappush(self.events, (now, next(self.numbers), handler, arguments))

    def run(self):
        """Run the simulation; return the answered shares of calls and firsts."""
        while self.events:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
            self.poll(now)
        return self.calls.share, self.firsts.share

    def arrive(self, now, is_call, service_s):
        """Submit a request."""
        left_s = DEADLINE_S
        if is_call:
            left_s = self.rng.uniform(LEAST_LEFT_S, DEADLINE_S)
        counts = self.calls if is_call else self.firsts
        counts.offered += 1
        entry = self.admission.offer(
            now,
            partner="",
            request_class=self.call_class if is_call else RequestClass.ORDER,
            cost=1.0,
            deadline_s=now + left_s,
            target_s=now + (TARGET_S if is_call else FIRST_TARGET_S),
        )
        self.entries[entry.number] = (counts, service_s, now + left_s)

    def end(self, now, entry, service_s):
        """Release a slot after its request has been answered."""
        self.admission.release(now, entry, service_time_s=service_s)
        counts, _, deadline_s = self.entries.pop(entry.number)
        counts.answered += now <= deadline_s

    def poll(self, now):
        """Apply the decisions of the controller."""
        for decision in self.admission.poll(now):
            if isinstance(decision, Admitted):
                mean_s = self.entries[decision.entry.number][1]
                service_s = self.rng.lognormvariate(0.0, 0.5) * mean_s / 1.13
                self.schedule(now + service_s, self.end, decision.entry, service_s)
            else:
                del self.entries[decision.entry.number]


def play(load, call_class=RequestClass.CALL):
    """Return the answered shares of calls and of first requests."""
    return CalledService(load=load, call_class=call_class).run()


class CallTests(unittest.TestCase):
    """Calls in a class of their own, compared to the class of their route."""

    def test_more_calls_are_answered_above_the_capacity(self):
        for load in (1.2, 1.5, 2.0):
            with self.subTest(load=load):
                calls, _ = play(load)
                before, _ = play(load, RequestClass.ORDER)
                self.assertGreater(calls, before + 0.1)

    def test_first_requests_are_not_starved(self):
        """They get a quarter of the slots or more, whatever the calls want."""
        for load in (1.2, 1.5, 2.0, 4.0):
            with self.subTest(load=load):
                _, firsts = play(load)
                self.assertGreater(firsts * load / 2, 0.25)

    def test_no_fewer_are_answered_at_loads_up_to_the_capacity(self):
        for load in (0.5, 0.8, 1.0):
            with self.subTest(load=load):
                calls, firsts = play(load)
                calls_before, firsts_before = play(load, RequestClass.ORDER)
                self.assertGreater(calls, 0.99 * calls_before)
                self.assertGreater(firsts, 0.95 * firsts_before)
