"""Tests of papayatack.core.health."""

import random
import unittest

from papayatack.core.errors import ErrorKind
from papayatack.core.health import HealthState, HealthTracker


def build_tracker(nodes="abcd", **fields):
    """Return a tracker with a fixed seed."""
    return HealthTracker(nodes=nodes, rng=random.Random(1), **fields)


def attempt(tracker, now, node, *, error=None, latency_s=0.01):
    """Make one attempt with the given result and latency."""
    number = tracker.start_attempt(now, node)
    tracker.finish_attempt(now + latency_s, node, number, error=error)


def fail(tracker, now, node, times=5, error=ErrorKind.UPSTREAM_LOST):
    """Make failed attempts at a node."""
    for _ in range(times):
        attempt(tracker, now, node, error=error)


class EjectionTests(unittest.TestCase):
    """Ejection of nodes."""

    def test_consecutive_failures_eject(self):
        """Five consecutive failures eject a node, four do not."""
        tracker = build_tracker()
        fail(tracker, 0.0, "a", times=4)
        self.assertTrue(tracker.allows(0.1, "a", repeatable=True))
        fail(tracker, 0.1, "a", times=1)
        self.assertFalse(tracker.allows(0.2, "a", repeatable=True))

    def test_frequent_failures_eject(self):
        """A node that fails most requests is ejected although some succeed."""
        tracker = build_tracker()
        for number in range(40):
            error = None if number % 4 == 0 else ErrorKind.UPSTREAM_LOST
            attempt(tracker, number * 0.01, "a", error=error)
        self.assertIs(tracker.read_state("a"), HealthState.EJECTED)

    def test_sheds_do_not_eject(self):
        """An upstream that sheds load is overloaded, but not faulty."""
        tracker = build_tracker()
        fail(tracker, 0.0, "a", times=50, error=ErrorKind.UPSTREAM_SHED)
        self.assertIs(tracker.read_state("a"), HealthState.HEALTHY)

    def test_stall_ejects(self):
        """A node without answers is ejected before any request times out."""
        tracker = build_tracker()
        attempt(tracker, 0.0, "a")
        tracker.start_attempt(1.0, "a")
        self.assertEqual(tracker.next_check(), 2.0)
        self.assertEqual(tracker.check(1.9), ())
        self.assertEqual(tracker.check(2.0), ("a",))

    def test_long_latencies_extend_the_stall_timeout(self):
        """A node whose answers take seconds is not stalled after a few seconds."""
        tracker = build_tracker()
        attempt(tracker, 0.0, "a", latency_s=2.0)
        tracker.start_attempt(3.0, "a")
        self.assertEqual(tracker.check(10.0), ())
        self.assertEqual(tracker.check(11.0), ("a",))

    def test_stall_timeouts_are_separate_for_each_kind(self):
        """A download that takes seconds does not make a fast node seem stalled."""
        tracker = build_tracker()
        attempt(tracker, 0.0, "a")
        number = tracker.start_attempt(1.0, "a", kind="download")
        self.assertEqual(tracker.check(10.9), ())
        tracker.finish_attempt(10.9, "a", number, error=None)
        self.assertIs(tracker.read_state("a"), HealthState.HEALTHY)

    def test_short_timeouts_of_callers_do_not_eject(self):
        """Timeouts shorter than the usual latency do not count as failures."""
        tracker = build_tracker()
        attempt(tracker, 0.0, "a", latency_s=0.2)
        fail(tracker, 1.0, "a", times=50, error=ErrorKind.UPSTREAM_TIMEOUT)
        self.assertIs(tracker.read_state("a"), HealthState.HEALTHY)
        for _ in range(5):
            attempt(tracker, 2.0, "a", error=ErrorKind.UPSTREAM_TIMEOUT, latency_s=0.3)
        self.assertIs(tracker.read_state("a"), HealthState.EJECTED)

    def test_ejected_share_is_bounded(self):
        """Half of the nodes stay in use while all of them fail."""
        tracker = build_tracker()
        for node in "abcd":
            fail(tracker, 0.0, node, times=20)
        states = [tracker.read_state(node) for node in "abcd"]
        self.assertEqual(states.count(HealthState.EJECTED), 2)


class ProbeTests(unittest.TestCase):
    """Probes of ejected nodes."""

    def test_probes_one_at_a_time(self):
        """An ejected node gets single requests until two have been answered."""
        tracker = build_tracker()
        fail(tracker, 0.0, "a")
        self.assertFalse(tracker.allows(0.3, "a", repeatable=True))
        self.assertTrue(tracker.allows(1.0, "a", repeatable=True))
        number = tracker.start_attempt(1.0, "a")
        self.assertFalse(tracker.allows(1.0, "a", repeatable=True))
        tracker.finish_attempt(1.01, "a", number, error=None)
        attempt(tracker, 1.02, "a")
        self.assertIs(tracker.read_state("a"), HealthState.HEALTHY)

    def test_failed_probe_lengthens_ejection(self):
        """Each failed probe lengthens the ejection, up to a limit."""
        tracker = build_tracker()
        fail(tracker, 0.0, "a")
        now, waits_s = 0.0, []
        for _ in range(8):
            until_s = tracker.next_check()
            waits_s.append(until_s - now)
            now = until_s
            attempt(tracker, now, "a", error=ErrorKind.UPSTREAM_LOST, latency_s=0.0)
        self.assertGreater(waits_s[2], 1.3 * waits_s[1])
        self.assertLessEqual(max(waits_s), 2.0 * 1.2)

    def test_stalled_probe_ejects_again(self):
        """A probe without an answer ejects the node again."""
        tracker = build_tracker()
        attempt(tracker, 0.0, "a")
        tracker.start_attempt(1.0, "a")
        tracker.check(2.0)
        tracker.check(3.0)
        self.assertIs(tracker.read_state("a"), HealthState.PROBING)
        tracker.start_attempt(3.0, "a")
        self.assertEqual(tracker.check(4.0), ("a",))

    def test_timeouts_of_earlier_attempts_do_not_fail_probes(self):
        """Attempts from before the ejection that time out later are ignored."""
        tracker = build_tracker()
        attempt(tracker, 0.0, "a")
        old = tracker.start_attempt(1.0, "a")
        tracker.check(2.0)
        tracker.check(3.0)
        tracker.finish_attempt(3.1, "a", old, error=ErrorKind.UPSTREAM_TIMEOUT)
        self.assertIs(tracker.read_state("a"), HealthState.PROBING)

    def test_unrepeatable_request_is_a_probe_only_after_a_delay(self):
        """An order probes a node only if no other request did for a while."""
        tracker = build_tracker()
        fail(tracker, 0.0, "a")
        self.assertFalse(tracker.allows(1.0, "a", repeatable=False))
        self.assertTrue(tracker.allows(4.0, "a", repeatable=False))


class WrongReportTests(unittest.TestCase):
    """Health reports that are late or wrong."""

    def test_healthy_report_does_not_reinstate(self):
        """An ejected node that reports itself healthy stays ejected."""
        tracker = build_tracker()
        fail(tracker, 0.0, "a")
        tracker.record_health_report(0.1, "a", healthy=True)
        self.assertFalse(tracker.allows(0.2, "a", repeatable=True))

    def test_unhealthy_report_does_not_eject(self):
        """A node that answers stays healthy, whatever it reports."""
        tracker = build_tracker()
        for number in range(100):
            tracker.record_health_report(number * 0.1, "a", healthy=False)
            attempt(tracker, number * 0.1, "a")
        self.assertTrue(tracker.allows(10.0, "a", repeatable=False))

    def test_stale_report_permits_no_unrepeatable_probe(self):
        """Only a recent healthy report permits an unrepeatable request as the probe."""
        tracker = build_tracker()
        tracker.record_health_report(1.0, "a", healthy=True)
        fail(tracker, 9.0, "a")
        self.assertFalse(tracker.allows(10.0, "a", repeatable=False))
        tracker.record_health_report(10.0, "a", healthy=True)
        self.assertTrue(tracker.allows(10.0, "a", repeatable=False))
