"""Tests of papayatack.core.errors."""

import unittest

from papayatack.core.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    Outcome,
    get_error_response,
)


class ErrorResponsesTests(unittest.TestCase):
    """The response for each error kind."""

    def test_every_kind_has_a_response(self):
        """ERROR_RESPONSES has exactly one entry for each kind."""
        self.assertEqual(set(ERROR_RESPONSES), set(ErrorKind))

    def test_no_error_has_outcome_answered(self):
        """No error reports that the upstream responded."""
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                self.assertIsNot(get_error_response(kind).outcome, Outcome.ANSWERED)

    def test_statuses_are_errors(self):
        """Every status is a client or server error."""
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                self.assertIn(get_error_response(kind).status // 100, (4, 5))
