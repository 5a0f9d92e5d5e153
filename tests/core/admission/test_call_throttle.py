"""Tests of papayatack.core.admission.call_throttle, and of the load that it answers.

The load: requests that each make two calls to a service that is short of room for part
of the time. Callers return twice after a refusal.
"""

import dataclasses
import heapq
import itertools
import random
import unittest

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.admission.call_throttle import CallThrottle
from papayatack.core.inventory import RequestClass

CALLERS = 5
SLOTS = 6
RUN_S = 0.22
CALL_S = 0.051
OWN_S = 0.14
TARGET_S = 0.9
CALL_TARGET_S = 0.28
DEADLINE_S = 6.0
MAX_RETURNS = 2
SPAN_S = 24.0
KIND = "order"
OWN_RATE = 13.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Parent:
    """A request that makes two calls while it runs."""

    caller: int
    came_s: float
    returns: int = 0
    calls_left: int = 2
    lost: bool = False
    entry: object = None
    ends_s: float = 0.0


class CallingFleet:
    """Simulation of five calling upstreams and one that they call.

    Args:
        load: Calls offered, relative to what the called upstream can serve beside its
            own requests, as a function of the time.
        throttled: Whether the calling upstreams use the throttle.
    """

    def __init__(self, *, load, throttled, seed=7):
        self.rng = random.Random(seed)
        self.throttled = throttled
        self.callers = [self._build_admission(seed + n) for n in range(CALLERS)]
        self.throttles = [
            CallThrottle(rng=random.Random(seed + n)) for n in range(CALLERS)
        ]
        self.called = self._build_admission(seed)
        self.events = []
        self.numbers = itertools.count()
        self.waiting = {}
        self.came = self.in_time = self.late = self.wasted = self.own_served = 0
        self.own_came = 0
        capacity = (SLOTS - OWN_RATE * OWN_S) / (2 * CALL_S)
        now = 0.0
        while now < SPAN_S:
            now += self.rng.expovariate(capacity * load(now))
            parent = Parent(caller=self.rng.randrange(CALLERS), came_s=now)
            self.schedule(now, self.arrive, parent)
        now = 0.0
        while now < SPAN_S:
            now += self.rng.expovariate(OWN_RATE)
            self.schedule(now, self.arrive_own)

    def _build_admission(self, seed):
        limits = AdmissionLimits(slots=SLOTS, ramp_s=0.0)
        return AdmissionController(now=0.0, limits=limits, rng=random.Random(seed))

    def schedule(self, now, handler, *arguments):
        """Schedule an event."""
        heapq.heappush(self.events, (now, next(self.numbers), handler, arguments))

    def run(self):
        """Run the simulation to its end."""
        while self.events:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
        return self

    def arrive(self, now, parent):
        """Submit a request at its calling upstream."""
        self.came += not parent.returns
        if self.throttled:
            delay_s = self.throttles[parent.caller].decide(now, KIND)
            if delay_s is not None:
                self.refuse(now, parent, delay_s)
                return
        admission = self.callers[parent.caller]
        entry = self.offer(admission, now, RequestClass.ORDER, parent.came_s + TARGET_S)
        self.waiting[admission, entry.number] = (self.begin, self.refuse, parent)
        self.poll(admission, now)

    def offer(self, admission, now, request_class, target_s):
        """Submit a request to an upstream's admission."""
        return admission.offer(
            now,
            partner="",
            request_class=request_class,
            cost=1.0,
            deadline_s=now + DEADLINE_S,
            target_s=target_s,
        )

    def refuse(self, now, parent, delay_s):
        """Let a refused caller return, if it does and if it has the time."""
        left_s = parent.came_s + DEADLINE_S - now
        if parent.returns < MAX_RETURNS and left_s > 0:
            parent.returns += 1
            parent.calls_left, parent.lost = 2, False
            self.schedule(now + min(delay_s, left_s / 3), self.arrive, parent)

    def begin(self, now, parent, entry):
        """Run a request, which makes its calls at random moments."""
        parent.entry = entry
        run_s = self.rng.lognormvariate(0.0, 0.4) * RUN_S
        parent.ends_s = now + run_s
        for _ in range(2):
            self.schedule(now + self.rng.uniform(0, run_s / 2), self.call, parent)

    def call(self, now, parent):
        """Submit a call of a run."""
        entry = self.offer(self.called, now, RequestClass.CALL, now + CALL_TARGET_S)
        self.waiting[self.called, entry.number] = (
            self.begin_call,
            self.lose_call,
            parent,
        )
        self.poll(self.called, now)

    def begin_call(self, now, parent, entry):
        """Run a call."""
        work_s = self.rng.lognormvariate(0.0, 0.5) * CALL_S / 1.13
        self.schedule(now + work_s, self.end_call, parent, entry, work_s)

    def end_call(self, now, parent, entry, work_s):
        """End a call, and its parent if that was the last."""
        self.called.release(now, entry, service_time_s=work_s)
        self.poll(self.called, now)
        self.finish_call(now, parent)

    def lose_call(self, now, parent, delay_s):
        """Note that a call was refused."""
        parent.lost = True
        self.finish_call(now, parent)

    def finish_call(self, now, parent):
        """End the run once both calls have ended."""
        parent.calls_left -= 1
        if not parent.calls_left:
            self.schedule(max(now, parent.ends_s), self.end, parent)

    def end(self, now, parent):
        """End a run."""
        admission = self.callers[parent.caller]
        admission.release(now, parent.entry, service_time_s=RUN_S)
        self.throttles[parent.caller].record_run(now, KIND, lost_call=parent.lost)
        if parent.lost:
            self.wasted += 1
        elif now <= parent.came_s + TARGET_S:
            self.in_time += 1
        else:
            self.late += 1
        self.poll(admission, now)

    def arrive_own(self, now):
        """Submit a first request of the called service."""
        self.own_came += 1
        entry = self.offer(self.called, now, RequestClass.DOWNLOAD, now + TARGET_S)
        self.waiting[self.called, entry.number] = (self.begin_own, self.lose_own, None)
        self.poll(self.called, now)

    def begin_own(self, now, parent, entry):
        """Run a first request of the called service."""
        self.schedule(now + OWN_S, self.end_own, entry)

    def lose_own(self, now, parent, delay_s):
        """Note nothing: it is not served."""

    def end_own(self, now, entry):
        """End a first request of the called service."""
        self.own_served += 1
        self.called.release(now, entry, service_time_s=OWN_S)
        self.poll(self.called, now)

    def poll(self, admission, now):
        """Apply the decisions of an upstream's admission."""
        for decision in admission.poll(now):
            entry = decision.entry
            begin, refuse, parent = self.waiting.pop((admission, entry.number))
            if isinstance(decision, Admitted):
                begin(now, parent, entry)
            else:
                refuse(now, parent, decision.refusal.retry_after_s or 0.1)


def play(load, *, throttled):
    """Play a load; a number stands for a steady one."""
    find_load = load if callable(load) else lambda now: load
    return CallingFleet(load=find_load, throttled=throttled).run()


def find_crest(now):
    """Return a load that is too much for six of twelve seconds."""
    return 1.6 if now % 12.0 < 6.0 else 0.6


class LoadTests(unittest.TestCase):
    """Requests whose calls find too little room."""

    def test_fewer_runs_are_wasted_and_no_fewer_requests_answered(self):
        for load in (1.3, 1.6, 2.0, find_crest):
            with self.subTest(load=load):
                before = play(load, throttled=False)
                found = play(load, throttled=True)
                runs = found.in_time + found.late + found.wasted
                self.assertLessEqual(found.wasted, 0.25 * runs)
                self.assertLess(found.wasted, 0.75 * before.wasted)
                self.assertGreaterEqual(found.in_time, before.in_time)

    def test_nothing_changes_where_the_called_service_has_room(self):
        before = play(0.6, throttled=False)
        found = play(0.6, throttled=True)
        self.assertGreaterEqual(found.in_time, 0.99 * before.in_time)

    def test_first_requests_of_the_called_service_are_not_starved(self):
        found = play(2.0, throttled=True)
        share = (found.in_time + found.late) / found.came
        self.assertGreater(found.own_served / found.own_came, share / 4)


class FailureTests(unittest.TestCase):
    """A called service that answers no call for a while."""

    def setUp(self):
        self.throttle = CallThrottle(rng=random.Random(3))

    def run_for(self, start_s, span_s, *, lost_call, rate=50):
        """Let requests come at a rate; return the share that was refused."""
        refused = 0
        count = int(span_s * rate)
        for number in range(count):
            now = start_s + number / rate
            if self.throttle.decide(now, KIND) is not None:
                refused += 1
            else:
                self.throttle.record_run(now, KIND, lost_call=lost_call)
        return refused / count

    def test_some_requests_go_on_to_find_out_when_it_is_back(self):
        self.run_for(0.0, 4.0, lost_call=True)
        self.assertLess(self.run_for(4.0, 4.0, lost_call=True), 0.98)

    def test_all_requests_begin_again_soon_after_it_is_back(self):
        self.run_for(0.0, 6.0, lost_call=True)
        self.run_for(6.0, 6.0, lost_call=False)
        self.assertLess(self.run_for(12.0, 1.0, lost_call=False), 0.02)
        self.assertEqual(self.throttle.read_share(60.0, KIND), 1.0)

    def test_few_lost_calls_refuse_nothing(self):
        for number in range(500):
            now = number / 50
            self.assertIsNone(self.throttle.decide(now, KIND))
            self.throttle.record_run(now, KIND, lost_call=number % 20 == 0)

    def test_kinds_are_told_apart_and_bounded(self):
        self.run_for(0.0, 4.0, lost_call=True)
        self.assertIsNone(self.throttle.decide(4.0, "other"))
        for number in range(2_000):
            self.throttle.record_run(4.0, f"kind-{number}", lost_call=True)
        self.assertLessEqual(len(self.throttle._kinds), 256)
