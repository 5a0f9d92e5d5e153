"""Tests of papayatack.proxy.idempotent on loopback."""

import asyncio
import dataclasses

from returns.result import Success

from papayatack.core.idempotency import Tenure
from tests.proxy.fakes import (
    HOT_SHARD,
    SHARD,
    FakePermit,
    build_request,
    fetch,
    wait_until,
)
from tests.proxy.two_nodes import TwoNodesTestCase

TARGET = "/hiring/v/k1"


def read_token(response):
    """Return the key token in a raw response; empty if there is none."""
    _, _, rest = response.partition(b"papayatack-key-token: ")
    return rest.partition(b"\r\n")[0].decode()


class ClosedGate:
    """Admits requests only after it has been opened."""

    def __init__(self):
        self.opened = asyncio.Event()
        self.waiting = 0
        self.left = 0
        self.released = 0
        self.errors = []

    def observe_limit(self, requests_per_s):
        """Ignore a limit."""

    def read_load(self):
        """Return no load."""

    async def acquire(self, ticket):
        """Wait until the gate is open; count waits and cancellations."""
        self.waiting += 1
        try:
            await self.opened.wait()
        except asyncio.CancelledError:
            self.left += 1
            raise
        finally:
            self.waiting -= 1
        return Success(FakePermit(self))


class IdempotentTestCase(TwoNodesTestCase):
    """Two nodes; the second owns the shard in the shard's first tenure."""

    async def post(self, *, key="a", body=b"x", target=TARGET, node=None, more=()):
        """Send one order with an idempotency key and return the raw response."""
        headers = (f"Idempotency-Key: {key}", *more)
        data = build_request("POST", target, body=body, headers=headers)
        return await fetch((node or self.entry).callers.port, data)

    def build_token_header(self, response):
        """Return the header that sends the token of a response back."""
        return (f"Papayatack-Key-Token: {read_token(response)}",)

    def set_tenure(self, number, **changes):
        """Give the owner a new tenure; in between, another node may have been owner."""
        now = asyncio.get_running_loop().time()
        self.owner.ownership.tenure = Tenure(
            **{"shard": SHARD, "number": number, "token": number, "since_s": now}
            | changes
        )

    def assert_runs(self, **runs):
        """Assert how often each key has run."""
        self.assertEqual(self.upstream.key_runs, runs)


class RepeatTests(IdempotentTestCase):
    """Repeats during one tenure."""

    async def test_repeat_gets_the_stored_response(self):
        """A repeat gets the stored response, marked as replayed, and does not run."""
        first = await self.post()
        self.assertNotIn(b"papayatack-replayed", first)
        for node in (self.owner, self.entry):
            response = await self.post(node=node)
            self.assertIn(b"HTTP/1.1 200", response)
            self.assertIn(b"papayatack-outcome: answered", response)
            self.assertIn(b"papayatack-replayed: true", response)
            self.assertTrue(response.endswith(b"xx"))
        self.assert_runs(a=1)
        self.assertEqual(self.owner.metrics.read_count("idempotency", "replay"), 2)

    async def test_concurrent_repeats_run_once(self):
        """Repeats of a running request wait for it and get its response."""
        target = TARGET + "?sleep_ms=50"
        responses = await asyncio.gather(*(self.post(target=target) for _ in range(8)))
        self.assertTrue(all(b"HTTP/1.1 200" in response for response in responses))
        replayed = sum(b"papayatack-replayed" in response for response in responses)
        self.assertEqual(replayed, 7)
        self.assert_runs(a=1)

    async def test_key_of_another_request_is_a_mismatch(self):
        """The same key with another body or target is refused and does not run."""
        await self.post()
        for changed in ({"body": b"y"}, {"target": TARGET + "?bytes=3"}):
            response = await self.post(**changed)
            self.assertIn(b"papayatack-error: idempotency-mismatch", response)
            self.assertIn(b"papayatack-outcome: not-run", response)
        self.assert_runs(a=1)

    async def test_keys_of_partners_are_independent(self):
        """Two partners can use the same key independently."""
        await self.post()
        response = await self.post(more=("X-Partner: caribe",))
        self.assertNotIn(b"papayatack-replayed", response)
        self.assert_runs(a=2)

    async def test_request_with_unknown_outcome_is_not_run_again(self):
        """After a run whose response was truncated, a repeat is refused as unknown."""
        self.upstream.behaviour.cut_after_bytes = 0
        first = await self.post()
        self.assertIn(b"papayatack-outcome: unknown", first)
        self.upstream.behaviour.cut_after_bytes = None
        response = await self.post()
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs(a=1)

    async def test_request_that_was_not_run_frees_its_key(self):
        """After a refusal of the upstream, a repeat runs."""
        self.upstream.behaviour.shed = True
        self.assertIn(b"papayatack-outcome: not-run", await self.post())
        self.upstream.behaviour.shed = False
        self.assertIn(b"HTTP/1.1 200", await self.post())
        self.assert_runs(a=1)

    async def test_long_response_is_not_stored(self):
        """A repeat of a request with a long response is refused as unknown."""
        target = TARGET + "?bytes=200000"
        self.assertIn(b"HTTP/1.1 200", await self.post(target=target))
        response = await self.post(target=target)
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs(a=1)

    async def test_large_body_is_refused(self):
        """A body that is too long to be compared is refused before the request runs."""
        response = await self.post(body=b"x" * (128 * 1024 + 1))
        self.assertIn(b"papayatack-error: body-too-large", response)
        self.assertIn(b"HTTP/1.1 200", await self.post(body=b"x" * 128 * 1024))
        self.assert_runs(a=1)

    async def test_cancelled_run_has_an_unknown_outcome(self):
        """A run that was cancelled after it was sent is not repeated."""
        target = TARGET + "?sleep_ms=10000"
        task = asyncio.create_task(self.post(target=target, node=self.owner))
        await wait_until(lambda: self.upstream.key_runs)
        task.cancel()
        await wait_until(lambda: self.owner.gate.released)
        response = await self.post(target=target)
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs(a=1)


class QueueTests(IdempotentTestCase):
    """Requests with idempotency keys that wait for a slot."""

    gate = ClosedGate

    async def test_request_cancelled_in_the_queue_frees_its_key(self):
        """The repeat that waited for it runs instead."""
        gate = self.owner.gate
        first = asyncio.create_task(self.post(node=self.owner))
        await wait_until(lambda: gate.waiting)
        second = asyncio.create_task(self.post())
        metrics = self.owner.metrics
        await wait_until(lambda: metrics.read_count("idempotency", "join"))
        first.cancel()
        await wait_until(lambda: gate.left)
        gate.opened.set()
        response = await second
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertNotIn(b"papayatack-replayed", response)
        self.assert_runs(a=1)

    async def test_shard_lost_and_won_again_stops_a_queued_run(self):
        """A run that was decided in an earlier tenure is not sent to the upstream."""
        gate = self.owner.gate
        task = asyncio.create_task(self.post())
        await wait_until(lambda: gate.waiting)
        self.set_tenure(2)
        gate.opened.set()
        response = await task
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs()


class LossTests(IdempotentTestCase):
    """Owners that took over a shard from a previous owner."""

    async def test_new_key_needs_the_token_after_a_loss(self):
        """Without a token a key is unknown; with the token of the refusal it runs."""
        self.set_tenure(2)
        refused = await self.post()
        self.assertIn(b"HTTP/1.1 409", refused)
        self.assertIn(b"papayatack-outcome: unknown", refused)
        response = await self.post(more=self.build_token_header(refused))
        self.assertIn(b"HTTP/1.1 200", response)
        repeat = await self.post(more=self.build_token_header(refused))
        self.assertIn(b"papayatack-replayed: true", repeat)
        self.assert_runs(a=1)

    async def test_token_from_before_a_second_loss_is_rejected(self):
        """A repeat with a token of an earlier tenure does not run."""
        self.set_tenure(2)
        refused = await self.post()
        self.set_tenure(3)
        response = await self.post(key="b", more=self.build_token_header(refused))
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assertNotEqual(read_token(response), read_token(refused))
        self.assert_runs()

    async def test_token_of_another_shard_is_rejected(self):
        """A token of another shard does not allow a run."""
        self.set_tenure(3)
        token = read_token(await self.post())
        foreign = f"{'0' * 16}-{token.rpartition('-')[2]}"
        more = (f"Papayatack-Key-Token: {foreign}",)
        response = await self.post(more=more)
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs()

    async def test_new_key_runs_after_the_window(self):
        """New keys run once the idempotency window since the takeover has passed."""
        now = asyncio.get_running_loop().time()
        self.set_tenure(2, since_s=now - 600.1)
        self.assertIn(b"HTTP/1.1 200", await self.post())
        self.assert_runs(a=1)

    async def test_outcomes_of_this_node_survive_a_loss(self):
        """A key that ran on this node before the loss gets its stored response."""
        await self.post()
        self.set_tenure(2)
        self.assertIn(b"papayatack-replayed: true", await self.post())
        self.assert_runs(a=1)

    async def test_token_does_not_reach_the_upstream(self):
        """The owner removes the header before it forwards the request."""
        seen = []
        work = self.upstream._work  # noqa: SLF001

        async def record(request, query):
            seen.extend(name for name, _ in request.headers)
            return await work(request, query)

        self.upstream._work = record  # noqa: SLF001
        await self.post(more=("Papayatack-Key-Token: 1",))
        self.assertIn(b"idempotency-key", seen)
        self.assertNotIn(b"papayatack-key-token", seen)


class HotKeyTests(IdempotentTestCase):
    """Hot keys that are split into their own shard and merged again."""

    async def split(self, **changes):
        """Split the key into its own shard during the parent's current tenure."""
        ownership = self.owner.ownership
        parent = ownership.tenure
        self.set_tenure(
            **{"number": 10, "shard": HOT_SHARD, "parent_number": parent.number}
            | changes
        )
        ownership.related_tenure = parent
        self.serve_shard(HOT_SHARD)
        await self.owner.grant_shard(HOT_SHARD)

    def serve_shard(self, shard):
        """Route the key to another shard of the same owner."""
        for node in (self.owner, self.entry):
            route = node.ownership.route
            node.ownership.route = dataclasses.replace(route, shard=shard)

    def merge_key(self, parent):
        """Merge the key into its parent shard."""
        ownership = self.owner.ownership
        ownership.related_tenure = ownership.tenure
        ownership.tenure = parent
        self.serve_shard(SHARD)

    async def test_outcomes_survive_split_and_merge(self):
        """Repeats are replayed and new keys run, before and after split and merge."""
        parent = self.owner.ownership.tenure
        await self.post(key="a")
        await self.split()
        self.assertIn(b"papayatack-replayed", await self.post(key="a"))
        await self.post(key="b")
        self.merge_key(parent)
        for key in ("a", "b"):
            self.assertIn(b"papayatack-replayed", await self.post(key=key))
        await self.post(key="c")
        self.assert_runs(a=1, b=1, c=1)

    async def test_loss_of_the_parent_applies_to_the_split_shard(self):
        """After a takeover of the parent, a hot key needs the hot shard's token."""
        self.set_tenure(2)
        old = await self.post()
        await self.split()
        response = await self.post(more=self.build_token_header(old))
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs()
        response = await self.post(more=self.build_token_header(response))
        self.assertIn(b"HTTP/1.1 200", response)
        self.assert_runs(a=1)

    async def test_shard_without_known_parent_counts_as_lost(self):
        """A hot key that was not split from this node's parent shard is unknown."""
        await self.post(key="a")
        await self.split(parent_number=None)
        response = await self.post(key="b")
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assert_runs(a=1)

    async def test_key_merged_from_another_node_is_unknown(self):
        """The refusal has no token, since the parent did not own the key."""
        parent = self.owner.ownership.tenure
        self.set_tenure(5, shard=HOT_SHARD)
        self.merge_key(parent)
        response = await self.post()
        self.assertIn(b"papayatack-error: idempotency-unknown", response)
        self.assertNotIn(b"papayatack-key-token", response)
        self.assert_runs()
