"""Tests of papayatack.observability.events."""

import pathlib
import re
import unittest

from papayatack.observability.events import Event

CATALOGUE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "events.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \|", re.MULTILINE)


class CatalogueTests(unittest.TestCase):
    """The catalogue in the docs."""

    def test_catalogue_lists_each_event_once(self):
        """Code and catalogue have the same numbers and names."""
        rows = ROW.findall(CATALOGUE.read_text(encoding="utf-8"))
        documented = [(int(number), name) for number, name in rows]
        self.assertEqual(
            sorted(documented), sorted((int(event), event.name) for event in Event)
        )
