"""Played loads of requests and calls of three ranks at one upstream of six slots."""

import functools
import statistics
import unittest

from tests.fakes.rank_load import RankLoad, list_kinds

SEEDS = range(4)
RANKS = range(3)
LOADS = (0.7, 1.0, 1.3, 2.0)
CREST = "crest"
CREST_LOAD = 1.8
CALM_LOAD = 0.8
CREST_START_S = 10.0
CREST_END_S = 15.0

RANK_TOLERANCE = 0.05
"""Target: a rank is served at most this much less than a worse one."""

TOTAL_TOLERANCE = 0.02
"""Target: at most this share of all fewer is answered in time than without ranks."""

LEAST_SERVED_RATIO = 0.25
"""Target: no rank, nor its calls, is served less often relative to all."""

MOST_HELD_RATIO = 0.125
"""Target: refused requests waited on average for this part of their target at most."""


def find_load(load, now):
    """Return the offered work at a time, relative to what the slots can do."""
    if load != CREST:
        return load
    return CREST_LOAD if CREST_START_S <= now < CREST_END_S else CALM_LOAD


@functools.cache
def play(load, *, ranked=True):
    """Play several seeds; return the loads after their end."""
    played = [
        RankLoad(
            kinds=list_kinds(),
            load=functools.partial(find_load, load),
            seed=seed,
            ranked=ranked,
            length_s=30.0,
        )
        for seed in SEEDS
    ]
    for one in played:
        one.run()
    return played


def sum_kinds(load, *, ranked=True):
    """Return the kinds with their counts of all seeds."""
    sums = list_kinds()
    for played in play(load, ranked=ranked):
        for total, kind in zip(sums, played.kinds, strict=True):
            for name in ("offered", "in_time", "answered", "refused", "returned"):
                setattr(total, name, getattr(total, name) + getattr(kind, name))
    return sums


def split_kinds(load):
    """Return the first requests and the calls, each by their ranks."""
    kinds = sum_kinds(load)
    return kinds[:3], kinds[3:]


def measure_total(load, *, ranked=True):
    """Return the share of all that was answered by its target."""
    kinds = sum_kinds(load, ranked=ranked)
    return sum(kind.in_time for kind in kinds) / sum(kind.offered for kind in kinds)


class RankLoadTests(unittest.TestCase):
    """Shares that are answered in time by rank, at loads around the capacity."""

    def test_no_rank_is_served_less_than_a_worse_one(self):
        for load in (*LOADS, CREST):
            for kinds in split_kinds(load):
                shares = [kind.in_time_share for kind in kinds]
                with self.subTest(load=load, calls=kinds[0].is_call, shares=shares):
                    for better, worse in zip(shares, shares[1:], strict=False):
                        self.assertGreaterEqual(better, worse - RANK_TOLERANCE)

    def test_best_rank_is_served_whole_while_it_fits(self):
        """Requests and calls of rank 0 alone are less than what the slots can do."""
        for load in (1.0, 1.3, CREST):
            firsts, calls = split_kinds(load)
            with self.subTest(load=load):
                self.assertGreater(firsts[0].in_time_share, 0.95)
                self.assertGreater(calls[0].in_time_share, 0.95)

    def test_no_rank_and_no_calls_of_a_rank_are_starved(self):
        for load in (*LOADS, CREST):
            least = LEAST_SERVED_RATIO * measure_total(load)
            for kind in sum_kinds(load):
                with self.subTest(load=load, rank=kind.rank, call=kind.is_call):
                    self.assertGreaterEqual(kind.in_time_share, least)

    def test_total_is_no_lower_than_without_ranks(self):
        for load in (*LOADS, CREST):
            with self.subTest(load=load):
                before = measure_total(load, ranked=False)
                self.assertGreaterEqual(measure_total(load), before - TOTAL_TOLERANCE)

    def test_calls_of_the_best_rank_are_not_refused_before_others(self):
        for load in (*LOADS, CREST):
            _, calls = split_kinds(load)
            shares = [call.refused / call.offered for call in calls]
            with self.subTest(load=load, shares=shares):
                self.assertLessEqual(shares[0], min(shares) + 0.01)

    def test_refused_requests_have_waited_a_short_part_of_their_time(self):
        """What gives way is told so, not held until its time is over."""
        for load in (1.3, 2.0, CREST):
            kinds = [kind for played in play(load) for kind in played.kinds[:3]]
            held = sum(kind.held_s / kind.target_s for kind in kinds)
            refused = sum(kind.refused for kind in kinds)
            with self.subTest(load=load):
                self.assertLess(held, MOST_HELD_RATIO * refused)


class RetryAfterTests(unittest.TestCase):
    """When refused callers are told to come back."""

    def list_retries(self, load, rank):
        """Return the delays that first requests of a rank were told."""
        return [
            retry_after_s
            for played in play(load)
            for _, kind, retry_after_s in played.refusals
            if kind.rank == rank and not kind.is_call
        ]

    def test_worse_ranks_are_told_to_wait_longer(self):
        medians = [statistics.median(self.list_retries(2.0, rank)) for rank in RANKS]
        self.assertEqual(medians, sorted(medians))

    def test_callers_do_not_come_back_together(self):
        """The delays of a rank are spread over at least as long as the shortest."""
        for rank in RANKS:
            tenths = statistics.quantiles(self.list_retries(2.0, rank), n=10)
            with self.subTest(rank=rank, tenths=tenths):
                self.assertGreater(tenths[-1], 1.5 * tenths[0])
