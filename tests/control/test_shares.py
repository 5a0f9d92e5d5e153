"""Tests of papayatack.control.shares."""

from papayatack.control.shares import LOG_INTERVAL_S, TOLERATED_S, ShareWatch
from papayatack.core.identity import LeaseId
from papayatack.observability.metrics import Metrics
from tests.control.test_planning_return import ReturnCase, make_announcement, name_node
from tests.core.placement.concentration import NODES, SHARDS

LOGGER = "papayatack.control.shares"


class ShareWatchTests(ReturnCase):
    """Shares of nine nodes, of which two own 0.70 of all shards."""

    def setUp(self):
        self.start()
        for number in range(NODES):
            self.apply(make_announcement(number))
        for number in range(NODES):
            self.admit(number)
        self.metrics = Metrics()
        self.watch = ShareWatch(core=self.core, metrics=self.metrics)

    def concentrate(self):
        """Assign most shards to two nodes, with no successors."""
        self.assign_all(
            lambda n: (LeaseId(name_node(n % 2 if n < 360 else 2 + n % 7), 1),)
        )

    def read_gauge(self, name):
        """Return the value of a gauge."""
        return self.metrics.registry.get_sample_value(f"papayatack_{name}")

    def test_concentrated_keys_are_not_told(self):
        """The gauge has the ratio at once, the line comes after the tolerated time."""
        self.concentrate()
        self.watch.measure(1.0, is_planner=True)
        self.assertAlmostEqual(self.read_gauge("largest_share_ratio"), 180 / 512 * 9)
        with self.assertLogs(LOGGER) as logs:
            self.watch.measure(1.0 + TOLERATED_S, is_planner=True)
        self.assertEqual(logs.records[0].node, name_node(0))
        self.assertEqual(logs.records[0].share, round(180 / 512, 3))

    def test_shards_without_an_owner_are_not_told(self):
        """The only holder of some shards has ended."""
        self.concentrate()
        self.end_lease(8)
        self.watch.measure(1.0, is_planner=True)
        lost = sum(n >= 360 and n % 7 == 6 for n in range(len(SHARDS)))
        self.assertEqual(self.read_gauge("shards_without_owner"), lost)

    def test_lines_repeat_without_bound(self):
        """One line in ten seconds about a service, and none once it is in bounds."""
        self.concentrate()
        with self.assertLogs(LOGGER) as logs:
            for tenths in range(10, 10 + int(10 * (TOLERATED_S + LOG_INTERVAL_S))):
                self.watch.measure(tenths / 10, is_planner=True)
        self.assertEqual(len(logs.records), 1)

    def test_every_node_writes_the_line(self):
        """A node that is neither the planner nor named writes none."""
        self.start(planner=5)
        for number in range(NODES):
            self.apply(make_announcement(number))
        for number in range(NODES):
            self.admit(number)
        self.concentrate()
        watch = ShareWatch(core=self.core, metrics=self.metrics)
        with self.assertNoLogs(LOGGER):
            watch.measure(1.0, is_planner=False)
            watch.measure(20.0, is_planner=False)

    def test_even_shares_are_told(self):
        """Nothing is written about a fleet in which each node has its part."""
        self.assign_all(lambda n: (LeaseId(name_node(n % NODES), 1),))
        with self.assertNoLogs(LOGGER):
            self.watch.measure(1.0, is_planner=True)
            self.watch.measure(20.0, is_planner=True)
        self.assertLess(self.read_gauge("largest_share_ratio"), 1.1)
