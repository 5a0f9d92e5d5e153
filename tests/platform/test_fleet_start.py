"""Tests of a start of all nodes at once, with the rates of a store and of links."""

import unittest

from papayatack.core.ownership.snapshot import dump_state
from tests.fakes.store_links import LARGE_RECORDS, measure_fleet_start

RECORDS = 2153
LOADED_S = 5.0
"""A third of the time in which a quarter of the requests must be served again; leases
and the first plan need the rest."""


SOON_LOADED_S = 2.0
"""Time after which nine tenths of the requests are to be served again."""

MAX_BYTES = 1_000_000
"""What each of 1,000 nodes can read in that time from a store of 4,000 Mbit/s."""

UNCOVERED = 350
"""Records that a large fleet appends between two snapshots."""


class FleetStartTests(unittest.TestCase):
    """All nodes are lost at once and start again."""

    def check_loaded(self, result):
        """Check that all nodes have loaded the state of the history in time."""
        self.assertLessEqual(max(result.loaded_s), LOADED_S)
        expected = dump_state(result.expected)
        for state in result.states:
            self.assertEqual(dump_state(state), expected)

    def test_reads_of_all_nodes_do_not_keep_each_other_from_ending(self):
        """Each node ends its read of a history that the store keeps by key."""
        for nodes in (14, 60):
            result = measure_fleet_start(
                nodes=nodes, records=RECORDS, moves=LARGE_RECORDS
            )
            self.check_loaded(result)

    def test_history_of_usual_records_is_read_in_time_without_a_snapshot(self):
        """Each node ends its read, and none keeps another one from it."""
        for nodes in (14, 60):
            self.check_loaded(measure_fleet_start(nodes=nodes, records=RECORDS))

    def check_soon_loaded(self, nodes, records):
        """Check a start of a fleet that has stored snapshots."""
        result = measure_fleet_start(nodes=nodes, records=records, uncovered=UNCOVERED)
        self.check_loaded(result)
        self.assertLessEqual(max(result.loaded_s), SOON_LOADED_S)
        self.assertLessEqual(max(result.bytes_read), MAX_BYTES)

    def test_large_fleet_loads_its_state_within_two_seconds(self):
        """Nodes read a snapshot and what came after it."""
        self.check_soon_loaded(195, RECORDS)

    def test_start_does_not_take_longer_in_an_old_fleet(self):
        """A history ten times as long costs no more."""
        self.check_soon_loaded(14, 10 * RECORDS)
