"""Tests of papayatack.platform.manifest."""

import asyncio
import json
import unittest

from papayatack.core.inventory import Configuration, RequestClass
from papayatack.core.records import CONFIG_STREAM
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import (
    SLICE_ROUTES,
    ManifestDecoder,
    ManifestFold,
    ManifestParser,
)
from tests.platform.documents import PLACES, build_large_manifest, build_manifest

ROUTES = 1000


class ParseTests(unittest.TestCase):
    """Conversion of a manifest to the product's configuration."""

    def setUp(self):
        self.configuration = ManifestParser(places=PLACES).parse(build_manifest())

    def test_version_is_hexadecimal(self):
        """The version is eight hexadecimal digits: 0c is 12."""
        self.assertEqual(self.configuration.version, 12)

    def test_sharded_and_unsharded_services(self):
        """A sharded service has a key range; an unsharded one has none."""
        desk, papers = self.configuration.services
        (key_range,) = desk.key_ranges
        self.assertEqual((key_range.numbers, key_range.shards), (65_536, 512))
        self.assertEqual(desk.warm_up_s, 3.0)
        self.assertEqual(desk.deadline_s, 1.5)
        self.assertEqual(desk.places, ("east", "west"))
        self.assertEqual((papers.key_ranges, papers.connections), ((), 20))
        self.assertEqual(papers.health_path, "/healthy")

    def test_routes_are_converted(self):
        """Route kinds, times and traffic splits become those of the product."""
        orders, pages = self.configuration.routes
        self.assertEqual(orders.host, "shop.example")
        self.assertFalse(orders.repeatable)
        self.assertIs(orders.request_class, RequestClass.ORDER)
        self.assertEqual((orders.timeout_s, orders.max_attempts), (1.0, 2))
        self.assertTrue(pages.repeatable)
        weights = [(target.service, target.weight) for target in pages.targets]
        self.assertEqual(weights, [("desk", 90), ("papers", 10)])

    def test_ranks_are_used_where_routes_name_more_than_two_priorities(self):
        """Those that name none, such as internal ones, do not count."""
        route = {
            "Host": "h",
            "PathPrefix": "/",
            "RouteKind": "idempotent",
            "Timeout": "1s",
            "TargetLatency": "1s",
            "Service": "papers",
        }
        for priorities, expected in (((1, 2), False), ((0, 1, 2), True), ((7,), False)):
            routes = {str(p): {**route, "Priority": p} for p in priorities}
            payload = build_manifest(Routes={"internal": route, **routes})
            with self.subTest(priorities=priorities):
                parsed = ManifestParser(places=PLACES).parse(payload)
                self.assertIs(parsed.uses_ranks, expected)

    def test_caller_limits(self):
        """The manifest contains the limits on callers."""
        bounds = self.configuration.bounds
        self.assertEqual((bounds.header_bytes, bounds.body_bytes), (8192, 1000))
        self.assertEqual((bounds.header_timeout_s, bounds.idle_timeout_s), (3.0, 15.0))

    def test_invalid_payloads_are_refused(self):
        """Each invalid payload raises ValueError and no other error."""
        for payload in (
            b"",
            b"\xff\xfe",
            b"[]",
            b'{"Version":"zz"}',
            build_manifest(Routes={"r": {"Host": 3}}),
            build_manifest(Limits={"IdleTimeout": "soon"}),
            b'{"Version":' + b"[" * 50_000,
            b'{"Version":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
            build_manifest(Routes={"r": {"Host": "h", "MaxAttempts": 10**400}}),
        ):
            with self.subTest(payload=payload[:30]), self.assertRaises(ValueError):
                ManifestParser(places=PLACES).parse(payload)


class SliceTests(unittest.IsolatedAsyncioTestCase):
    """Conversion of large manifests, of which most routes have not changed."""

    def setUp(self):
        self.parser = ManifestParser(places=PLACES)
        self.payload = build_large_manifest(version="0000000c", routes=ROUTES)

    async def test_result_is_the_same_as_that_of_one_go(self):
        whole = ManifestParser(places=PLACES).parse(self.payload)
        self.assertEqual(await self.parser.parse_in_slices(self.payload), whole)

    async def test_other_tasks_run_while_a_large_manifest_is_converted(self):
        """A second task counts the slices."""
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(count_turns())
        await self.parser.parse_in_slices(self.payload)
        task.cancel()
        self.assertGreaterEqual(turns, ROUTES // SLICE_ROUTES)

    def test_unchanged_routes_are_not_converted_again(self):
        """A changed one, a new one and a removed one are seen."""
        before = {route.name: route for route in self.parser.parse(self.payload).routes}
        document = json.loads(self.payload)
        routes = document["Routes"]
        changed, removed, *kept = routes
        routes[changed]["Timeout"] = "2s"
        del routes[removed]
        routes["new"] = dict(routes[kept[0]], PathPrefix="/new/")
        parsed = self.parser.parse(json.dumps(document).encode()).routes
        after = {route.name: route for route in parsed}
        self.assertEqual(after.keys(), before.keys() - {removed} | {"new"})
        self.assertEqual(after[changed].timeout_s, 2.0)
        self.assertTrue(all(after[name] is before[name] for name in kept))

    def test_invalid_manifest_leaves_the_known_routes_as_they_were(self):
        """The next one is converted as if the invalid one had not come."""
        before = self.parser.parse(self.payload)
        invalid = build_manifest(Routes={"r": {"Host": 3}})
        with self.assertRaises(ValueError):
            self.parser.parse(invalid)
        after = self.parser.parse(self.payload)
        self.assertIs(after.routes[0], before.routes[0])


class FoldTests(unittest.TestCase):
    """Selection of the manifest in force."""

    def test_only_newer_manifests_are_applied(self):
        """Neither an older manifest nor another record replaces the newest manifest."""
        fold = ManifestFold(places=PLACES)
        newer = ManifestParser(places=PLACES).parse(build_manifest(version="0000000d"))
        older = ManifestParser(places=PLACES).parse(build_manifest(version="0000000c"))
        fold.apply(4, newer)
        for offset, record in ((5, older), (6, None), (2, Configuration(version=3))):
            fold.apply(offset, record)
        self.assertIs(fold.configuration, newer)
        self.assertEqual(fold.next_offset, 7)

    def test_manifest_older_than_that_of_the_process_before_is_not_in_force(self):
        """The node has joined anew; the evacuations are those of the store."""
        parser = ManifestParser(places=PLACES)
        earlier = parser.parse(build_manifest(version="0000000d"))
        fold = ManifestFold(places=PLACES, earlier=earlier)
        self.assertEqual(fold.version, 0)
        fold.apply(3, Configuration(version=12, evacuated=frozenset({"east"})))
        self.assertEqual((fold.version, fold.next_offset), (13, 4))
        self.assertEqual(fold.configuration.routes, earlier.routes)
        self.assertEqual(fold.configuration.evacuated, {"east"})
        fold.apply(4, Configuration(version=14))
        self.assertEqual(fold.version, 14)

    def test_invalid_manifest_is_counted_and_skipped(self):
        """The decoder logs a warning and increments the counter."""
        metrics = Metrics()
        decoder = ManifestDecoder(places=PLACES, metrics=metrics)
        with self.assertLogs("papayatack", "WARNING"):
            logged = decoder.decode(CONFIG_STREAM, 3, b"{}")
        self.assertIsNone(logged.record)
        self.assertEqual(metrics.read_count("log_records_skipped", "manifest"), 1)
