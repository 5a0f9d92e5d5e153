"""Tests of papayatack.platform.environment."""

import random
import unittest

from papayatack.core.retry import RetryPolicy
from papayatack.observability.metrics import Metrics
from papayatack.platform.environment import PlatformEnvironment
from papayatack.platform.settings import parse_platform_settings
from tests.platform.test_settings import TEXT

CALLS = 2
"""Calls that a run of the calling service makes."""


class RetryShareTests(unittest.TestCase):
    """The users' budget for what arrives beyond the first of each request."""

    def setUp(self):
        settings = parse_platform_settings(TEXT, source="s")
        self.ratio = settings.bounds.retry_share
        environment = PlatformEnvironment(settings=settings, metrics=Metrics())
        self.policy = RetryPolicy(
            rng=random.Random(1), budget_ratio=environment.retry_share, max_attempts=2
        )

    def count_retries(self, requests):
        """Return how many of so many requests are attempted again, if all fail."""
        found = 0
        for number in range(requests):
            now = number * 0.001
            self.policy.record_request(now)
            found += self.policy.allow_retry(now, 1, now + 1.0) is not None
        return found

    def test_calls_of_repeated_runs_are_within_the_budget(self):
        """Where as many requests come for a service as for the one that calls it.

        The called service gets the calls of repeated runs, and its own repeats: of its
        requests, and of the calls.
        """
        requests = 5_000
        repeats = self.count_retries(requests)
        own = self.count_retries(requests * (1 + CALLS))
        self.assertLess(CALLS * repeats + own, self.ratio * requests)
