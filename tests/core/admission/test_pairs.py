"""Played loads: calls that come in pairs, each pair of use only if both are served."""

import heapq
import itertools
import random
import unittest
from unittest import mock

from papayatack.core.admission import (
    AdmissionController,
    AdmissionLimits,
    Admitted,
    class_state,
)
from papayatack.core.inventory import RequestClass

SLOTS = 13
SERVICE_S = 0.025
TARGET_S = 0.1
DEADLINE_S = 0.3
SPAN_S = 12.0


class PairLoad:
    """One upstream under a load of pairs, on a clock of its own."""

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
        """Let something happen at a time."""
        heapq.heappush(self.events, (now, next(self.numbers), handler, arguments))

    def run(self):
        """Return the shares of calls, and of pairs, that were served."""
        while self.events:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
        count = len(self.served)
        calls = sum(map(sum, self.served)) / (2 * count)
        pairs = sum(sum(pair) == 2 for pair in self.served) / count
        return calls, pairs

    def arrive(self, now):
        """Offer both calls of a parent."""
        pair = []
        self.served.append(pair)
        for _ in range(2):
            self.offer(now, pair, TARGET_S)
        self.poll(now)

    def arrive_single(self, now):
        """Offer a request that allows a longer wait."""
        self.offer(now, [], 2 * TARGET_S)
        self.poll(now)

    def offer(self, now, pair, target_s):
        """Offer one request."""
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
        """Take a slot back."""
        self.admission.release(now, entry, service_time_s=service_s)
        self.pairs.pop(entry.number).append(True)
        self.poll(now)

    def poll(self, now):
        """Carry out the verdicts."""
        for decision in self.admission.poll(now):
            if isinstance(decision, Admitted):
                service_s = self.rng.lognormvariate(0.0, 0.5) * SERVICE_S / 1.13
                self.schedule(now + service_s, self.end, decision.entry, service_s)
            else:
                self.pairs.pop(decision.entry.number).append(False)


class PairTests(unittest.TestCase):
    """What parents get, against refusing each call for itself."""

    def run_both(self, load, **options):
        """Return what is served with the rule, and without it."""
        found = PairLoad(load=load, seed=3, **options).run()
        with mock.patch.object(class_state, "RESUME_WAIT_RATIO", 1.0):
            baseline = PairLoad(load=load, seed=3, **options).run()
        return found, baseline

    def test_most_served_calls_belong_to_complete_pairs(self):
        """At twice the load that can be served, nine tenths of the calls have both."""
        (calls, pairs), (_, before) = self.run_both(2.0)
        self.assertGreater(pairs, 0.9 * calls)
        self.assertGreater(pairs, 1.1 * before)

    def test_requests_with_longer_waits_do_not_break_pairs(self):
        """They are taken while the calls are still refused."""
        (calls, pairs), (_, before) = self.run_both(1.2, singles=True)
        self.assertGreater(pairs, 0.85 * calls)
        self.assertGreater(pairs, 1.15 * before)

    def test_no_fewer_calls_are_served(self):
        """At any load."""
        for load in (0.8, 1.0, 1.2, 1.5, 2.0):
            with self.subTest(load=load):
                (calls, pairs), (calls_before, pairs_before) = self.run_both(load)
                self.assertGreater(calls, 0.98 * calls_before)
                self.assertGreater(pairs, 0.99 * pairs_before)
