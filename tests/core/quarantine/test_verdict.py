"""Tests of papayatack.core.quarantine.verdict."""

import unittest

from papayatack.core.quarantine import (
    Fingerprints,
    Quarantine,
    Suspicion,
    SuspicionTable,
    VerdictKind,
)
from papayatack.core.quarantine.verdict import HOLD_S

SAME = Fingerprints(broad="b", exact="e1")
ALIKE = Fingerprints(broad="b", exact="e2")


def build(fingerprint, rounds, *, generation=0, variant="", is_shared=False):
    """Return a suspicion."""
    return Suspicion(
        fingerprint=fingerprint,
        head="h",
        service_name="desk",
        caller="papers",
        generation=generation,
        rounds=rounds,
        variant=variant,
        is_shared=is_shared,
    )


class VerdictTests(unittest.TestCase):
    """What may be done with a request."""

    def setUp(self):
        self.logged = SuspicionTable()
        self.quarantine = Quarantine(logged=self.logged)
        self.changes = 0
        self.quarantine.on_change = self.count_change

    def count_change(self):
        """Count a change."""
        self.changes += 1

    def learn(self, *suspicions, now=0.0):
        """Learn suspicions from a peer."""
        for suspicion in suspicions:
            self.quarantine.learn(suspicion, now)

    def judge(self, fingerprints=SAME, now=0.0):
        """Return the kind of the verdict."""
        return self.quarantine.judge(fingerprints, now).kind

    def test_rounds_lead_from_alone_over_held_to_refused(self):
        self.assertIs(self.judge(), VerdictKind.FREE)
        self.learn(build("e1", 1))
        self.assertIs(self.judge(), VerdictKind.ALONE)
        self.learn(build("e1", 2), now=1.0)
        self.assertIs(self.judge(now=1.0), VerdictKind.HELD)
        self.assertIs(self.judge(now=1.0 + HOLD_S), VerdictKind.ALONE)
        self.learn(build("e1", 3), now=9.0)
        self.assertIs(self.judge(now=1e9), VerdictKind.REFUSED)
        self.assertEqual(self.changes, 3)

    def test_request_that_ended_is_free_again(self):
        self.learn(build("e1", 3), build("e1", 0, generation=1))
        self.assertIs(self.judge(), VerdictKind.FREE)

    def test_same_path_with_another_caller_is_served_while_one_request_crashes(self):
        self.learn(build("e1", 3), build("b", 3, variant="e1"))
        self.assertIs(self.judge(SAME), VerdictKind.REFUSED)
        self.assertIs(self.judge(ALIKE), VerdictKind.ALONE)

    def test_requests_that_differ_in_their_key_and_all_crash_are_refused(self):
        self.learn(build("b", 3, variant="e9", is_shared=True))
        self.assertIs(self.judge(ALIKE), VerdictKind.REFUSED)

    def test_what_the_log_and_peers_say_is_joined(self):
        self.learn(build("e1", 2))
        self.logged.merge(build("e1", 1))
        self.quarantine.note_logged(build("e1", 1), 0.0)
        self.assertIs(self.judge(), VerdictKind.HELD)
        self.assertEqual(len(self.quarantine.list_unlogged()), 1)
        self.logged.merge(build("e1", 3))
        self.quarantine.note_logged(build("e1", 3), 0.0)
        self.assertIs(self.judge(), VerdictKind.REFUSED)
        self.assertEqual(self.quarantine.list_unlogged(), [])

    def test_node_that_has_just_started_holds_what_the_log_says(self):
        self.logged.merge(build("e1", 2))
        self.assertIs(self.judge(now=100.0), VerdictKind.HELD)
        self.assertIs(self.judge(now=100.0 + HOLD_S), VerdictKind.ALONE)
