"""Tests of papayatack.core.admission.rank_order, as the controller applies it."""

import random
import unittest

from papayatack.core.admission import (
    AdmissionController,
    AdmissionLimits,
    Admitted,
    Refused,
)
from papayatack.core.admission.rank_lanes import MAX_RANK
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import RequestClass

SERVICE_S = 0.2
CLASSES = (RequestClass.ORDER, RequestClass.CALL)


class RankOrderTests(unittest.TestCase):
    """An upstream of one slot, whose classes of two ranks have known service times."""

    def setUp(self):
        self.now = 0.0
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(slots=1, ramp_s=0.0),
            rng=random.Random(1),
        )
        for rank in (0, 2):
            for request_class in CLASSES:
                self.run_one(rank, request_class)
        # What was measured fades, so that nothing is owed.
        self.now += 60.0

    def offer(
        self, rank, request_class=RequestClass.ORDER, *, deadline_s=5.0, target_s=None
    ):
        """Submit a request and return its entry."""
        return self.admission.offer(
            self.now,
            partner="",
            request_class=request_class,
            cost=1.0,
            deadline_s=self.now + deadline_s,
            target_s=None if target_s is None else self.now + target_s,
            rank=rank,
        )

    def run_one(self, rank, request_class=RequestClass.ORDER):
        """Run a request from its arrival to its end."""
        entry = self.offer(rank, request_class)
        self.admission.poll(self.now)
        self.end(entry)

    def end(self, entry):
        """End a request that runs."""
        self.now += SERVICE_S
        self.admission.release(self.now, entry, service_time_s=SERVICE_S)

    def poll(self):
        """Return the admitted entries, and the refusals by their entries."""
        decisions = self.admission.poll(self.now)
        admitted = [one.entry for one in decisions if isinstance(one, Admitted)]
        refused = {
            one.entry: one.refusal for one in decisions if isinstance(one, Refused)
        }
        return admitted, refused

    def serve_all(self):
        """Serve what waits; return the entries in the order of their start."""
        served = []
        while admitted := self.poll()[0]:
            served += admitted
            self.end(admitted[0])
        return served

    def test_better_rank_is_served_first(self):
        running = self.offer(0)
        self.poll()
        worse, better = self.offer(2), self.offer(0)
        self.end(running)
        self.assertEqual(self.serve_all(), [better, worse])

    def test_calls_are_served_first_in_their_rank(self):
        running = self.offer(0)
        self.offer(2)
        self.poll()
        first = self.offer(0)
        call = self.offer(0, RequestClass.CALL)
        self.end(running)
        self.assertEqual(self.serve_all()[:2], [call, first])

    def test_returning_caller_is_served_before_new_ones_of_its_rank(self):
        """It comes with less time left."""
        for rank in (0, 2):
            with self.subTest(rank=rank):
                running = self.offer(2 - rank)
                self.poll()
                new = self.offer(rank, target_s=2.0)
                returning = self.offer(rank, target_s=1.0)
                self.end(running)
                self.assertEqual(self.serve_all(), [returning, new])

    def test_returning_caller_of_a_worse_rank_does_not_pass_a_better_one(self):
        running = self.offer(0)
        self.poll()
        new = self.offer(0, target_s=3.0)
        returning = self.offer(2, target_s=0.8)
        self.end(running)
        self.assertEqual(self.serve_all(), [new, returning])

    def test_rank_that_got_less_than_its_guarantee_is_served_first(self):
        """Once a request of it was refused, the next is served before better ones."""
        running = self.offer(0)
        self.poll()
        refused = self.offer(2, target_s=0.5)
        for _ in range(3):
            self.offer(0)
            self.end(running)
            (running,), refusals = self.poll()
            if refused in refusals:
                break
        self.assertIn(refused, refusals)
        next_worse, better = self.offer(2), self.offer(0)
        self.end(running)
        self.assertEqual(self.serve_all()[0], next_worse)
        self.assertEqual(better.state.name, "ENDED")

    def test_queue_of_a_worse_rank_does_not_count(self):
        """A better request is accepted, however much of a worse rank waits."""
        self.offer(0)
        self.poll()
        for _ in range(8):
            self.offer(2, deadline_s=20.0)
        better = self.offer(0, target_s=2.5 * SERVICE_S)
        self.assertNotIn(better, self.poll()[1])

    def test_request_of_a_worse_rank_gives_way(self):
        """It is refused as not run once it cannot be expected to start in time."""
        running = self.offer(0)
        self.poll()
        worse = self.offer(2, target_s=1.0)
        refused = {}
        for _ in range(6):
            self.offer(0, deadline_s=20.0)
            refused |= self.poll()[1]
        self.assertEqual(list(refused), [worse])
        refusal = refused[worse]
        self.assertIs(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertGreater(refusal.retry_after_s, 5 * SERVICE_S)
        self.assertEqual(running.state.name, "RUNNING")

    def test_better_rank_does_not_give_way(self):
        self.offer(2)
        self.poll()
        better = self.offer(0, target_s=1.0)
        refused = {}
        for _ in range(6):
            self.offer(2, deadline_s=20.0)
            refused |= self.poll()[1]
        self.assertNotIn(better, refused)

    def test_end_of_a_waiting_request_leaves_its_place_to_the_next_rank(self):
        """The node of its parent has gone, so nobody waits for the call any more."""
        running = self.offer(0)
        self.poll()
        call = self.offer(0, RequestClass.CALL)
        worse = self.offer(2)
        self.admission.cancel(self.now, call)
        self.end(running)
        self.assertEqual(self.serve_all(), [worse])

    def test_great_ranks_count_as_the_last_one(self):
        entry = self.offer(10**9)
        self.assertEqual(entry.rank, MAX_RANK)

    def test_ranks_that_have_gone_change_nothing(self):
        """What waits beside an idle rank is accepted as if there was none."""
        self.offer(2)
        self.poll()
        entries = [self.offer(2, target_s=1.0) for _ in range(4)]
        self.assertEqual(self.poll()[1], {})
        self.assertEqual(self.admission.queued, len(entries))


class DownloadTests(unittest.TestCase):
    """Downloads of several ranks beside short requests."""

    STEP_S = 0.05
    STEPS = 400

    def count_downloads(self, ranks):
        """Return the most slots that downloads held once the load was known."""
        limits = AdmissionLimits(slots=8, ramp_s=0.0)
        admission = AdmissionController(now=0.0, limits=limits, rng=random.Random(1))
        ends = []
        held = []
        for step in range(self.STEPS):
            now = step * self.STEP_S
            for end in [end for end in ends if end[0] <= now]:
                ends.remove(end)
                service_s = now - end[1].started_s
                admission.release(now, end[1], service_time_s=service_s)
            for rank in ranks:
                for kind in (RequestClass.BROWSE, RequestClass.DOWNLOAD):
                    admission.offer(
                        now,
                        partner="",
                        request_class=kind,
                        cost=1.0,
                        deadline_s=now + 60.0,
                        rank=rank,
                    )
            for decision in admission.poll(now):
                if isinstance(decision, Admitted):
                    entry = decision.entry
                    is_short = entry.request_class is RequestClass.BROWSE
                    ends.append((now + (0.09 if is_short else 2.0), entry))
            held.append(
                sum(end[1].request_class is RequestClass.DOWNLOAD for end in ends)
            )
        return max(held[self.STEPS // 2 :])

    def test_downloads_of_all_ranks_keep_to_what_short_requests_leave(self):
        """They hold no more slots than downloads of one rank."""
        self.assertLessEqual(self.count_downloads((0, 1)), self.count_downloads((0, 0)))

    def test_urgent_downloads_do_not_take_the_slots_of_short_requests(self):
        self.assertLess(self.count_downloads((0, 1)), 8)
