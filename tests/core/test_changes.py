"""Tests of papayatack.core.changes."""

import dataclasses
import itertools
import unittest

from hypothesis import given, settings, strategies as st

from papayatack.core.changes import check_change, describe_difference
from papayatack.core.configuration import parse_configuration
from papayatack.core.inventory import KeyRange
from papayatack.core.shards import locate_shard
from tests.core.test_configuration import INVENTORY, read_example

BASE = parse_configuration(INVENTORY, "", version=1)
LOW = KeyRange(name="low", high="m", shards=4)
HIGH = KeyRange(name="high", low="m", shards=4)


def with_ranges(*key_ranges):
    """Return the base configuration with other key ranges."""
    service = dataclasses.replace(BASE.services[0], key_ranges=key_ranges)
    return dataclasses.replace(BASE, services=(service,))


def retire(key_range):
    """Return the range as retired."""
    return dataclasses.replace(key_range, retired=True)


class CheckChangeTests(unittest.TestCase):
    """Which change may follow which configuration."""

    def test_harmless_changes(self):
        """Limits, places, new ranges beside the old and retirements are permitted."""
        middle = dataclasses.replace(HIGH, low="p")
        new = KeyRange(name="new", low="m", high="p", shards=2)
        cases = [
            (BASE, BASE),
            (BASE, dataclasses.replace(BASE, places=())),
            (BASE, with_ranges(retire(LOW), HIGH)),
            (with_ranges(LOW, middle), with_ranges(LOW, new, middle)),
            (with_ranges(LOW, middle), with_ranges(LOW, HIGH)),
            (with_ranges(retire(LOW), HIGH), with_ranges(HIGH)),
            (with_ranges(retire(LOW), HIGH), BASE),
            (with_ranges(retire(LOW)), dataclasses.replace(BASE, services=())),
        ]
        for number, (old, new_configuration) in enumerate(cases):
            with self.subTest(number=number):
                self.assertEqual(check_change(old, new_configuration), ())

    def test_changes_that_take_keys(self):
        """Each change that leaves or moves keys of a range in use is refused."""
        cases = [
            (BASE, with_ranges(LOW), "removed while in use"),
            (BASE, dataclasses.replace(BASE, services=()), "removed while"),
            (BASE, with_ranges(dataclasses.replace(LOW, shards=5), HIGH), "shards"),
            (BASE, with_ranges(LOW, dataclasses.replace(HIGH, low="n")), "low rises"),
            (BASE, with_ranges(dataclasses.replace(LOW, high="k"), HIGH), "high falls"),
            (BASE, with_ranges(LOW, dataclasses.replace(HIGH, high="x")), "high falls"),
            (
                BASE,
                with_ranges(LOW, dataclasses.replace(HIGH, name="other")),
                "takes keys of range high",
            ),
            (
                with_ranges(retire(LOW), HIGH),
                with_ranges(dataclasses.replace(HIGH, low="")),
                "takes keys of range low",
            ),
        ]
        for old, new, reason in cases:
            with self.subTest(reason=reason):
                self.assertIn(reason, " ".join(check_change(old, new)))


class DescribeDifferenceTests(unittest.TestCase):
    """The difference as operators read it."""

    def test_lines_name_what_differs(self):
        """Changed values, added and removed entries each have a line."""
        inventory, rules = read_example("barranquilla")
        old = parse_configuration(inventory, rules, version=1)
        inventory = inventory.replace("slots = 14", "slots = 16", 1)
        rules = rules.replace("bocas-crewing", "bocas-tripulaciones")
        new = parse_configuration(inventory, rules, version=2)
        self.assertEqual(
            describe_difference(old, new),
            (
                "services hiring: slots: 14 -> 16",
                "partners bocas-crewing: removed",
                "partners bocas-tripulaciones: added",
            ),
        )

    def test_equal_configurations(self):
        """The version alone is no difference."""
        self.assertEqual(
            describe_difference(BASE, dataclasses.replace(BASE, version=9)), ()
        )

    def test_order_counts(self):
        """A changed order of request rules is told, as the first match decides."""
        inventory, rules = read_example("estonia")
        old = parse_configuration(inventory, rules, version=1)
        service = old.services[0]
        swapped = dataclasses.replace(
            service, request_rules=tuple(reversed(service.request_rules))
        )
        new = dataclasses.replace(old, services=(swapped, *old.services[1:]))
        self.assertTrue(describe_difference(old, new))


@st.composite
def key_ranges(draw):
    """Return disjoint ranges over keys of the letters a to f."""
    bounds = sorted(draw(st.sets(st.sampled_from("abcdef"), min_size=2, max_size=5)))
    ranges = []
    for low, high in itertools.pairwise(bounds):
        if draw(st.booleans()):
            key_range = KeyRange(
                name=draw(st.sampled_from(["one", "two", "three", low])),
                low=low,
                high=high,
                shards=draw(st.integers(min_value=1, max_value=2)),
                retired=draw(st.booleans()),
            )
            ranges.append(key_range)
    names = [key_range.name for key_range in ranges]
    return tuple(r for r in ranges if names.count(r.name) == 1)


class KeyOwnershipTests(unittest.TestCase):
    """What a permitted change means for each key."""

    @settings(max_examples=600)
    @given(key_ranges(), key_ranges())
    def test_no_key_changes_its_shard(self, before, after):
        """A permitted change leaves a key in its shard, or gives it up if retired.

        Keys of a range that is retired already count too: a node that is behind may
        still serve them.
        """
        old, new = with_ranges(*before), with_ranges(*after)
        if check_change(old, new):
            return
        claimed = with_ranges(
            *(dataclasses.replace(key_range, retired=False) for key_range in before)
        )
        retired = {r.name for r in (*before, *after) if r.retired}
        for key in ("a", "b1", "c", "c2", "d9", "e", "f"):
            shard = locate_shard(claimed, "orders", key).value_or(None)
            if shard is None:
                continue
            now = locate_shard(new, "orders", key).value_or(None)
            self.assertIn(now, (shard, None))
            if now is None:
                self.assertIn(shard.split("/")[1], retired)
