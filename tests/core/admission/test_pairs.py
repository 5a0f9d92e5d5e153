"""Simulated loads of paired calls.

A pair is useful only if both of its calls are served. The tests guard against overload
in which most pairs lose one of their calls, so that the slots spent on the other are
wasted.
"""

import heapq
import itertools
import random
import unittest
from unittest import mock

from papayatack.core.admission import (
    AdmissionController,
    AdmissionLimits,
    Admitted,
    wait_limit,
)
from papayatack.core.inventory import RequestClass

SLOTS = 13
SERVICE_S = 0.025
TARGET_S = 0.1
DEADLINE_S = 0.3
SPAN_S = 12.0


class PairLoad:
    """Discrete-event simulation of one upstream under a load of paired calls."""

    def __init__(self, *, load, seed, singles=False):
        self.rng = random.Random(seed)
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(slots=SLOTS, ramp_s=0.0),
            rng=random.Random(seed),
        )
        self.numbers = itertools.count()
        self.events = []
        self.pairs = {}
        self.served = []
        now = 0.0
        while now < SPAN_S:
            now += self.rng.expovariate(load * SLOTS / SERVICE_S / 2)
            self.schedule(now, self.arrive)
            if singles:
                self.schedule(now + self.rng.uniform(0.0, 0.01), self.arrive_single)

    def schedule(self, now, handler, *arguments):
        """Schedule an event."""
        heapq.heappush(self.events, (now, next(self.numbers), handler, arguments))

    def run(self):
        """Run the simulation; return the shares of calls and of pairs served."""
        while self.events:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
        count = len(self.served)
        calls = sum(map(sum, self.served)) / (2 * count)
        pairs = sum(sum(pair) == 2 for pair in self.served) / count
        return calls, pairs

    def arrive(self, now):
        """Submit both calls of a pair."""
        pair = []
        self.served.append(pair)
        for _ in range(2):
            self.offer(now, pair, TARGET_S)
        self.poll(now)

    def arrive_single(self, now):
        """Submit a single request that permits a longer wait."""
        self.offer(now, [], 2 * TARGET_S)
        self.poll(now)

    def offer(self, now, pair, target_s):
        """Submit one request."""
        entry = self.admission.offer(
            now,
            partner="",
            request_class=RequestClass.ORDER,
            cost=1.0,
            deadline_s=now + DEADLINE_S,
            target_s=now + target_s,
        )
        self.pairs[entry.number] = pair

    def end(self, now, entry, service_s):
        """Release a slot after its request is answered."""
        self.admission.release(now, entry, service_time_s=service_s)
        self.pairs.pop(entry.number).append(True)
        self.poll(now)

    def poll(self, now):
        """Apply the decisions of the controller."""
        for decision in self.admission.poll(now):
            if isinstance(decision, Admitted):
                service_s = self.rng.lognormvariate(0.0, 0.5) * SERVICE_S / 1.13
                self.schedule(now + service_s, self.end, decision.entry, service_s)
            else:
                self.pairs.pop(decision.entry.number).append(False)


class PairTests(unittest.TestCase):
    """Served pairs with the hysteresis of refusals, compared to without it."""

    def run_both(self, load, **options):
        """Return the served shares with the hysteresis and without it."""
        found = PairLoad(load=load, seed=3, **options).run()
        with mock.patch.object(wait_limit, "RESUME_WAIT_RATIO", 1.0):
            baseline = PairLoad(load=load, seed=3, **options).run()
        return found, baseline

    def test_most_served_calls_belong_to_complete_pairs(self):
        """At twice the capacity, nine tenths of served calls are in complete pairs."""
        (calls, pairs), (_, before) = self.run_both(2.0)
        self.assertGreater(pairs, 0.9 * calls)
        self.assertGreater(pairs, 1.1 * before)

    def test_requests_with_longer_waits_do_not_break_pairs(self):
        """Calls come beside requests that permit a longer wait."""
        (calls, pairs), (_, before) = self.run_both(1.2, singles=True)
        self.assertGreater(pairs, 0.85 * calls)
        self.assertGreater(pairs, 1.15 * before)

    def test_no_fewer_calls_are_served(self):
        """The hysteresis does not reduce the number of served calls at any load."""
        for load in (0.8, 1.0, 1.2, 1.5, 2.0):
            with self.subTest(load=load):
                (calls, pairs), (calls_before, pairs_before) = self.run_both(load)
                self.assertGreater(calls, 0.98 * calls_before)
                self.assertGreater(pairs, 0.99 * pairs_before)
