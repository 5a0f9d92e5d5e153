"""Property and differential tests of admission by rank."""

import hashlib
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import Partner, RequestClass
from tests.fakes.rank_load import Kind, RankLoad

SLOTS = 3
QUEUE_PER_SLOT = 2
PARTNERS = (Partner(name="a"), Partner(name="b", weight=2.0))
ERRORS = (None, None, None, ErrorKind.UPSTREAM_SHED, ErrorKind.UPSTREAM_LOST)

STEP = st.one_of(
    st.tuples(
        st.just("offer"),
        st.tuples(
            st.sampled_from(("a", "b", "x")),
            st.sampled_from(RequestClass),
            st.integers(0, 9),
            st.floats(0.1, 5.0),
            st.one_of(st.none(), st.floats(0.0, 3.0)),
        ),
    ),
    st.tuples(st.just("release"), st.tuples(st.integers(0), st.sampled_from(ERRORS))),
    st.tuples(st.just("cancel"), st.tuples(st.integers(0))),
    st.tuples(st.just("wait"), st.tuples(st.floats(0.001, 1.0))),
)

UNRANKED_DIGESTS = {
    0.8: "3bd61c11a5e446f3",
    1.3: "99763f9bfa404e59",
    2.0: "f7348cfb10998769",
}
"""Digests of all decisions on the same draws by a controller that knew no ranks."""


class _Run:
    """A controller with its invariants checked after every step."""

    def __init__(self, case, *, rank=None):
        self.case = case
        self.rank = rank
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
        self.decisions = []

    def offer(self, partner, request_class, rank, within_s, target_s):
        """Submit a request."""
        entry = self.admission.offer(
            self.now,
            partner=partner,
            request_class=request_class,
            cost=1.0,
            deadline_s=self.now + within_s,
            target_s=None if target_s is None else self.now + target_s,
            rank=rank if self.rank is None else self.rank,
        )
        self.queued.append(entry)

    def release(self, index, error):
        """Release a running request."""
        if self.running:
            entry = self.running.pop(index % len(self.running))
            service_s = self.now - entry.started_s
            self.admission.release(
                self.now, entry, service_time_s=service_s, error=error
            )

    def cancel(self, index):
        """Cancel a queued or running request, as the node of its caller has gone."""
        entries = self.queued + self.running
        if entries:
            entry = entries[index % len(entries)]
            (self.queued if entry in self.queued else self.running).remove(entry)
            self.decided.add(entry)
            self.admission.cancel(self.now, entry)

    def wait(self, seconds):
        """Advance the clock, polling the controller at its wake-up times."""
        end_s = self.now + seconds
        while (wakeup_s := self.admission.next_wakeup(self.now)) is not None:
            if wakeup_s > end_s:
                break
            self.case.assertGreater(wakeup_s, self.now)
            self.now = wakeup_s
            self.settle()
        self.now = end_s

    def settle(self):
        """Apply the decisions and check the invariants."""
        for decision in self.admission.poll(self.now):
            entry = decision.entry
            if entry in self.decided:
                # Cancelled before its decision was read.
                self.case.assertNotIn(entry, self.queued + self.running)
                continue
            self.decided.add(entry)
            self.queued.remove(entry)
            admitted = isinstance(decision, Admitted)
            self.decisions.append((entry.number, admitted))
            if admitted:
                self.running.append(entry)
        self.check_bounds()
        self.check_work_conservation()

    def check_bounds(self):
        """Check the slots, the queues and the memory."""
        self.case.assertEqual(self.admission.in_use, len(self.running))
        self.case.assertEqual(self.admission.queued, len(self.queued))
        self.case.assertLessEqual(self.admission.in_use, SLOTS)
        states = list(self.admission._lanes)
        self.case.assertLessEqual(len(states), 8 * len(RequestClass))
        for state in states:
            self.case.assertLessEqual(len(state.queue), SLOTS * QUEUE_PER_SLOT)

    def check_work_conservation(self):
        """Check that no slot is free while a request waits that may use it."""
        admission = self.admission
        if admission.in_use >= admission.current_limit(self.now):
            return
        for state in admission._lanes:
            if state.request_class is not RequestClass.DOWNLOAD:
                self.case.assertFalse(len(state.queue))
            elif len(state.queue):
                self.case.assertGreaterEqual(admission._lanes.count_downloads(), 1)


class RankPropertyTests(unittest.TestCase):
    """Properties that hold for any sequence of requests of any ranks."""

    @hypothesis.settings(max_examples=300, derandomize=True)
    @hypothesis.given(st.lists(STEP, max_size=60))
    def test_slots_are_used_and_each_request_gets_one_decision(self, steps):
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

    @hypothesis.settings(max_examples=100, derandomize=True)
    @hypothesis.given(st.lists(STEP, max_size=60), st.integers(1, 9))
    def test_equal_ranks_are_treated_alike_whatever_they_are(self, steps, rank):
        runs = [_Run(self, rank=0), _Run(self, rank=rank)]
        for run in runs:
            for action, arguments in steps:
                getattr(run, action)(*arguments)
                run.settle()
        self.assertEqual(runs[0].decisions, runs[1].decisions)


def list_mixed_kinds(rank):
    """Return kinds of one rank in all classes."""
    classes = (RequestClass.ORDER, RequestClass.BROWSE, RequestClass.DOWNLOAD)
    kinds = [
        Kind(
            rank=rank,
            work_s=work_s,
            target_s=target_s,
            deadline_s=3.0 * target_s,
            share=share,
            request_class=request_class,
        )
        for work_s, target_s, share, request_class in zip(
            (0.14, 0.2, 0.8), (0.41, 0.62, 2.0), (0.3, 0.3, 0.2), classes, strict=True
        )
    ]
    call = Kind(rank=rank, work_s=0.05, target_s=0.2, deadline_s=0.6, share=0.2)
    call.request_class = RequestClass.CALL
    return [*kinds, call]


def digest_decisions(load, *, rank, ranked):
    """Return a digest of all decisions on requests of one rank."""
    kinds = list_mixed_kinds(rank)
    played = RankLoad(kinds=kinds, load=lambda now: load, seed=3, ranked=ranked)
    played.run()
    return hashlib.sha256(repr(played.decisions).encode()).hexdigest()[:16]


class OneRankTests(unittest.TestCase):
    """Where all requests have one rank, ranks change no decision."""

    def test_decisions_are_those_of_a_controller_that_knows_no_ranks(self):
        for load, expected in UNRANKED_DIGESTS.items():
            for rank in (0, 2):
                with self.subTest(load=load, rank=rank):
                    self.assertEqual(
                        digest_decisions(load, rank=rank, ranked=True), expected
                    )
