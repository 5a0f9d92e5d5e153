"""Tests of papayatack.platform.grants against an upstream that checks grants."""

import asyncio
import unittest
from unittest import mock

from returns.result import Failure, Success

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.platform import grants
from papayatack.platform.grants import (
    MAX_CONCURRENT_GRANTS,
    MAX_DELIVERY_S,
    RangeGrantClient,
)
from standins.platformupstream import PlatformUpstream

LEASE = LeaseId(IncarnationId("127.0.0.1:1#a"), 1)
LONG_US = 10_000_000
MIDDLE_US = 600_000
SHORT_US = 300_000


def name(first, last, *, hot=False):
    """Return the id of a slice."""
    return ShardId(f"desk/keys/{'=' if hot else ''}{first}-{last}")


class RangeGrantClientTests(unittest.IsolatedAsyncioTestCase):
    """What the upstream holds after grants, renewals and releases."""

    async def asyncSetUp(self):
        self.upstream = PlatformUpstream(instance="i-1", service="desk", place="east")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.hot = []
        self.grants = RangeGrantClient(list_hot=lambda: self.hot)
        host, _, port = self.upstream.address.partition(":")
        self.pool = UpstreamPool(host=host, port=int(port), metrics=Metrics())
        self.addCleanup(self.pool.close)
        self.grants.pool = self.pool

    async def test_neighbours_with_one_token_are_one_grant(self):
        """Others are not."""
        tokens = {name(0, 255): 7, name(256, 511): 7, name(512, 767): 9}
        result = await self.grants.grant(LEASE, tokens, LONG_US)
        self.assertEqual(result, Success(None))
        self.assertEqual(set(self.upstream.grants), {(0, 511), (512, 767)})

    async def test_hot_slices_are_left_to_their_own_shard(self):
        """The parent's grant covers the keys round them."""
        self.hot = [name(16, 23, hot=True), name(0, 7, hot=True)]
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        self.assertEqual(set(self.upstream.grants), {(8, 15), (24, 255)})

    async def test_release_hands_over_by_keys(self):
        """What one upstream gave for keys is given with the grant of just these."""
        self.hot = [name(16, 23, hot=True)]
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        result = await self.grants.revoke(LEASE, (name(0, 255),))
        handovers = result.unwrap()
        self.assertEqual(handovers[name(0, 255)], "0-15:0-15;24-255:24-255")
        self.assertEqual(self.upstream.grants, {})

    async def test_released_keys_are_not_renewed(self):
        """Neither while the release is under way nor after."""
        shards = (name(0, 255), name(256, 511))
        await self.grants.grant(LEASE, dict.fromkeys(shards, 7), LONG_US)
        releasing = asyncio.ensure_future(self.grants.revoke(LEASE, shards[:1]))
        await asyncio.sleep(0)
        await self.grants.extend(LEASE, LONG_US)
        await releasing
        await self.grants.extend(LEASE, LONG_US)
        self.assertFalse(self.upstream.holds(0))
        self.assertTrue(self.upstream.holds(256))

    async def test_silent_upstream_holds_until_its_grants_run_out(self):
        """Only then may another have the keys."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self.grants.grant(LEASE, {name(0, 255): 7}, SHORT_US)
        self.grants.pool = None
        result = await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertIsInstance(result, Success)
        self.assertGreaterEqual(loop.time() - started_s, SHORT_US / 1e6)

    async def test_grant_that_waited_ends_with_its_lease(self):
        """However long it waits for a connection, the upstream's time is no longer."""
        loop = asyncio.get_running_loop()
        self.upstream.grant_delay_s = 0.05
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(4 * MAX_CONCURRENT_GRANTS)}
        build_document = grants.build_range_document
        ends_s = []

        def note_end(key_range, hold_s):
            document = build_document(key_range, hold_s)
            hold_ms = int(document["Hold"].removesuffix("ms"))
            ends_s.append(loop.time() + hold_ms / 1000)
            return document

        end_s = loop.time() + LONG_US / 1e6
        with mock.patch.object(grants, "build_range_document", note_end):
            await self.grants.grant(LEASE, shards, LONG_US)
        self.assertEqual(len(ends_s), len(shards))
        self.assertLessEqual(max(ends_s), end_s)

    async def test_no_grant_goes_out_for_no_time(self):
        """The upstream would not take it."""
        result = await self.grants.grant(LEASE, {name(0, 255): 7}, 15_000)
        self.assertIsInstance(result, Failure)
        self.assertEqual(self.upstream.grants, {})

    async def test_renewals_do_not_wait_for_releases(self):
        """These last as long as the work under them; what stays must not run out."""
        shards = [name(16 * n, 16 * n + 7) for n in range(3 * MAX_CONCURRENT_GRANTS)]
        await self.grants.grant(LEASE, dict.fromkeys(shards, 7), SHORT_US)
        self.upstream.release_delay_s = 1.5
        revoked = tuple(shards[: 2 * MAX_CONCURRENT_GRANTS])
        releasing = asyncio.ensure_future(self.grants.revoke(LEASE, revoked))
        await asyncio.sleep(0.1)
        await self.grants.extend(LEASE, LONG_US)
        released = [
            document
            for target, document in self.upstream.calls
            if target == b"/release"
        ]
        self.assertTrue(released)
        self.assertFalse(releasing.done())
        self.assertEqual(self.upstream.releases_ended, 0)
        await releasing
        self.assertTrue(self.upstream.holds(16 * (3 * MAX_CONCURRENT_GRANTS - 1)))

    async def test_hot_slice_that_moves_before_its_own_grant(self):
        """It is still held with its parent, and must be released."""
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        self.hot = [name(16, 23, hot=True)]
        await self.grants.revoke(LEASE, (name(16, 23, hot=True),))
        self.assertFalse(self.upstream.holds(16))
        self.assertTrue(self.upstream.holds(15))

    async def test_grant_of_the_parent_that_is_under_way(self):
        """It covers the hot slice; the release comes after it."""
        shards = {
            name(512 * n, 512 * n + 511): 7 + n
            for n in range(MAX_CONCURRENT_GRANTS + 1)
        }
        await self.grants.grant(LEASE, shards, LONG_US)
        self.upstream.grant_delay_s = 0.2
        extending = asyncio.ensure_future(self.grants.extend(LEASE, LONG_US))
        await asyncio.sleep(0.05)
        first = 512 * MAX_CONCURRENT_GRANTS
        hot = name(first, first + 7, hot=True)
        self.hot = [hot]
        await self.grants.revoke(LEASE, (hot,))
        await extending
        self.assertFalse(self.upstream.holds(first))
        self.assertTrue(self.upstream.holds(first + 8))

    async def replace_upstream(self):
        """Put a new life of the upstream into service; return it."""
        self.grants.pool = None
        self.grants.forget()
        upstream = PlatformUpstream(instance="i-2", service="desk", place="east")
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        host, _, port = upstream.address.partition(":")
        pool = UpstreamPool(host=host, port=int(port), metrics=Metrics())
        self.addCleanup(pool.close)
        self.grants.pool = pool
        return upstream

    async def test_grant_that_was_under_way_to_an_earlier_life_is_not_renewed(self):
        """Neither what was answered there nor what waited goes to the next life."""
        self.upstream.grant_delay_s = 0.1
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(2 * MAX_CONCURRENT_GRANTS)}
        granting = asyncio.ensure_future(self.grants.grant(LEASE, shards, LONG_US))
        await asyncio.sleep(0.05)
        upstream = await self.replace_upstream()
        await granting
        await self.grants.extend(LEASE, LONG_US)
        self.assertEqual(upstream.grants, {})

    async def test_token_of_an_earlier_life_is_not_sent(self):
        """A grant that was asked for before comes after; only a higher one goes out."""
        first = name(0, 255)
        await self.grants.grant(LEASE, {first: 7}, LONG_US)
        upstream = await self.replace_upstream()
        refused = await self.grants.grant(LEASE, {first: 7}, LONG_US)
        self.assertIsInstance(refused, Failure)
        self.assertEqual(upstream.grants, {})
        self.assertEqual(
            await self.grants.grant(LEASE, {first: 8}, LONG_US), Success(None)
        )

    async def test_token_that_returns_after_a_higher_one_is_not_sent(self):
        """Also for some of the keys alone."""
        hot = name(16, 23, hot=True)
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        self.hot = [hot]
        await self.grants.grant(LEASE, {hot: 9}, LONG_US)
        await self.grants.revoke(LEASE, (hot,))
        self.hot = []
        sent = len(self.upstream.calls)
        await self.grants.extend(LEASE, LONG_US)
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        tokens = {
            document["fence"]
            for target, document in self.upstream.calls[sent:]
            if target == b"/grant" and document["From"] <= 16 <= document["To"]
        }
        self.assertEqual(tokens, set())

    async def test_hot_slice_whose_parent_is_released_before_its_own_grant(self):
        """The upstream still has it from the parent's grant."""
        hot = name(16, 23, hot=True)
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        self.hot = [hot]
        await self.grants.revoke(LEASE, (name(0, 255),))
        await self.grants.revoke(LEASE, (hot,))
        self.assertFalse(self.upstream.holds(16))

    async def test_returned_hot_slice_whose_release_ends_after_the_parents_grant(self):
        """The parent has the keys by then, and its own release must cover them."""
        around = [name(8, 15, hot=True), name(24, 31, hot=True)]
        hot = name(16, 23, hot=True)
        self.hot = [*around, hot]
        await self.grants.grant(LEASE, {name(0, 255): 7, hot: 9}, LONG_US)
        self.hot = around
        self.upstream.release_delay_s = 0.5
        releasing = asyncio.ensure_future(self.grants.revoke(LEASE, (hot,)))
        while not any(target == b"/release" for target, _ in self.upstream.calls):
            await asyncio.sleep(0.01)
        await self.grants.grant(LEASE, {name(0, 255): 11}, LONG_US)
        await releasing
        self.assertTrue(self.upstream.holds(16))
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertFalse(self.upstream.holds(16))

    async def test_returned_hot_slice_whose_parent_is_released(self):
        """The parent's new grant was never made."""
        hot = name(16, 23, hot=True)
        self.hot = [hot]
        await self.grants.grant(LEASE, {name(0, 255): 7, hot: 9}, LONG_US)
        self.hot = []
        await self.grants.extend(LEASE, LONG_US)
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertFalse(self.upstream.holds(16))
        self.assertFalse(self.upstream.holds(0))

    async def test_refused_grant_counts_as_none(self):
        """A higher token was seen."""
        self.upstream.refuse_grants = True
        result = await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        self.assertIsInstance(result, Failure)

    async def test_grant_without_answer_may_stand(self):
        """A release that follows waits until it has run out for sure."""
        loop = asyncio.get_running_loop()
        await self.grants.grant(LEASE, {name(0, 255): 7}, LONG_US)
        self.upstream.grant_delay_s = 2.0
        started_s = loop.time()
        result = await self.grants.grant(LEASE, {name(0, 255): 9}, SHORT_US)
        self.assertIsInstance(result, Failure)
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertGreaterEqual(
            loop.time() - started_s, SHORT_US / 1e6 + MAX_DELIVERY_S
        )
        self.assertIn(b"/release", [target for target, _ in self.upstream.calls])

    async def test_grant_without_answer_is_sent_again_long_before_its_end(self):
        """Neither its keys nor the other grants wait for the rest of the lease."""
        self.upstream.lost_grants = MAX_CONCURRENT_GRANTS
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(2 * MAX_CONCURRENT_GRANTS)}
        async with asyncio.timeout(LONG_US / 1e6 / 5):
            result = await self.grants.grant(LEASE, shards, LONG_US)
        self.assertEqual(result, Success(None))

    async def test_release_waits_for_a_grant_that_was_sent_again(self):
        """The one without an answer may still be taken in."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 2 * MIDDLE_US / 1e6
        self.upstream.lost_grants = 1
        await self.grants.grant(LEASE, {name(0, 255): 7}, 2 * MIDDLE_US)
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertGreaterEqual(loop.time(), end_s)

    async def test_many_ranges_take_few_connections(self):
        """A storm of them would be reset by the upstream, and nothing be granted."""
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(300)}
        result = await self.grants.grant(LEASE, shards, LONG_US)
        self.assertEqual(result, Success(None))
        self.assertLessEqual(self.pool.open_connections, MAX_CONCURRENT_GRANTS)

    async def test_what_is_granted_is_not_asked_for_again(self):
        """A grant that failed in part goes on with the rest."""
        first = {name(0, 255): 7}
        await self.grants.grant(LEASE, first, LONG_US)
        self.upstream.refuse_grants = True
        result = await self.grants.grant(LEASE, first, LONG_US)
        self.assertEqual(result, Success(None))
        both = {**first, name(512, 767): 9}
        self.assertIsInstance(await self.grants.grant(LEASE, both, LONG_US), Failure)
        self.upstream.refuse_grants = False
        self.assertEqual(await self.grants.grant(LEASE, both, LONG_US), Success(None))
