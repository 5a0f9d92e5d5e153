"""Tests of papayatack.control.grants."""

import asyncio
import unittest

import looptime
from returns.result import Success

from papayatack.control.grants import GrantTask
from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.effects import ExtendLease, GrantShards, RevokeShards

LEASE = LeaseId(IncarnationId("127.0.0.1:1#a"), 1)
FIRST, SECOND = ShardId("s/r/0"), ShardId("s/r/1")
SLOW_S = 1.5


class SlowSink:
    """A grant sink whose revocations are slow."""

    def __init__(self):
        self.done = []

    async def grant(self, lease, tokens, until_s, handovers):
        """Record the grant."""
        self.done.append(("grant", *tokens))
        return Success(None)

    async def extend(self, lease, until_s):
        """Record the extension."""
        self.done.append(("extend",))
        return Success(None)

    async def revoke(self, lease, shards):
        """Record the revocation when it completes."""
        await asyncio.sleep(SLOW_S)
        self.done.append(("revoke", *shards))
        return Success({})


class GrantTaskTests(unittest.TestCase):
    """The order in which calls reach the upstream."""

    def run_effects(self, *effects, wait_s):
        """Queue effects; return the calls that completed within ``wait_s``."""

        async def run():
            sink, confirmed = SlowSink(), []
            task = GrantTask(
                sink=sink, confirm=lambda effect, done, _: confirmed.append(done)
            )
            running = asyncio.ensure_future(task.run())
            for effect in effects:
                task.put(effect)
            await asyncio.sleep(wait_s)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            self.assertTrue(all(confirmed))
            return sink.done

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(run())

    def test_slow_revocation_does_not_delay_other_shards(self):
        """Grants of other shards and extensions are sent while a revocation runs."""
        calls = self.run_effects(
            RevokeShards(revocation_id=1, lease=LEASE, shards=(FIRST,)),
            GrantShards(lease=LEASE, tokens={SECOND: 7}, until_s=1.0, decided_s=0.0),
            ExtendLease(lease=LEASE, until_s=1.0, decided_s=0.0),
            wait_s=SLOW_S / 3,
        )
        self.assertCountEqual(calls, [("grant", SECOND), ("extend",)])

    def test_grant_decided_long_ago_is_logged(self):
        """Also if it was not queued for long."""
        with self.assertLogs("papayatack.control.grants", "WARNING") as logs:
            self.run_effects(
                ExtendLease(lease=LEASE, until_s=1.0, decided_s=-0.3), wait_s=0.1
            )
        (line,) = logs.records
        self.assertEqual((line.name_of_event, line.reason), ("GRANT_LATE", "decided"))
        self.assertEqual((line.decided_ms, line.queued_ms), (300, 0))

    def test_shard_is_granted_only_after_its_revocation(self):
        """A revocation that overtakes a later grant would end it."""
        calls = self.run_effects(
            RevokeShards(revocation_id=1, lease=LEASE, shards=(FIRST,)),
            GrantShards(lease=LEASE, tokens={FIRST: 8}, until_s=9.0, decided_s=0.0),
            wait_s=2 * SLOW_S,
        )
        self.assertEqual(calls, [("revoke", FIRST), ("grant", FIRST)])
