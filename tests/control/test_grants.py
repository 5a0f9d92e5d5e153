"""Tests of papayatack.control.grants."""

import asyncio
import unittest

import looptime
from returns.result import Success

from papayatack.control.grants import GrantTask
from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.effects import ExtendLease, GrantShards, RevokeShards

LEASE = LeaseId(IncarnationId("127.0.0.1:1#a"), 1)
ONE, TWO = ShardId("s/r/0"), ShardId("s/r/1")
SLOW_S = 1.5


class SlowSink:
    """Takes long for a revocation."""

    def __init__(self):
        self.done = []

    async def grant(self, lease, tokens, remaining_us, handovers):
        """Note the grant."""
        self.done.append(("grant", *tokens))
        return Success(None)

    async def extend(self, lease, remaining_us):
        """Note the extension."""
        self.done.append(("extend",))
        return Success(None)

    async def revoke(self, lease, shards):
        """Note the revocation once it is over."""
        await asyncio.sleep(SLOW_S)
        self.done.append(("revoke", *shards))
        return Success({})


class GrantTaskTests(unittest.TestCase):
    """In which order the upstream hears of what."""

    def run_effects(self, *effects, wait_s):
        """Put effects, and return what the upstream has heard after a while."""

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

    def test_a_slow_revocation_holds_up_no_other_shard(self):
        """Neither a grant nor an extension."""
        heard = self.run_effects(
            RevokeShards(revocation_id=1, lease=LEASE, shards=(ONE,)),
            GrantShards(lease=LEASE, tokens={TWO: 7}, remaining_s=1.0),
            ExtendLease(lease=LEASE, remaining_s=1.0),
            wait_s=SLOW_S / 3,
        )
        self.assertCountEqual(heard, [("grant", TWO), ("extend",)])

    def test_a_shard_is_granted_after_its_revocation(self):
        """Else the revocation would end the new grant."""
        heard = self.run_effects(
            RevokeShards(revocation_id=1, lease=LEASE, shards=(ONE,)),
            GrantShards(lease=LEASE, tokens={ONE: 8}, remaining_s=9.0),
            wait_s=2 * SLOW_S,
        )
        self.assertEqual(heard, [("revoke", ONE), ("grant", ONE)])
