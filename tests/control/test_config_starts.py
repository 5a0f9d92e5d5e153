"""Tests of the configuration by which a node serves that has just started."""

import unittest

from tests.fakes.starts import TROUBLES, measure_starts

CONFIG_APPLY_S = 2.0
SEED = 1


class ConfigStartTests(unittest.TestCase):
    """Nodes start at random moments around a change, some after it."""

    def test_started_node_serves_by_an_old_configuration_no_longer_than_others(self):
        """Whatever befell the log before, and if the lead is lost; later ones never."""
        late = {}
        for trouble in TROUBLES:
            for kills_lead in (False, True):
                old_s = measure_starts(trouble, SEED, kills_lead=kills_lead)
                if max(old_s, default=0.0) > CONFIG_APPLY_S:
                    late[trouble, kills_lead] = max(old_s)
        self.assertEqual(late, {})
