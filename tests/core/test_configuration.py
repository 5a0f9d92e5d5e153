"""Tests of papayatack.core.configuration."""

import pathlib
import unittest

from hypothesis import given, settings, strategies as st

from papayatack.core.configuration import list_warnings, parse_configuration
from papayatack.core.errors import InventoryError
from papayatack.core.inventory import KeySource, RequestClass

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"

INVENTORY = """
[[places]]
name = "east"
region = "r"

[[places]]
name = "west"
region = "r"

[[services]]
name = "orders"
prefix = "/orders"
places = ["east", "west"]
key = { path_segment = 1 }
checks_grants = true
slots = 14
connections = 130

[[services.key_ranges]]
name = "low"
high = "m"
shards = 4

[[services.key_ranges]]
name = "high"
low = "m"
shards = 4
"""


def read_example(user):
    """Return the inventory and rules of an example."""
    folder = EXAMPLES / user
    return (
        (folder / "inventory.toml").read_text(encoding="utf-8"),
        (folder / "rules.toml").read_text(encoding="utf-8"),
    )


class ExampleTests(unittest.TestCase):
    """Example documents and warnings."""

    def test_examples_are_valid(self):
        """All examples are valid and cause no warnings."""
        for user in ("barranquilla", "estonia"):
            with self.subTest(user=user):
                configuration = parse_configuration(*read_example(user), version=3)
                self.assertEqual(configuration.version, 3)
                self.assertEqual(list_warnings(configuration), ())

    def test_service_is_read_completely(self):
        """Limits, key source, ranges and request rules of a service are read."""
        configuration = parse_configuration(*read_example("barranquilla"), version=1)
        hiring = configuration.services[0]
        self.assertEqual(hiring.key, KeySource(kind="path", name="2"))
        self.assertEqual((hiring.slots, hiring.connections), (14, 130))
        self.assertEqual(
            [r.name for r in hiring.key_ranges], ["candidates", "vacancies"]
        )
        self.assertFalse(hiring.request_rules[0].repeatable)
        self.assertIs(hiring.request_rules[0].request_class, RequestClass.ORDER)
        self.assertEqual(len(hiring.request_rules), 4)

    def test_single_place_causes_warning(self):
        """A service with keys in only one data centre causes a warning."""
        text = INVENTORY.replace('["east", "west"]', '["east"]')
        warnings = list_warnings(parse_configuration(text, "", version=1))
        self.assertIn("one data centre", warnings[0])


class FaultTests(unittest.TestCase):
    """Each error is reported with its location."""

    def assert_fault(self, inventory, rules, *parts):
        """Check that InventoryError is raised and that one error contains all parts."""
        with self.assertRaises(InventoryError) as caught:
            parse_configuration(inventory, rules, version=1)
        matching = [
            fault
            for fault in caught.exception.faults
            if all(part in fault for part in parts)
        ]
        self.assertTrue(matching, caught.exception.faults)

    def test_inventory_faults(self):
        """Errors of the inventory name the table and the field."""
        cases = [
            ('high = "m"', 'high = "n"', ("key_ranges (high)", "overlaps low")),
            ('high = "m"', 'high = ""', ("key_ranges (low)", "empty")),
            ('high = "m"', "", ("key_ranges (high)", "overlaps low")),
            ('name = "high"', 'name = "low"', ("key_ranges", "low stands 2 times")),
            ('name = "west"', 'name = "east"', ("places", "east stands 2 times")),
            ('["east", "west"]', '["north"]', ("(orders).places", "north")),
            ('["east", "west"]', "[]", ("services[1] (orders).places",)),
            ('"orders"', '"or/ders"', ("services[1] (or/ders).name",)),
            ('"orders"', '"or\\u0000ders"', (".name",)),
            ('low = "m"', 'low = "m\\u0000"', ("key_ranges[2] (high).low",)),
            ("slots = 14", "slots = 0", ("services[1] (orders).slots",)),
            ("slots = 14", 'slots = "14"', ("services[1] (orders).slots",)),
            ("slots = 14", "slots = true", ("services[1] (orders).slots",)),
            ("slots = 14", f"slots = 0x1{'0' * 5000}", ("(orders).slots",)),
            ("slots = 14", "", ("services[1] (orders).slots", "missing")),
            ("slots = 14", "slots = 14\nsolts = 1", ("solts", "not a known field")),
            ("slots = 14", "slots = 14\ndeadline_s = nan", ("deadline_s",)),
            ("slots = 14", "slots = 14\ndeadline_s = inf", ("deadline_s",)),
            ("path_segment = 1", "path_segment = 0", ("key.path_segment",)),
            ("path_segment = 1", 'path_segment = 1, query = "q"', ("exactly one",)),
            ("key = { path_segment = 1 }", "", ("(orders).key", "missing")),
            ('"/orders"', '"orders"', ("(orders).prefix",)),
            ('"/orders"', '"/a/../b"', ("(orders).prefix",)),
            ("shards = 4", "shards = 1000000", ("key_ranges[1] (low).shards",)),
            ("[[places]]", "[[places", ("not valid TOML",)),
        ]
        for old, new, parts in cases:
            with self.subTest(new=new[:40]):
                self.assertIn(old, INVENTORY)
                self.assert_fault(INVENTORY.replace(old, new, 1), "", *parts)

    def test_overlapping_prefixes_are_invalid(self):
        """The prefix of a service must not contain that of another service."""
        start = INVENTORY.index("[[services]]")
        for prefix in ("/orders", "/orders/old", "/"):
            other = INVENTORY[start:].replace('"orders"', '"other"')
            other = other.replace('"/orders"', f'"{prefix}"')
            with self.subTest(prefix=prefix):
                self.assert_fault(INVENTORY + other, "", "prefix", "separate prefixes")

    def test_rules_faults(self):
        """Errors of the rules name the table and the field."""
        cases = [
            ('[[partners]]\nname = "a"\nweight = 0.0', ("partners[1] (a).weight",)),
            ('[[partners]]\nname = "a"\nweight = -1.0', ("partners[1] (a).weight",)),
            ('[[partners]]\nname = "a"\n' * 2, ("a stands 2 times",)),
            ('[[requests]]\nservice = "x"', ("requests[1].service", "x")),
            ('[[requests]]\nservice = "orders"\nclass = "vip"', ("class", "browse")),
            ('[[requests]]\nservice = "orders"\npath = "("', ("requests[1].path",)),
            ('[[requests]]\nservice = "orders"\nmethods = ["get"]', ("methods[1]",)),
            (
                '[[localities]]\nservice = "orders"\nkey_range = "x"\nplace = "south"',
                ("localities[1].place", "south"),
            ),
            ('partner_header = "X Partner"', ("partner_header",)),
            ("a = " + "[" * 5000, ("not valid TOML",)),
            ("# " + "x" * 300_000, ("inventory and rules", "shorten them")),
            ("# " + "õ" * 45_000, ("inventory and rules", "shorten them")),
        ]
        for rules, parts in cases:
            with self.subTest(rules=rules[:60]):
                self.assert_fault(INVENTORY, rules, *parts)

    def test_errors_of_both_documents_are_reported_together(self):
        """An error in one document does not hide errors in the other."""
        text = INVENTORY.replace("slots = 14", "slots = 0", 1)
        with self.assertRaises(InventoryError) as caught:
            parse_configuration(text, "unknown = 1", version=1)
        self.assertEqual(len(caught.exception.faults), 2)

    @settings(max_examples=300)
    @given(
        st.sampled_from(["barranquilla", "estonia"]),
        st.lists(
            st.tuples(
                st.floats(min_value=0, max_value=1),
                st.integers(min_value=0, max_value=12),
                st.sampled_from(["", '"', "[", "=", "-1", "0x7fff", "\n", "\x00", "é"])
                | st.text(max_size=4),
            ),
            min_size=1,
            max_size=3,
        ),
    )
    def test_damaged_documents_raise_only_inventory_errors(self, user, edits):
        """A document with arbitrary edits is valid or raises InventoryError."""
        inventory, rules = read_example(user)
        for place, length, text in edits:
            start = int(place * len(inventory))
            inventory = inventory[:start] + text + inventory[start + length :]
        try:
            parse_configuration(inventory, rules, version=1)
        except InventoryError as error:
            self.assertTrue(all(error.faults))
