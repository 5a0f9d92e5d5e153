"""Tests of papayatack.observability.events."""

import pathlib
import re
import unittest

from papayatack.observability.events import Event

EVENTS_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "events.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \|", re.MULTILINE)


class EventDocumentationTests(unittest.TestCase):
    """Consistency of the events with their documentation."""

    def test_documentation_lists_each_event_once(self):
        """Code and documentation have the same numbers and names."""
        rows = ROW.findall(EVENTS_PAGE.read_text(encoding="utf-8"))
        documented = [(int(number), name) for number, name in rows]
        self.assertEqual(
            sorted(documented), sorted((int(event), event.name) for event in Event)
        )
