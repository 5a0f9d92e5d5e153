"""Tests of papayatack.proxy.idempotent on loopback."""

import asyncio
import dataclasses
import unittest

from returns.result import Success

from papayatack.core.idempotency import Tenure
from standins.upstream import UpstreamStandin
from tests.proxy.fakes import (
    HOT_SHARD,
    SHARD,
    FakePermit,
    Node,
    build_request,
    fetch,
    wait_until,
)

TARGET = "/hiring/v/k1"


def read_token(answer):
    """Return the token that an answer tells."""
    _, _, rest = answer.partition(b"papayatack-key-token: ")
    return rest.partition(b"\r\n")[0].decode()


class HeldGate:
    """Admits nothing before it is opened."""

    def __init__(self):
        self.opened = asyncio.Event()
        self.waiting = 0
        self.left = 0
        self.released = 0
        self.errors = []

    async def acquire(self, ticket):
        """Wait until the gate is open."""
        self.waiting += 1
        try:
            await self.opened.wait()
        except asyncio.CancelledError:
            self.left += 1
            raise
        finally:
            self.waiting -= 1
        return Success(FakePermit(self))


class KeyedTestCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes; the second owns the shard, for the first time."""

    gate = None

    async def asyncSetUp(self):
        """Start an upstream and two nodes."""
        self.upstream = UpstreamStandin()
        await self.upstream.start()
        owner = Node(name="owner")
        if self.gate is not None:
            owner.gate = self.gate()
        self.owner = await owner.start(self.upstream.port)
        self.entry = await Node(name="entry").start()
        self.owner.ownership.route = self.owner.build_route(local=True)
        self.entry.ownership.route = self.owner.build_route(local=False)
        await self.owner.grant()

    async def asyncTearDown(self):
        """Stop all."""
        await self.entry.stop()
        await self.owner.stop()
        await self.upstream.stop(timeout_s=0)

    async def post(self, *, key="a", body=b"x", target=TARGET, node=None, more=()):
        """Return the raw answer of one keyed order."""
        headers = (f"Idempotency-Key: {key}", *more)
        data = build_request("POST", target, body=body, headers=headers)
        return await fetch((node or self.entry).callers.port, data)

    def state(self, answer):
        """Return the header with which a caller states an answer's token."""
        return (f"Papayatack-Key-Token: {read_token(answer)}",)

    def move(self, number, **changes):
        """Give the owner another tenure, after another node may have owned it."""
        now = asyncio.get_running_loop().time()
        self.owner.ownership.tenure = Tenure(
            **{"shard": SHARD, "number": number, "token": number, "since_s": now}
            | changes
        )

    def assert_runs(self, **runs):
        """Check how often each key ran."""
        self.assertEqual(self.upstream.key_runs, runs)


class RepeatTests(KeyedTestCase):
    """Repeats at one owner."""

    async def test_repeat_gets_the_kept_answer(self):
        """A repeat is answered as the first was, and marked; it does not run."""
        first = await self.post()
        self.assertNotIn(b"papayatack-replayed", first)
        for node in (self.owner, self.entry):
            answer = await self.post(node=node)
            self.assertIn(b"HTTP/1.1 200", answer)
            self.assertIn(b"papayatack-outcome: answered", answer)
            self.assertIn(b"papayatack-replayed: true", answer)
            self.assertTrue(answer.endswith(b"xx"))
        self.assert_runs(a=1)
        self.assertEqual(self.owner.metrics.read_count("idempotency", "replay"), 2)

    async def test_concurrent_repeats_run_once(self):
        """Repeats of a running request wait for it and get its answer."""
        target = TARGET + "?sleep_ms=50"
        answers = await asyncio.gather(*(self.post(target=target) for _ in range(8)))
        self.assertTrue(all(b"HTTP/1.1 200" in answer for answer in answers))
        replayed = sum(b"papayatack-replayed" in answer for answer in answers)
        self.assertEqual(replayed, 7)
        self.assert_runs(a=1)

    async def test_key_of_another_request_is_a_mismatch(self):
        """The same key with another body or target is refused and not run."""
        await self.post()
        for changed in ({"body": b"y"}, {"target": TARGET + "?bytes=3"}):
            answer = await self.post(**changed)
            self.assertIn(b"papayatack-error: idempotency-mismatch", answer)
            self.assertIn(b"papayatack-outcome: not-run", answer)
        self.assert_runs(a=1)

    async def test_partners_do_not_meet_in_one_key(self):
        """Two partners may use the same key."""
        await self.post()
        answer = await self.post(more=("X-Partner: caribe",))
        self.assertNotIn(b"papayatack-replayed", answer)
        self.assert_runs(a=2)

    async def test_unknown_end_is_not_run_again(self):
        """After a run whose answer was cut, a repeat is told unknown."""
        self.upstream.behaviour.cut_after_bytes = 0
        first = await self.post()
        self.assertIn(b"papayatack-outcome: unknown", first)
        self.upstream.behaviour.cut_after_bytes = None
        answer = await self.post()
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs(a=1)

    async def test_request_that_was_not_run_frees_its_key(self):
        """After a refusal of the upstream, a repeat is run."""
        self.upstream.behaviour.shed = True
        self.assertIn(b"papayatack-outcome: not-run", await self.post())
        self.upstream.behaviour.shed = False
        self.assertIn(b"HTTP/1.1 200", await self.post())
        self.assert_runs(a=1)

    async def test_long_answer_is_not_kept(self):
        """A repeat of a request with a long answer is told unknown."""
        target = TARGET + "?bytes=200000"
        self.assertIn(b"HTTP/1.1 200", await self.post(target=target))
        answer = await self.post(target=target)
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs(a=1)

    async def test_large_body_is_refused(self):
        """A body that cannot be compared is refused before it runs."""
        answer = await self.post(body=b"x" * (128 * 1024 + 1))
        self.assertIn(b"papayatack-error: body-too-large", answer)
        self.assertIn(b"HTTP/1.1 200", await self.post(body=b"x" * 128 * 1024))
        self.assert_runs(a=1)

    async def test_caller_that_leaves_a_run_leaves_it_unknown(self):
        """A run that is cancelled after it was sent is not run again."""
        target = TARGET + "?sleep_ms=10000"
        task = asyncio.create_task(self.post(target=target, node=self.owner))
        await wait_until(lambda: self.upstream.key_runs)
        task.cancel()
        await wait_until(lambda: self.owner.gate.released)
        answer = await self.post(target=target)
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs(a=1)


class QueueTests(KeyedTestCase):
    """Requests that wait for a slot."""

    gate = HeldGate

    async def test_request_given_up_in_the_queue_frees_its_key(self):
        """The repeat that had joined it is run instead."""
        gate = self.owner.gate
        first = asyncio.create_task(self.post(node=self.owner))
        await wait_until(lambda: gate.waiting)
        second = asyncio.create_task(self.post())
        metrics = self.owner.metrics
        await wait_until(lambda: metrics.read_count("idempotency", "join"))
        first.cancel()
        await wait_until(lambda: gate.left)
        gate.opened.set()
        answer = await second
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertNotIn(b"papayatack-replayed", answer)
        self.assert_runs(a=1)

    async def test_shard_lost_and_won_again_stops_a_queued_run(self):
        """A run that was decided in an earlier tenure is not sent."""
        gate = self.owner.gate
        task = asyncio.create_task(self.post())
        await wait_until(lambda: gate.waiting)
        self.move(2)
        gate.opened.set()
        answer = await task
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs()


class LossTests(KeyedTestCase):
    """Owners that took the shard over."""

    async def test_new_key_needs_the_token_after_a_loss(self):
        """Without a token a key is unknown; with the one that was told it runs."""
        self.move(2)
        refused = await self.post()
        self.assertIn(b"HTTP/1.1 409", refused)
        self.assertIn(b"papayatack-outcome: unknown", refused)
        answer = await self.post(more=self.state(refused))
        self.assertIn(b"HTTP/1.1 200", answer)
        repeat = await self.post(more=self.state(refused))
        self.assertIn(b"papayatack-replayed: true", repeat)
        self.assert_runs(a=1)

    async def test_token_of_before_a_second_loss_is_void(self):
        """A repeat that states the old token is not run by the next owner."""
        self.move(2)
        refused = await self.post()
        self.move(3)
        answer = await self.post(key="b", more=self.state(refused))
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assertNotEqual(read_token(answer), read_token(refused))
        self.assert_runs()

    async def test_token_of_another_shard_is_void(self):
        """Tokens of two shards are not compared."""
        self.move(3)
        own = read_token(await self.post())
        foreign = f"{'0' * 16}-{own.rpartition('-')[2]}"
        more = (f"Papayatack-Key-Token: {foreign}",)
        answer = await self.post(more=more)
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs()

    async def test_window_ends(self):
        """Once the window since the takeover has passed, new keys run."""
        now = asyncio.get_running_loop().time()
        self.move(2, since_s=now - 600.1)
        self.assertIn(b"HTTP/1.1 200", await self.post())
        self.assert_runs(a=1)

    async def test_own_runs_are_remembered_over_a_loss(self):
        """A key that ran here before the shard was lost is answered again."""
        await self.post()
        self.move(2)
        self.assertIn(b"papayatack-replayed: true", await self.post())
        self.assert_runs(a=1)

    async def test_token_does_not_reach_the_upstream(self):
        """The field ends at the owner."""
        seen = []
        work = self.upstream._work  # noqa: SLF001

        async def record(request, query):
            seen.extend(name for name, _ in request.headers)
            return await work(request, query)

        self.upstream._work = record  # noqa: SLF001
        await self.post(more=("Papayatack-Key-Token: 1",))
        self.assertIn(b"idempotency-key", seen)
        self.assertNotIn(b"papayatack-key-token", seen)


class HotKeyTests(KeyedTestCase):
    """Keys that get a shard of their own, and return."""

    async def split(self, **changes):
        """Split the key out, from the present tenure of the parent."""
        ownership = self.owner.ownership
        parent = ownership.tenure
        self.move(
            **{"number": 10, "shard": HOT_SHARD, "parent_number": parent.number}
            | changes
        )
        ownership.earlier = parent
        self.serve_shard(HOT_SHARD)
        await self.owner.grant_shard(HOT_SHARD)

    def serve_shard(self, shard):
        """Route the key to another shard of the same owner."""
        for node in (self.owner, self.entry):
            route = node.ownership.route
            node.ownership.route = dataclasses.replace(route, shard=shard)

    def return_key(self, parent):
        """Return the key to its parent."""
        ownership = self.owner.ownership
        ownership.earlier = ownership.tenure
        ownership.tenure = parent
        self.serve_shard(SHARD)

    async def test_key_finds_its_records_after_split_and_return(self):
        """Repeats are replayed, and new keys run, on both sides of each change."""
        parent = self.owner.ownership.tenure
        await self.post(key="a")
        await self.split()
        self.assertIn(b"papayatack-replayed", await self.post(key="a"))
        await self.post(key="b")
        self.return_key(parent)
        for key in ("a", "b"):
            self.assertIn(b"papayatack-replayed", await self.post(key=key))
        await self.post(key="c")
        self.assert_runs(a=1, b=1, c=1)

    async def test_split_shard_shares_its_parents_loss(self):
        """A hot key of a parent that was taken over needs the hot shard's token."""
        self.move(2)
        old = await self.post()
        await self.split()
        answer = await self.post(more=self.state(old))
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs()
        answer = await self.post(more=self.state(answer))
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assert_runs(a=1)

    async def test_shard_of_unknown_origin_counts_as_lost(self):
        """A hot key that did not come from this node's parent is unknown."""
        await self.post(key="a")
        await self.split(parent_number=None)
        answer = await self.post(key="b")
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assert_runs(a=1)

    async def test_key_returned_from_elsewhere_is_unknown(self):
        """The parent's token does not help, for the key was not its own."""
        parent = self.owner.ownership.tenure
        self.move(5, shard=HOT_SHARD)
        self.return_key(parent)
        answer = await self.post()
        self.assertIn(b"papayatack-error: idempotency-unknown", answer)
        self.assertNotIn(b"papayatack-key-token", answer)
        self.assert_runs()
