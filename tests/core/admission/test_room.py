"""Tests of papayatack.core.admission.room."""

import random
import unittest

from papayatack.core.admission import AdmissionController, AdmissionLimits, Admitted
from papayatack.core.admission.room import RoomMeter
from papayatack.core.inventory import RequestClass

SLOTS = 4
SERVICE_S = 0.1


class RoomTests(unittest.TestCase):
    """What a node tells of the room and the work left at its upstream."""

    def setUp(self):
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(slots=SLOTS, ramp_s=0.0),
            rng=random.Random(1),
        )
        self.room = RoomMeter()
        self.running = []

    def offer(self, now, count=1, request_class=RequestClass.BROWSE):
        """Submit requests and start those that are admitted."""
        for _ in range(count):
            self.admission.offer(
                now,
                partner="",
                request_class=request_class,
                cost=1.0,
                deadline_s=now + 100.0,
            )
        self.start(now)

    def start(self, now):
        """Start the requests that are admitted."""
        for decision in self.admission.poll(now):
            if isinstance(decision, Admitted):
                self.room.start(decision.entry)
                self.running.append(decision.entry)

    def finish(self, now, *, service_s=SERVICE_S, pace=1.0):
        """End the request that runs for longest."""
        entry = self.running.pop(0)
        self.room.finish(entry, service_time_s=service_s, pace=pace)
        self.admission.release(now, entry, service_time_s=service_s)
        self.start(now)

    def serve(self, count=50, **fields):
        """Run requests one after the other."""
        for _ in range(count):
            self.offer(0.0)
            self.finish(0.0, **fields)

    def read(self, pace=1.0):
        """Return what the node tells."""
        self.admission.set_pace(pace)
        return self.room.read(0.0, self.admission, pace=pace)

    def test_nothing_is_told_before_the_first_answer(self):
        """Without a service time, no work can be told."""
        self.offer(0.0)
        self.assertIsNone(self.read())

    def test_work_is_that_of_what_runs_and_waits(self):
        """Four requests run and two wait: a new one waits for the third to end."""
        self.serve()
        self.offer(0.0, 6)
        load = self.read()
        self.assertAlmostEqual(load.work_s, 6 * SERVICE_S, places=3)
        self.assertAlmostEqual(load.wait_s, 3 * SERVICE_S / SLOTS, places=3)
        self.assertEqual((load.slots, load.requests_per_s), (SLOTS, 0.0))

    def test_free_slot_means_no_wait(self):
        """With a slot left there is no wait, though there is work."""
        self.serve()
        self.offer(0.0, SLOTS - 1)
        load = self.read()
        self.assertEqual(load.wait_s, 0.0)
        self.assertAlmostEqual(load.work_s, 3 * SERVICE_S, places=3)

    def test_slow_moment_lengthens_work_but_not_the_usual_service_time(self):
        """Requests that ran slowly teach the usual time, not that of the moment."""
        self.serve(service_s=3 * SERVICE_S, pace=3.0)
        self.offer(0.0, 2)
        load = self.read(pace=3.0)
        self.assertAlmostEqual(load.service_s, SERVICE_S, places=6)
        self.assertAlmostEqual(load.work_s, 2 * 3 * SERVICE_S, places=3)

    def test_classes_count_with_their_own_service_times(self):
        """A download is more work than a short request."""
        for _ in range(20):
            self.offer(0.0, request_class=RequestClass.DOWNLOAD)
            self.finish(0.0, service_s=1.0)
            self.offer(0.0)
            self.finish(0.0)
        self.offer(0.0)
        short_s = self.read().work_s
        self.offer(0.0, request_class=RequestClass.DOWNLOAD)
        self.assertAlmostEqual(short_s, SERVICE_S, places=3)
        self.assertAlmostEqual(self.read().work_s, SERVICE_S + 1.0, places=3)

    def test_limit_in_force_is_told(self):
        """A limit on requests per second lengthens the wait."""
        self.serve()
        self.admission.observe_limit(0.0, 2.0)
        self.offer(0.0, 4)
        load = self.read()
        self.assertEqual(load.requests_per_s, 2.0)
        self.assertGreater(self.admission.queued, 0)
        self.assertEqual(load.wait_s, self.admission.queued / 2.0)

    def test_new_upstream_process_starts_without_service_times(self):
        """The speed of another process is not known."""
        self.serve()
        self.room.clear_service()
        self.assertIsNone(self.read())
