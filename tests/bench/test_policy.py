"""Targets of the request policy, on the queueing model with fixed seeds."""

import logging
import unittest

from bench.policy.figures import compute_jain_index, share_max_min
from bench.policy.freeze import run_freeze
from bench.policy.model import UpstreamModel
from bench.policy.scenarios import (
    BARRANQUILLA,
    ESTONIA,
    Discipline,
    run_downloads,
    run_load,
    run_unequal_partners,
)
from papayatack.core.inventory import RequestClass

SIZES = (BARRANQUILLA, ESTONIA)
DURATION_S = 5.0


class FigureTests(unittest.TestCase):
    """How figures are computed."""

    def test_jain_index(self):
        """Equal shares give 1, one partner with everything 1/n."""
        self.assertAlmostEqual(compute_jain_index([2, 2, 2, 2]), 1.0)
        self.assertAlmostEqual(compute_jain_index([1, 0, 0, 0]), 0.25)

    def test_max_min_shares(self):
        """Small demands are met, the others share the rest equally."""
        shares = share_max_min({"a": 1.0, "b": 10.0, "c": 10.0}, 9.0)
        self.assertEqual(shares, {"a": 1.0, "b": 4.0, "c": 4.0})


class TargetTests(unittest.TestCase):
    """Bounds that the request policy was given."""

    def test_overload_keeps_goodput(self):
        """Work in time at four times the capacity is 90% of that at the capacity."""
        for size in SIZES:
            with self.subTest(size=size.name):
                work = [
                    run_load(
                        Discipline.POLICY,
                        size,
                        load=load,
                        seed=3,
                        duration_s=DURATION_S,
                    ).read_goodput()
                    for load in (1, 4)
                ]
                self.assertGreaterEqual(work[1], 0.9 * work[0])

    def test_overload_does_not_amplify(self):
        """With failing upstreams there are at most 1.1 attempts for each request."""
        for load in (2, 4):
            with self.subTest(load=load):
                tally = run_load(
                    Discipline.POLICY,
                    BARRANQUILLA,
                    load=load,
                    seed=3,
                    duration_s=DURATION_S,
                    upstream=UpstreamModel(failure_share=0.3),
                )
                self.assertLessEqual(tally.read_attempts_per_request(), 1.1)

    def test_sheds_are_honoured(self):
        """An upstream that takes 10 of 14 slots is used to 90% of what it takes."""
        tally = run_load(
            Discipline.POLICY,
            BARRANQUILLA,
            load=2,
            seed=3,
            duration_s=DURATION_S,
            upstream=UpstreamModel(true_slots=10),
        )
        possible = 10 * BARRANQUILLA.nodes * (DURATION_S - 3.0)
        self.assertGreaterEqual(tally.read_goodput(), 0.9 * possible)

    def test_heavy_partner_takes_no_share(self):
        """Beside a partner that sends ten times as much, all get 95% of their share."""
        for size, light in ((BARRANQUILLA, 0.8), (ESTONIA, 1.5)):
            with self.subTest(size=size.name, light=light):
                tally = run_unequal_partners(
                    Discipline.POLICY, size, light=light, seed=3, duration_s=8.0
                )
                ratios = tally.read_fair_ratios()
                self.assertGreaterEqual(min(ratios.values()), 0.95)

    def test_downloads_do_not_crowd_out_browsing(self):
        """Heavy downloads lengthen the 99th percentile of browsing by half at most."""
        for size in SIZES:
            with self.subTest(size=size.name):
                p99_ms = [
                    run_downloads(
                        Discipline.POLICY,
                        size,
                        downloads=downloads,
                        seed=3,
                        duration_s=16.0,
                    ).read_p99_ms(RequestClass.BROWSE)
                    for downloads in (0.0, 1.0)
                ]
                self.assertLessEqual(p99_ms[1], 1.5 * p99_ms[0])

    def test_downloads_beside_a_high_load_of_browsing(self):
        """The same bound where browsing and orders ask for 80% of the slots."""
        p99_ms = [
            run_downloads(
                Discipline.POLICY,
                BARRANQUILLA,
                downloads=downloads,
                seed=1,
                short=0.8,
                duration_s=24.0,
            ).read_p99_ms(RequestClass.BROWSE)
            for downloads in (0.0, 1.0)
        ]
        self.assertLessEqual(p99_ms[1], 1.5 * p99_ms[0])

    def test_frozen_upstream_recovers(self):
        """A freeze costs few requests, and is over 3 s after its end."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        figures = run_freeze(Discipline.POLICY, slots=14, load=0.5, seed=3)
        self.assertIsNotNone(figures.recovery_s)
        self.assertLessEqual(figures.recovery_s, 3.0)
        self.assertLessEqual(figures.worst_refusal_s, 1.0)
        # Those under way, and one probe in half a second at most.
        self.assertLessEqual(figures.sent_in_vain, 14 + 20)


class BaselineTests(unittest.TestCase):
    """The model shows the faults that the policy is for."""

    def test_fifo_collapses(self):
        """A plain queue answers next to nothing in time at twice the capacity."""
        tally = run_load(
            Discipline.FIFO, BARRANQUILLA, load=2, seed=3, duration_s=DURATION_S
        )
        possible = BARRANQUILLA.capacity * (DURATION_S - 3.0)
        self.assertLess(tally.read_goodput(), 0.5 * possible)

    def test_unlimited_retries_amplify(self):
        """Without a budget, sheds multiply the attempts."""
        tally = run_load(
            Discipline.FIFO,
            BARRANQUILLA,
            load=1,
            seed=3,
            duration_s=DURATION_S,
            upstream=UpstreamModel(true_slots=10),
        )
        self.assertGreater(tally.read_attempts_per_request(), 1.1)
