"""Tests of papayatack.core.errors."""

import unittest

from papayatack.core.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    Outcome,
    get_error_response,
)


class AnswersTests(unittest.TestCase):
    """The table from kind to answer."""

    def test_every_kind_has_an_answer(self):
        """No kind is left without an answer, and none stands twice."""
        self.assertEqual(set(ERROR_RESPONSES), set(ErrorKind))

    def test_no_error_claims_an_answer(self):
        """An error never says that the upstream answered."""
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                self.assertIsNot(get_error_response(kind).outcome, Outcome.ANSWERED)

    def test_statuses_are_errors(self):
        """Every status is one of client or server errors."""
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                self.assertIn(get_error_response(kind).status // 100, (4, 5))
