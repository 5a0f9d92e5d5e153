"""Tests of papayatack.core.admission.fair_queue against a reference implementation."""

import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.admission.entry import QueueEntry
from papayatack.core.admission.fair_queue import FairQueue
from papayatack.core.inventory import RequestClass
from tests.core.admission.reference import ReferenceFairQueue

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
FLOWS = ("a", "b", "c", "")


def build_entry(number, flow, charge=1.0, latest_start_s=0.0):
    """Return a queue entry."""
    return QueueEntry(
        number=number,
        flow=flow,
        request_class=RequestClass.BROWSE,
        cost=charge,
        deadline_s=0.0,
        charge=charge,
        queue_deadline_s=latest_start_s,
    )


STEP = st.one_of(
    st.tuples(st.just("push"), st.sampled_from(FLOWS), st.integers(1, 40)),
    st.tuples(st.just("pop"), st.just(""), st.just(0)),
    st.tuples(st.just("remove"), st.just(""), st.integers(0, 50)),
    st.tuples(st.just("adjust"), st.just(""), st.integers(-20, 40)),
)


class FairQueueTests(unittest.TestCase):
    """Order of service and shares of flows."""

    def serve(self, queue, times):
        """Pop entries and return how often each flow was served."""
        served = dict.fromkeys(FLOWS, 0)
        for _ in range(times):
            served[queue.pop().flow] += 1
        return served

    def test_shares_follow_weights(self):
        """Backlogged flows are served in proportion to their weights."""
        queue = FairQueue(weights=WEIGHTS)
        for number in range(800):
            queue.push(build_entry(number, FLOWS[number % 4]))
        served = self.serve(queue, 180)
        self.assertEqual(served, {"a": 40, "b": 80, "c": 20, "": 40})

    def test_requests_are_charged_by_cost(self):
        """A flow whose requests cost ten times as much is served a tenth as often."""
        queue = FairQueue(weights={"a": 1.0, "d": 1.0})
        for number in range(200):
            queue.push(build_entry(number, "a", 10.0))
            queue.push(build_entry(1000 + number, "d", 1.0))
        served = [queue.pop().flow for _ in range(110)]
        self.assertEqual(served.count("a"), 10)

    def test_undeclared_cost_is_charged_afterwards(self):
        """The actual use of slots counts, regardless of the declared cost."""
        queue = FairQueue(weights={"a": 1.0, "d": 1.0})
        for number in range(200):
            queue.push(build_entry(number, "a"))
            queue.push(build_entry(1000 + number, "d"))
        served = []
        for _ in range(110):
            entry = queue.pop()
            served.append(entry.flow)
            queue.adjust(entry, 9.0 if entry.flow == "a" else 0.0)
        self.assertLessEqual(served.count("a"), 11)

    def test_idle_flow_is_charged_afterwards(self):
        """A flow with an empty queue is still charged for its actual use."""
        queue = FairQueue(weights={"a": 1.0, "d": 1.0})
        queue.push(build_entry(1, "a"))
        queue.adjust(queue.pop(), 9.0)
        for number in range(10):
            queue.push(build_entry(10 + number, "a"))
            queue.push(build_entry(30 + number, "d"))
        served = "".join(queue.pop().flow for _ in range(11))
        self.assertLessEqual(served.count("a"), 1)

    def test_idle_flow_earns_no_credit(self):
        """A flow that was idle gets no more than its share."""
        queue = FairQueue(weights={"a": 1.0, "d": 1.0})
        for number in range(200):
            queue.push(build_entry(number, "a"))
        for _ in range(100):
            queue.pop()
        for number in range(100):
            queue.push(build_entry(1000 + number, "d"))
        served = [queue.pop().flow for _ in range(40)]
        self.assertAlmostEqual(served.count("d"), 20, delta=1)

    def test_measured_wait_rate_corrects_estimate(self):
        """A flow that is served more slowly than its share is judged by its rate."""
        queue = FairQueue(weights=dict.fromkeys("abcdefgh", 1.0))
        for number in range(10):
            queue.push(build_entry(number, "a"))
        self.assertAlmostEqual(queue.estimate_wait("a", 2.0), 5.0)
        first = queue.pop()
        queue.record_wait(first, 3.0)
        self.assertAlmostEqual(queue.estimate_wait("a", 2.0), 27.0)
        queue.record_wait(queue.pop(), 6.0)
        self.assertAlmostEqual(queue.estimate_wait("a", 2.0), 24.0)
        for _ in range(8):
            queue.pop()
        queue.push(build_entry(99, "a"))
        self.assertAlmostEqual(queue.estimate_wait("a", 2.0), 0.5)

    def test_wait_rate_is_capped_at_the_fair_share(self):
        """One long wait does not raise the estimate above that of the fair share."""
        queue = FairQueue(weights={"a": 1.0})
        for number in range(3):
            queue.push(build_entry(number, "a"))
        queue.record_wait(queue.pop(), 100.0)
        self.assertAlmostEqual(queue.estimate_wait("a", 2.0), 2.0)

    def test_new_weights_keep_queued_requests(self):
        """A flow without a weight is served until it is empty, then removed."""
        queue = FairQueue(weights=WEIGHTS)
        for number in range(3):
            queue.push(build_entry(number, "b"))
        queue.set_weights({"a": 1.0})
        self.assertEqual([queue.pop().number for _ in range(3)], [0, 1, 2])
        self.assertEqual(queue.flow_count, 0)


class DifferentialTests(unittest.TestCase):
    """Comparison with the reference implementation."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.lists(STEP, max_size=60))
    def test_agrees_with_reference(self, steps):
        """Every step serves a flow that the reference may serve, and sums agree."""
        run = _QueuePair(self)
        for action, flow, value in steps:
            getattr(run, action)(flow, value)
            run.compare()


class _QueuePair:
    """Both implementations, driven by the same steps."""

    def __init__(self, case):
        self.case = case
        self.queue = FairQueue(weights=WEIGHTS)
        self.reference = ReferenceFairQueue(weights=WEIGHTS)
        self.taken = []
        self.number = 0

    def push(self, flow, charge):
        """Push an entry to both queues; some have the same latest start."""
        self.number += 1
        latest_start_s = float(self.number * charge % 7)
        entry = build_entry(self.number, flow, float(charge), latest_start_s)
        self.queue.push(entry)
        self.reference.push(entry)

    def pop(self, _flow, _value):
        """Pop from both queues; any flow with the lowest start tag is correct."""
        if not self.reference.waiting:
            self.case.assertIsNone(self.queue.pop())
            return
        least = self.reference.least_start()
        entry = self.queue.pop()
        self.case.assertAlmostEqual(self.reference.starts[entry.flow], least)
        self.case.assertIs(self.reference.pop(entry.flow), entry)
        self.taken.append(entry)

    def remove(self, _flow, index):
        """Remove a queued entry from both queues."""
        if self.reference.waiting:
            entry = self.reference.waiting[index % len(self.reference.waiting)]
            self.queue.remove(entry)
            self.reference.remove(entry)

    def adjust(self, _flow, difference):
        """Correct the charge of an entry that was popped."""
        if self.taken:
            entry = self.taken.pop(0)
            self.queue.adjust(entry, float(difference))
            self.reference.adjust(entry, float(difference))

    def compare(self):
        """Compare the observable state of both queues."""
        case = self.case
        case.assertEqual(len(self.queue), len(self.reference.waiting))
        for flow in FLOWS:
            case.assertAlmostEqual(
                self.queue.estimate_work_ahead(flow), self.reference.work_ahead(flow)
            )
        candidate = self.queue.find_drop_candidate()
        if candidate is None:
            case.assertFalse(self.reference.waiting)
            return
        case.assertAlmostEqual(
            self.queue.weighted_length(candidate.flow), self.reference.longest()
        )
        case.assertIs(self.reference.newest(candidate.flow), candidate)
