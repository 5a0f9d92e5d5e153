"""Tests of papayatack.core.shards."""

import unittest

from hypothesis import given, strategies as st

from papayatack.core.configuration import parse_configuration
from papayatack.core.errors import ErrorKind
from papayatack.core.identity import ShardId
from papayatack.core.shards import (
    find_parent_shard,
    format_hot_shard_id,
    list_shards,
    locate_shard,
)
from tests.core.test_configuration import INVENTORY, read_example

CONFIGURATION = parse_configuration(INVENTORY, "", version=1)
RETIRED = parse_configuration(
    INVENTORY.replace('high = "m"', 'high = "m"\nretired = true'), "", version=1
)


class LocateShardTests(unittest.TestCase):
    """Mapping of keys to shards."""

    def test_mapping_of_keys_is_the_same_in_every_release(self):
        """Keys map to the same shards in every release: their owners depend on it."""
        expected = {
            "a": "orders/low/3",
            "order-17": "orders/high/2",
            "õun": "orders/high/0",
            "": "orders/low/2",
        }
        found = {
            key: locate_shard(CONFIGURATION, "orders", key).unwrap() for key in expected
        }
        self.assertEqual(found, expected)

    @given(st.text(alphabet=st.characters(exclude_categories=["Cs"]), max_size=20))
    def test_agrees_with_linear_search(self, key):
        """The shard is in the only key range that contains the key."""
        shard = locate_shard(CONFIGURATION, "orders", key).unwrap()
        holders = [
            key_range.name
            for key_range in CONFIGURATION.services[0].key_ranges
            if key_range.low <= key and (key_range.high is None or key < key_range.high)
        ]
        self.assertEqual([shard.split("/")[1]], holders)
        self.assertIn(shard, list_shards(CONFIGURATION))

    def test_refusal_kinds(self):
        """Refusals distinguish unknown services, missing ranges and invalid keys."""
        estonia = parse_configuration(*read_example("estonia"), version=1)
        cases = [
            ("nothing", "order:1", ErrorKind.NO_SUCH_SERVICE),
            ("ordering", "a", ErrorKind.KEY_OUT_OF_RANGE),
            ("ordering", "order;", ErrorKind.KEY_OUT_OF_RANGE),
            ("ordering", "zzz", ErrorKind.KEY_OUT_OF_RANGE),
            ("ordering", "order:\udc80", ErrorKind.MALFORMED_REQUEST),
        ]
        for service, key, kind in cases:
            with self.subTest(service=service, key=key):
                refusal = locate_shard(estonia, service, key).failure()
                self.assertIs(refusal.kind, kind)

    def test_retired_range_serves_no_key(self):
        """Keys of a retired range are out of range, and its shards are not listed."""
        refusal = locate_shard(RETIRED, "orders", "a").failure()
        self.assertIs(refusal.kind, ErrorKind.KEY_OUT_OF_RANGE)
        self.assertEqual(len(list_shards(RETIRED)), 4)

    def test_hot_key_has_its_own_shard(self):
        """A hot key, even with slashes, maps to its own shard; other keys do not."""
        hot = format_hot_shard_id("orders", "low", "a/b=c")
        found = locate_shard(CONFIGURATION, "orders", "a/b=c", {hot}).unwrap()
        self.assertEqual(found, hot)
        other = locate_shard(CONFIGURATION, "orders", "a/b", {hot}).unwrap()
        self.assertNotEqual(other, hot)

    def test_parent_of_a_hot_key(self):
        """The parent of a hot key's shard is the shard to which the key hashes."""
        hot = format_hot_shard_id("orders", "low", "a/b=c")
        parent = locate_shard(CONFIGURATION, "orders", "a/b=c").unwrap()
        self.assertEqual(find_parent_shard(CONFIGURATION, hot), parent)
        self.assertIsNone(find_parent_shard(CONFIGURATION, ShardId("orders/low/1")))
        self.assertIsNone(find_parent_shard(CONFIGURATION, ShardId("other/low/=a")))

    def test_index_follows_the_configuration(self):
        """Each of more configurations than are indexed uses its own key ranges."""
        for number in range(10):
            low = parse_configuration(
                INVENTORY.replace('"m"', f'"m{number}"'), "", version=1
            )
            found = locate_shard(low, "orders", f"m{number}").unwrap()
            self.assertTrue(found.startswith("orders/high/"))
