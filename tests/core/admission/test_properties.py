"""Property tests of admission control over sequences of events."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.admission.entry import EntryState
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import Partner, RequestClass

SLOTS = 3
QUEUE_PER_SLOT = 2
PARTNERS = (Partner(name="a"), Partner(name="b", weight=2.0))
ERRORS = (None, None, None, ErrorKind.UPSTREAM_SHED, ErrorKind.UPSTREAM_LOST)

STEP = st.one_of(
    st.tuples(
        st.just("offer"),
        st.tuples(
            st.sampled_from(("a", "b", "x", "y")),
            st.sampled_from(RequestClass),
            st.floats(0.1, 40.0),
            st.floats(0.0, 5.0),
        ),
    ),
    st.tuples(st.just("release"), st.tuples(st.integers(0), st.sampled_from(ERRORS))),
    st.tuples(st.just("cancel"), st.tuples(st.integers(0))),
    st.tuples(st.just("wait"), st.tuples(st.floats(0.001, 2.0))),
)


class _Run:
    """A controller with its invariants checked after every step."""

    def __init__(self, case):
        self.case = case
        self.now = 0.0
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(slots=SLOTS, queue_per_slot=QUEUE_PER_SLOT),
            partners=PARTNERS,
            rng=random.Random(1),
        )
        self.queued = []
        self.running = []
        self.decided = set()
        self.cancelled = set()

    def offer(self, partner, request_class, cost, within_s):
        """Submit a request."""
        entry = self.admission.offer(
            self.now,
            partner=partner,
            request_class=request_class,
            cost=cost,
            deadline_s=self.now + within_s,
        )
        self.queued.append(entry)

    def release(self, index, error):
        """Release a running request."""
        if self.running:
            entry = self.running.pop(index % len(self.running))
            self.admission.release(
                self.now,
                entry,
                service_time_s=self.now - entry.started_s,
                error=error,
            )

    def cancel(self, index):
        """Cancel a queued or running request."""
        entries = self.queued + self.running
        if entries:
            entry = entries[index % len(entries)]
            (self.queued if entry in self.queued else self.running).remove(entry)
            self.cancelled.add(entry)
            self.admission.cancel(self.now, entry)

    def wait(self, seconds):
        """Advance the clock, polling the controller at its wake-up times."""
        end_s = self.now + seconds
        for _ in range(10_000):
            wakeup_s = self.admission.next_wakeup(self.now)
            if wakeup_s is None or wakeup_s > end_s:
                break
            self.case.assertGreater(wakeup_s, self.now)
            self.now = wakeup_s
            self.settle()
        self.now = end_s

    def settle(self):
        """Apply the decisions and check the invariants."""
        for decision in self.admission.poll(self.now):
            entry = decision.entry
            self.case.assertNotIn(entry, self.decided)
            self.case.assertNotIn(entry, self.cancelled)
            self.decided.add(entry)
            self.queued.remove(entry)
            if isinstance(decision, Admitted):
                self.running.append(entry)
            else:
                self.case.assertIs(entry.state, EntryState.ENDED)
        self.check_bounds()
        self.check_work_conservation()
        self.check_no_expired_requests()

    def check_bounds(self):
        """Check the bounds on slots, queues and memory."""
        admission = self.admission
        self.case.assertEqual(admission.in_use, len(self.running))
        self.case.assertEqual(admission.queued, len(self.queued))
        self.case.assertLessEqual(admission.in_use, SLOTS)
        bound = SLOTS * QUEUE_PER_SLOT
        for request_class in RequestClass:
            queue = admission.get_class_state(request_class).queue
            self.case.assertLessEqual(len(queue), bound)
            self.case.assertLessEqual(queue.flow_count, len(PARTNERS) + 1)
        self.case.assertLessEqual(
            admission._queue_deadlines.stored, 2 * 3 * bound + 64 + 1
        )

    def check_work_conservation(self):
        """Check that a slot is free only if no queued request may use it."""
        admission = self.admission
        if admission.in_use >= admission.current_limit(self.now):
            return
        for request_class in (RequestClass.ORDER, RequestClass.BROWSE):
            self.case.assertFalse(len(admission.get_class_state(request_class).queue))
        downloads = admission.get_class_state(RequestClass.DOWNLOAD)
        if len(downloads.queue):
            self.case.assertGreaterEqual(downloads.in_use, 1)

    def check_no_expired_requests(self):
        """Check that requests which cannot finish in time have been refused."""
        for entry in self.queued:
            self.case.assertGreater(entry.queue_deadline_s, self.now)


class AdmissionPropertyTests(unittest.TestCase):
    """Properties that hold for any sequence of events."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.lists(STEP, max_size=60))
    def test_invariants(self, steps):
        """Bounds, work conservation and single decisions hold after each step."""
        run = _Run(self)
        for action, arguments in steps:
            getattr(run, action)(*arguments)
            run.settle()

    @hypothesis.settings(max_examples=100)
    @hypothesis.given(st.lists(STEP, max_size=60))
    def test_every_request_gets_one_decision(self, steps):
        """Once the running requests have ended, each request has one decision."""
        run = _Run(self)
        for action, arguments in steps:
            getattr(run, action)(*arguments)
            run.settle()
        for _ in range(200):
            run.release(0, None)
            run.settle()
            run.wait(0.5)
            run.settle()
        self.assertEqual((run.queued, run.running), ([], []))
        self.assertEqual(run.admission.in_use, 0)

    def test_no_partner_starves(self):
        """At most two requests of a heavy partner precede one of a light partner."""
        admission = AdmissionController(
            now=-100.0,
            limits=AdmissionLimits(slots=1),
            partners=PARTNERS,
            rng=random.Random(1),
        )
        now = 0.0
        served = []
        for _ in range(50):
            for partner in ("a", "a", "a", "b"):
                admission.offer(
                    now,
                    partner=partner,
                    request_class=RequestClass.BROWSE,
                    cost=1.0,
                    deadline_s=now + 60.0,
                )
            for decision in admission.poll(now):
                if isinstance(decision, Admitted):
                    served.append(decision.entry)
            now += 0.1
            admission.release(now, served[-1], service_time_s=0.1)
        waits = [entry.flow for entry in served]
        gaps = "".join(waits).split("b")
        self.assertLessEqual(max(len(gap) for gap in gaps[1:-1]), 2)
