"""Tests of papayatack.core.path_pattern."""

import unittest

from papayatack.core.path_pattern import check_path_pattern


class CheckPathPatternTests(unittest.TestCase):
    """Patterns that may be matched against what callers send."""

    def test_usual_patterns_are_permitted(self):
        """Segments, alternatives, optional parts and one wide repetition are fine."""
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

    def test_slow_or_unclear_patterns_are_refused(self):
        """Whatever could take long, or hides what it matches, is refused."""
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
