"""Model checking of the lease protocol.

A search that stops at its bound proves nothing and fails the test.
"""

import unittest

import minicheck

from spec.messages import MESSAGE_MODELS, build_message_protocol
from spec.models import MODELS, PROGRESS_MODELS, build_protocol
from spec.mutants import MUTANTS, build_mutant, find_counterexample, list_guards

MAX_STATES = 400_000


class SafetyTests(unittest.TestCase):
    """At most one owner, no stale one, growing tokens, no assignment lost."""

    def check(self, protocol):
        """Explore a model whole and check each invariant."""
        result = minicheck.check_safety(protocol, max_states=MAX_STATES)
        self.assertTrue(result["exhaustive"], protocol.name)
        for name, verdict in result["properties"].items():
            with self.subTest(model=protocol.name, invariant=name):
                self.assertIs(verdict["holds"], True, verdict["counterexample"])

    def test_models(self):
        """Every model of leases and moves keeps the invariants."""
        for name, setting in MODELS.items():
            self.check(build_protocol(name, setting))

    def test_messages(self):
        """Delayed and repeated messages and skewed clocks keep the invariants."""
        for name, setting in MESSAGE_MODELS.items():
            self.check(build_message_protocol(name, setting))


class ProgressTests(unittest.TestCase):
    """A loss that is tolerated leaves no state without a way on."""

    def test_newest_chain_can_be_served(self):
        """From every state steps lead to where the newest chain is served."""
        for name, setting in PROGRESS_MODELS.items():
            with self.subTest(model=name):
                result = minicheck.check_liveness(build_protocol(name, setting))
                self.assertIs(result["holds"], True, result.get("counterexample"))


class MutantTests(unittest.TestCase):
    """Each guard is needed, and the models notice its absence."""

    def test_every_guard_has_a_mutant(self):
        """The table of mutants leaves no guard out."""
        self.assertEqual(set(MUTANTS), set(list_guards()))

    def test_every_mutant_has_a_counterexample(self):
        """Without any one guard an invariant breaks."""
        for guard, model in MUTANTS.items():
            with self.subTest(guard=guard, model=model):
                trace = find_counterexample(build_mutant(guard, model))
                self.assertIsNotNone(trace)
