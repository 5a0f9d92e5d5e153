"""Tests of papayatack.platform.grants against a fake upstream that checks grants."""

import asyncio
import functools
import unittest
from unittest import mock

from returns.result import Failure, Success

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.network.identified_connections import IdentifiedConnections
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.platform import grants
from papayatack.platform.grants import (
    MAX_CONCURRENT_GRANTS,
    MAX_DELIVERY_S,
    RangeGrantClient,
)
from papayatack.platform.health_check import read_instance
from standins.platformupstream import PlatformUpstream
from tests.network.slow_relay import SlowRelay

LEASE = LeaseId(IncarnationId("127.0.0.1:1#a"), 1)
LONG_US = 10_000_000
MIDDLE_US = 600_000
SHORT_US = 300_000
LATE_US = 2_500_000


def name(first, last, *, hot=False):
    """Return the shard id of a slice."""
    return ShardId(f"desk/keys/{'=' if hot else ''}{first}-{last}")


def find_end(duration_us):
    """Return the event loop time after a duration in microseconds."""
    return asyncio.get_running_loop().time() + duration_us / 1e6


def build_identified(pool, *, on_replaced, may_have_restarted=lambda: False):
    """Return connections on which the process of a pool has named itself."""
    read_id = functools.partial(read_instance, address=pool.address, path="/health")
    return IdentifiedConnections(
        pool=pool,
        read_id=read_id,
        on_replaced=on_replaced,
        may_have_restarted=may_have_restarted,
    )


class RangeGrantClientTests(unittest.IsolatedAsyncioTestCase):
    """Keys that the upstream holds after grants, renewals and releases."""

    async def asyncSetUp(self):
        self.upstream = PlatformUpstream(instance="i-1", service="desk", place="east")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.hot = []
        self.replaced = []
        self.grants = RangeGrantClient(
            list_hot=lambda: self.hot,
            build_connections=lambda pool: build_identified(
                pool, on_replaced=lambda: self.replaced.append(pool.name)
            ),
        )
        self.pool = self.build_pool(self.upstream.address, name="i-1")
        self.grants.pool = self.pool

    def build_pool(self, address, *, name):
        """Return connections to an address."""
        host, _, port = address.partition(":")
        pool = UpstreamPool(host=host, port=int(port), metrics=Metrics(), name=name)
        self.addCleanup(pool.close)
        return pool

    async def test_adjacent_shards_with_one_token_share_a_grant(self):
        """Adjacent shards with different tokens get separate grants."""
        tokens = {name(0, 255): 7, name(256, 511): 7, name(512, 767): 9}
        result = await self.grants.grant(LEASE, tokens, find_end(LONG_US))
        self.assertEqual(result, Success(None))
        self.assertEqual(set(self.upstream.grants), {(0, 511), (512, 767)})

    async def test_grant_of_a_parent_excludes_its_hot_slices(self):
        """It covers the keys around them."""
        self.hot = [name(16, 23, hot=True), name(0, 7, hot=True)]
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        self.assertEqual(set(self.upstream.grants), {(8, 15), (24, 255)})

    async def test_release_returns_handovers_by_key_range(self):
        """Each is passed on only with a grant of exactly the same range."""
        self.hot = [name(16, 23, hot=True)]
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        result = await self.grants.revoke(LEASE, (name(0, 255),))
        handovers = result.unwrap()
        self.assertEqual(handovers[name(0, 255)], "0-15:0-15;24-255:24-255")
        self.assertEqual(self.upstream.grants, {})

    async def test_released_keys_are_not_renewed(self):
        """Neither during the release nor after it."""
        shards = (name(0, 255), name(256, 511))
        await self.grants.grant(LEASE, dict.fromkeys(shards, 7), find_end(LONG_US))
        releasing = asyncio.ensure_future(self.grants.revoke(LEASE, shards[:1]))
        await asyncio.sleep(0)
        await self.grants.extend(LEASE, find_end(LONG_US))
        await releasing
        await self.grants.extend(LEASE, find_end(LONG_US))
        self.assertFalse(self.upstream.holds(0))
        self.assertTrue(self.upstream.holds(256))

    async def test_release_at_an_unresponsive_upstream_waits_for_expiry(self):
        """Another upstream may get the keys only after the grants have expired."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(SHORT_US))
        self.grants.pool = None
        result = await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertIsInstance(result, Success)
        self.assertGreaterEqual(loop.time() - started_s, SHORT_US / 1e6)

    async def test_keys_are_released_only_after_a_grant_that_arrived_late_has_expired(
        self,
    ):
        """Its time counts from an arrival that was 0.25 or 1 s after it was sent."""
        for delay_s in (0.25, 1.0):
            with self.subTest(delay_s=delay_s):
                await self.check_late_grant(delay_s)

    async def check_late_grant(self, delay_s):
        """Revoke a grant that took some time to arrive, without an answer."""
        relay = SlowRelay()
        await relay.start()
        self.addCleanup(relay.stop)
        relay.target_port = int(self.upstream.address.rpartition(":")[2])
        relay.delay_s = delay_s
        self.grants.pool = self.build_pool(f"127.0.0.1:{relay.port}", name="i-1")
        end_s = find_end(LATE_US)
        result = await self.grants.grant(LEASE, {name(0, 255): 7}, end_s)
        self.assertEqual(result, Success(None))
        self.grants.pool = None
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertFalse(self.upstream.holds(0))
        self.upstream.grants.clear()

    async def test_delayed_grant_ends_with_its_lease(self):
        """The time spent waiting for a connection is deducted from the duration."""
        loop = asyncio.get_running_loop()
        self.upstream.grant_delay_s = 0.05
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(4 * MAX_CONCURRENT_GRANTS)}
        build_document = grants.build_range_document
        ends_s = []

        def record_end(key_range, hold_s):
            document = build_document(key_range, hold_s)
            hold_ms = int(document["Hold"].removesuffix("ms"))
            ends_s.append(loop.time() + hold_ms / 1000)
            return document

        end_s = loop.time() + LONG_US / 1e6
        with mock.patch.object(grants, "build_range_document", record_end):
            await self.grants.grant(LEASE, shards, find_end(LONG_US))
        self.assertEqual(len(ends_s), len(shards))
        self.assertLessEqual(max(ends_s), end_s)

    async def test_late_answer_is_logged_with_what_may_outlast_the_lease(self):
        """The grant's time counts from an arrival that only the answer bounds."""
        self.upstream.grant_delay_s = 0.15
        with self.assertLogs("papayatack.platform.grant_lines", "WARNING") as logs:
            await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        (line,) = logs.records
        self.assertEqual((line.name_of_event, line.reason), ("GRANT_LATE", "answered"))
        self.assertGreaterEqual(line.over_ms, 149)
        self.assertLess(line.over_ms, line.answer_ms + 5)

    async def test_end_of_a_process_is_logged_with_what_it_may_still_hold(self):
        """The time of the last grant shows whether it was sent after the end."""
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        await self.upstream.stop()
        await asyncio.sleep(0.1)
        with self.assertLogs("papayatack.platform.grant_lines", "INFO") as logs:
            self.grants.forget()
        (line,) = logs.records
        self.assertEqual((line.name_of_event, line.certain), ("GRANTS_FORGOTTEN", True))
        self.assertGreaterEqual(line.sent_ms, 99)
        self.assertGreater(line.left_ms, 9_000)
        self.assertLessEqual(line.left_ms, 9_901)

    async def test_end_of_a_process_that_holds_nothing_is_logged(self):
        """All its keys were released before."""
        shard = name(0, 255)
        await self.grants.grant(LEASE, {shard: 7}, find_end(LONG_US))
        await self.grants.revoke(LEASE, (shard,))
        with self.assertLogs("papayatack.platform.grant_lines", "INFO") as logs:
            self.grants.forget()
        self.assertEqual(logs.records[0].left_ms, 0)

    async def test_too_short_grant_is_not_sent(self):
        """It would expire before its first request."""
        result = await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(15_000))
        self.assertIsInstance(result, Failure)
        self.assertEqual(self.upstream.grants, {})

    async def test_renewals_do_not_wait_for_releases(self):
        """Releases last as long as requests; other grants must not expire meanwhile."""
        shards = [name(16 * n, 16 * n + 7) for n in range(3 * MAX_CONCURRENT_GRANTS)]
        await self.grants.grant(LEASE, dict.fromkeys(shards, 7), find_end(SHORT_US))
        self.upstream.release_delay_s = 1.5
        revoked = tuple(shards[: 2 * MAX_CONCURRENT_GRANTS])
        releasing = asyncio.ensure_future(self.grants.revoke(LEASE, revoked))
        await asyncio.sleep(0.1)
        await self.grants.extend(LEASE, find_end(LONG_US))
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

    async def test_hot_slice_without_a_grant_of_its_own_is_released(self):
        """The upstream still holds it under the parent's grant."""
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        self.hot = [name(16, 23, hot=True)]
        await self.grants.revoke(LEASE, (name(16, 23, hot=True),))
        self.assertFalse(self.upstream.holds(16))
        self.assertTrue(self.upstream.holds(15))

    async def test_release_of_a_hot_slice_waits_for_its_parents_grant_in_flight(self):
        """The parent's grant covers the hot slice, so it must arrive first."""
        shards = {
            name(512 * n, 512 * n + 511): 7 + n
            for n in range(MAX_CONCURRENT_GRANTS + 1)
        }
        await self.grants.grant(LEASE, shards, find_end(LONG_US))
        self.upstream.grant_delay_s = 0.2
        extending = asyncio.ensure_future(self.grants.extend(LEASE, find_end(LONG_US)))
        await asyncio.sleep(0.05)
        first = 512 * MAX_CONCURRENT_GRANTS
        hot = name(first, first + 7, hot=True)
        self.hot = [hot]
        await self.grants.revoke(LEASE, (hot,))
        await extending
        self.assertFalse(self.upstream.holds(first))
        self.assertTrue(self.upstream.holds(first + 8))

    async def replace_upstream(self):
        """Start a new upstream process, use it and return it."""
        await self.upstream.stop()
        await asyncio.sleep(0.02)
        self.grants.pool = None
        self.grants.forget()
        upstream = PlatformUpstream(instance="i-2", service="desk", place="east")
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        self.grants.pool = self.build_pool(upstream.address, name="i-2")
        return upstream

    async def test_grants_in_flight_to_a_previous_process_are_not_renewed(self):
        """Neither confirmed nor waiting grants go to the next process."""
        self.upstream.grant_delay_s = 0.1
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(2 * MAX_CONCURRENT_GRANTS)}
        granting = asyncio.ensure_future(
            self.grants.grant(LEASE, shards, find_end(LONG_US))
        )
        await asyncio.sleep(0.05)
        upstream = await self.replace_upstream()
        await granting
        await self.grants.extend(LEASE, find_end(LONG_US))
        self.assertEqual(upstream.grants, {})

    async def test_process_at_the_same_address_gets_no_renewal_of_the_last(self):
        """The upstream has crashed and started again, which nobody has noticed yet."""
        shards = {name(0, 255): 7}
        granted = await self.grants.grant(LEASE, shards, find_end(LONG_US))
        self.assertEqual(granted, Success(None))
        self.upstream.down_s = 0.02
        self.upstream.crash()
        await asyncio.sleep(0.1)
        self.assertEqual(self.upstream.instance, "i-1-1")
        refused = await self.grants.extend(LEASE, find_end(LONG_US))
        self.assertIsInstance(refused, Failure)
        self.assertEqual(self.upstream.grants, {})
        self.assertEqual(self.replaced, ["i-1"])

    async def test_grant_that_the_next_process_may_have_taken_is_waited_out(self):
        """Nothing tells which process took it if they can't be asked for their ids."""
        self.grants = RangeGrantClient(
            list_hot=list,
            build_connections=lambda pool: IdentifiedConnections(
                pool=pool,
                read_id=mock.AsyncMock(return_value=None),
                on_replaced=mock.Mock(),
                may_have_restarted=lambda: False,
            ),
        )
        self.grants.pool = self.pool
        shard = name(0, 255)
        await self.grants.grant(LEASE, {shard: 7}, find_end(MIDDLE_US))
        self.upstream.down_s = 0.02
        self.upstream.crash()
        await asyncio.sleep(0.1)
        await self.grants.extend(LEASE, find_end(MIDDLE_US))
        self.assertTrue(self.upstream.holds(0))
        self.grants.forget(is_certain=True)
        await self.grants.revoke(LEASE, (shard,))
        self.assertFalse(self.upstream.holds(0))

    async def test_process_that_may_have_restarted_gets_higher_tokens_at_once(self):
        """Nobody else can hold its keys, so they need not be waited out."""
        shard = name(0, 255)
        await self.grants.grant(LEASE, {shard: 7}, find_end(LONG_US))
        self.grants.restart()
        refused = await self.grants.grant(LEASE, {shard: 7}, find_end(LONG_US))
        self.assertIsInstance(refused, Failure)
        granted = await self.grants.grant(LEASE, {shard: 8}, find_end(LONG_US))
        self.assertEqual(granted, Success(None))
        await self.grants.revoke(LEASE, (shard,))
        self.assertEqual(self.upstream.grants, {})

    async def test_keys_of_a_process_that_may_have_restarted_are_released(self):
        """It may be the one that was granted them."""
        shard = name(0, 255)
        await self.grants.grant(LEASE, {shard: 7}, find_end(LONG_US))
        self.grants.restart()
        await self.grants.revoke(LEASE, (shard,))
        self.assertEqual(self.upstream.grants, {})

    async def test_process_whose_connection_is_open_has_not_ended(self):
        """Its keys are waited out, whoever says that it has ended."""
        shard = name(0, 255)
        await self.grants.grant(LEASE, {shard: 7}, find_end(MIDDLE_US))
        self.grants.forget(is_certain=True)
        await self.grants.revoke(LEASE, (shard,))
        self.assertFalse(self.upstream.holds(0))

    async def test_release_for_the_last_process_does_not_reach_the_next(self):
        """It had waited for a connection, and would end the keys of the next one."""
        shard = name(0, 255)
        await self.grants.grant(LEASE, {shard: 7}, find_end(SHORT_US))
        is_free = asyncio.Event()
        reserve = self.pool.reserve

        async def wait_and_reserve(*, deadline_s):
            await is_free.wait()
            return await reserve(deadline_s=deadline_s)

        self.pool.reserve = wait_and_reserve
        revoking = asyncio.ensure_future(self.grants.revoke(LEASE, (shard,)))
        await asyncio.sleep(0.05)
        self.grants.forget(is_certain=False)
        await asyncio.sleep(SHORT_US / 1e6 + MAX_DELIVERY_S + 0.1)
        self.grants.pool = self.build_pool(self.upstream.address, name="i-1")
        granted = await self.grants.grant(LEASE, {shard: 8}, find_end(LONG_US))
        self.assertEqual(granted, Success(None))
        is_free.set()
        await asyncio.sleep(0.05)
        self.assertTrue(self.upstream.holds(0))
        self.assertTrue(revoking.done())

    async def test_token_of_a_previous_process_is_not_sent_again(self):
        """The next process gets a grant only with a higher token."""
        first = name(0, 255)
        await self.grants.grant(LEASE, {first: 7}, find_end(LONG_US))
        upstream = await self.replace_upstream()
        refused = await self.grants.grant(LEASE, {first: 7}, find_end(LONG_US))
        self.assertIsInstance(refused, Failure)
        self.assertEqual(upstream.grants, {})
        self.assertEqual(
            await self.grants.grant(LEASE, {first: 8}, find_end(LONG_US)), Success(None)
        )

    async def test_token_is_not_sent_after_a_higher_one(self):
        """This holds even if only some of the keys had the higher token."""
        hot = name(16, 23, hot=True)
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        self.hot = [hot]
        await self.grants.grant(LEASE, {hot: 9}, find_end(LONG_US))
        await self.grants.revoke(LEASE, (hot,))
        self.hot = []
        sent = len(self.upstream.calls)
        await self.grants.extend(LEASE, find_end(LONG_US))
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        tokens = {
            document["fence"]
            for target, document in self.upstream.calls[sent:]
            if target == b"/grant" and document["From"] <= 16 <= document["To"]
        }
        self.assertEqual(tokens, set())

    async def test_hot_slice_is_released_after_its_parent_without_a_grant_of_its_own(
        self,
    ):
        """The upstream still holds it under the parent's earlier grant."""
        hot = name(16, 23, hot=True)
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        self.hot = [hot]
        await self.grants.revoke(LEASE, (name(0, 255),))
        await self.grants.revoke(LEASE, (hot,))
        self.assertFalse(self.upstream.holds(16))

    async def test_merged_hot_slice_is_released_with_its_parent(self):
        """The slice's own release ends after the parent's grant for its keys."""
        around = [name(8, 15, hot=True), name(24, 31, hot=True)]
        hot = name(16, 23, hot=True)
        self.hot = [*around, hot]
        await self.grants.grant(LEASE, {name(0, 255): 7, hot: 9}, find_end(LONG_US))
        self.hot = around
        self.upstream.release_delay_s = 0.5
        releasing = asyncio.ensure_future(self.grants.revoke(LEASE, (hot,)))
        while not any(target == b"/release" for target, _ in self.upstream.calls):
            await asyncio.sleep(0.01)
        await self.grants.grant(LEASE, {name(0, 255): 11}, find_end(LONG_US))
        await releasing
        self.assertTrue(self.upstream.holds(16))
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertFalse(self.upstream.holds(16))

    async def test_merged_hot_slice_is_released_with_an_ungranted_parent(self):
        """The parent had no grant after the merge."""
        hot = name(16, 23, hot=True)
        self.hot = [hot]
        await self.grants.grant(LEASE, {name(0, 255): 7, hot: 9}, find_end(LONG_US))
        self.hot = []
        await self.grants.extend(LEASE, find_end(LONG_US))
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertFalse(self.upstream.holds(16))
        self.assertFalse(self.upstream.holds(0))

    async def test_refused_grant_is_a_failure(self):
        """The upstream refuses a grant after a higher token."""
        self.upstream.refuse_grants = True
        result = await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        self.assertIsInstance(result, Failure)

    async def test_release_waits_for_the_expiry_of_an_unacknowledged_grant(self):
        """The upstream may have accepted the grant and hold the keys until then."""
        loop = asyncio.get_running_loop()
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(LONG_US))
        self.upstream.grant_delay_s = 2.0
        started_s = loop.time()
        result = await self.grants.grant(LEASE, {name(0, 255): 9}, find_end(SHORT_US))
        self.assertIsInstance(result, Failure)
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertGreaterEqual(
            loop.time() - started_s, SHORT_US / 1e6 + MAX_DELIVERY_S
        )
        self.assertIn(b"/release", [target for target, _ in self.upstream.calls])

    async def test_unacknowledged_grant_is_retried_long_before_its_expiry(self):
        """Neither its keys nor other grants wait for the rest of the lease."""
        self.upstream.lost_grants = MAX_CONCURRENT_GRANTS
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(2 * MAX_CONCURRENT_GRANTS)}
        async with asyncio.timeout(LONG_US / 1e6 / 5):
            result = await self.grants.grant(LEASE, shards, find_end(LONG_US))
        self.assertEqual(result, Success(None))

    async def test_release_waits_for_a_retried_grant(self):
        """The upstream may still process the unacknowledged attempt."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 2 * MIDDLE_US / 1e6
        self.upstream.lost_grants = 1
        await self.grants.grant(LEASE, {name(0, 255): 7}, find_end(2 * MIDDLE_US))
        await self.grants.revoke(LEASE, (name(0, 255),))
        self.assertGreaterEqual(loop.time(), end_s)

    async def test_many_ranges_take_few_connections(self):
        """The upstream would reset excess connections, and grant nothing."""
        shards = {name(16 * n, 16 * n + 7): 7 for n in range(300)}
        result = await self.grants.grant(LEASE, shards, find_end(LONG_US))
        self.assertEqual(result, Success(None))
        self.assertLessEqual(self.pool.open_connections, MAX_CONCURRENT_GRANTS)

    async def test_confirmed_grants_are_not_sent_again(self):
        """After a partial failure only the remaining shards are sent."""
        first = {name(0, 255): 7}
        await self.grants.grant(LEASE, first, find_end(LONG_US))
        self.upstream.refuse_grants = True
        result = await self.grants.grant(LEASE, first, find_end(LONG_US))
        self.assertEqual(result, Success(None))
        both = {**first, name(512, 767): 9}
        self.assertIsInstance(
            await self.grants.grant(LEASE, both, find_end(LONG_US)), Failure
        )
        self.upstream.refuse_grants = False
        self.assertEqual(
            await self.grants.grant(LEASE, both, find_end(LONG_US)), Success(None)
        )
