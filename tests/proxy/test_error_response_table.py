"""Tests that error responses and the operators' page match the response table."""

import pathlib
import re
import unittest

from papayatack.core.errors import ERROR_RESPONSES, ErrorKind, Refusal
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import find_header

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs/operators/requests.md"
ROW = re.compile(r"^\| `([\w-]+)` \| (\d{3}) \| ([\w-]+) \|", re.MULTILINE)


class ErrorResponseTableTests(unittest.TestCase):
    """Consistency with the table of error responses."""

    def test_error_response_of_each_kind_matches_the_table(self):
        """Each response has the status, outcome and error of its kind."""
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                response = build_error_response(Refusal(kind=kind))
                outcome = find_header(response.headers, b"papayatack-outcome")
                error = find_header(response.headers, b"papayatack-error")
                self.assertEqual(response.status, ERROR_RESPONSES[kind].status)
                self.assertEqual(outcome.decode(), ERROR_RESPONSES[kind].outcome)
                self.assertEqual(error.decode(), kind)

    def test_operators_page_lists_each_kind_with_its_response(self):
        """The page has the same rows as the table, in the same order."""
        rows = ROW.findall(PAGE.read_text(encoding="utf-8"))
        expected = [
            (kind.value, str(response.status), response.outcome.value)
            for kind, response in ERROR_RESPONSES.items()
        ]
        self.assertEqual(rows, expected)
