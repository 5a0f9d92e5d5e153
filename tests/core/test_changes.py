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
    """Return the base configuration with the given key ranges."""
    service = dataclasses.replace(BASE.services[0], key_ranges=key_ranges)
    return dataclasses.replace(BASE, services=(service,))


def retire(key_range):
    """Return a retired copy of the range."""
    return dataclasses.replace(key_range, retired=True)


class CheckChangeTests(unittest.TestCase):
    """Which changes of a configuration are permitted."""

    def test_permitted_changes(self):
        """Changes of places, new or longer ranges and retirements are permitted."""
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

    def test_changes_that_remove_or_move_keys_are_refused(self):
        """A change must not remove or move keys of an active range."""
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
    """The description of a change that operators see."""

    def test_each_difference_has_one_line(self):
        """Changed values and added or removed entries have one line each."""
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

    def test_version_is_not_a_difference(self):
        """Configurations that differ only in their version are equal."""
        self.assertEqual(
            describe_difference(BASE, dataclasses.replace(BASE, version=9)), ()
        )

    def test_changed_order_is_a_difference(self):
        """A changed order of request rules is reported, as the first match applies."""
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
    """Generate disjoint ranges with bounds from the letters a to f."""
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
    """Effects of permitted changes on the shards of keys."""

    @settings(max_examples=600)
    @given(key_ranges(), key_ranges())
    def test_no_key_changes_its_shard(self, before, after):
        """A permitted change keeps each key in its shard unless its range is retired.

        This includes keys of ranges that were retired before the change, as a node with
        an older configuration may still serve them.
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
