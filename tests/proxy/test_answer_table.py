"""Tests that the answers given, and the operators' page, follow the table."""

import pathlib
import re
import unittest

from papayatack.core.errors import ERROR_RESPONSES, ErrorKind, Refusal
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import find_header

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs/operators/requests.md"
ROW = re.compile(r"^\| `([\w-]+)` \| (\d{3}) \| ([\w-]+) \|", re.MULTILINE)


class AnswerTableTests(unittest.TestCase):
    """The whole table of answers."""

    def test_every_kind_is_answered_as_the_table_says(self):
        """Status, outcome and error of each answer are those of its kind."""
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                response = build_error_response(Refusal(kind=kind))
                outcome = find_header(response.headers, b"papayatack-outcome")
                error = find_header(response.headers, b"papayatack-error")
                self.assertEqual(response.status, ERROR_RESPONSES[kind].status)
                self.assertEqual(outcome.decode(), ERROR_RESPONSES[kind].outcome)
                self.assertEqual(error.decode(), kind)

    def test_page_lists_each_kind_with_its_answer(self):
        """The operators' page and the code have the same rows."""
        rows = ROW.findall(PAGE.read_text(encoding="utf-8"))
        expected = [
            (kind.value, str(answer.status), answer.outcome.value)
            for kind, answer in ERROR_RESPONSES.items()
        ]
        self.assertEqual(rows, expected)
