"""Tests of papayatack.core.path_pattern."""

import unittest

from papayatack.core.path_pattern import check_path_pattern


class CheckPathPatternTests(unittest.TestCase):
    """Which patterns are safe to match against paths that callers control."""

    def test_usual_patterns_are_permitted(self):
        """Segments, alternatives, options and one repetition with '/' are allowed."""
        patterns = [
            ".*",
            "/vacancies/[^/]+/acceptances",
            "/orders(/.*)?",
            "/(orders|carts)/[a-z0-9-]{1,32}",
            r"/files/[^/]+\.pdf",
            "/a/[^/]+/b/[^/]+",
            "/x.*/[^/]+",
        ]
        for pattern in patterns:
            with self.subTest(pattern=pattern):
                self.assertIsNone(check_path_pattern(pattern))

    def test_slow_or_unsupported_patterns_are_refused(self):
        """Patterns prone to backtracking and unsupported syntax are refused."""
        patterns = [
            "(a+)+",
            "(a|aa)*",
            ".*.*",
            "[^/]+[^/]+",
            "[^/]+/?[^/]+",
            "([^/]+|/)[^/]+",
            ".*/.*",
            "a{1,100000}",
            "a{1,}",
            "(?=a)",
            "(?P<n>a)",
            r"(a)\1",
            "a*?",
            "a++",
            "(",
            "[",
            "a" * 201,
            r"\A",
            "^a",
        ]
        for pattern in patterns:
            with self.subTest(pattern=pattern):
                self.assertIsNotNone(check_path_pattern(pattern))
