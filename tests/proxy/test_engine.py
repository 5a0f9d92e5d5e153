"""Tests of papayatack.proxy.engine on loopback."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from returns.result import Failure

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Response
from papayatack.network.limits import PeerLimits
from standins.upstream import UpstreamStandin
from tests.proxy.fakes import Node, build_request, fetch, wait_until

LONG_MS = 2_000
"""Work that lasts longer than the node's silence goes unnoticed."""


class EngineTestCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes; the second owns the shard."""

    async def asyncSetUp(self):
        """Start an upstream and two nodes."""
        self.upstream = UpstreamStandin()
        await self.upstream.start()
        self.owner = await Node(name="owner").start(self.upstream.port)
        self.entry = await Node(name="entry").start()
        self.owner.ownership.route = self.owner.build_route(local=True)
        self.entry.ownership.route = self.owner.build_route(local=False)
        await self.owner.grant()

    async def asyncTearDown(self):
        """Stop all."""
        await self.entry.stop()
        await self.owner.stop()
        await self.upstream.stop(timeout_s=0)

    async def request(self, node, method="GET", target="/hiring/v/k1", **kwargs):
        """Return the raw answer of one request."""
        data = build_request(method, target, **kwargs)
        return await fetch(node.callers.port, data)


class ServingTests(EngineTestCase):
    """Requests that are answered."""

    async def test_owner_answers_through_its_upstream(self):
        """A local request is answered whole and marked as answered."""
        answer = await self.request(self.owner)
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertIn(b"papayatack-outcome: answered", answer)
        self.assertTrue(answer.endswith(b"xx"))
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_other_node_forwards_to_the_owner(self):
        """A node that does not own the key sends the request to the owner."""
        answer = await self.request(self.entry, "POST", body=b"abc")
        self.assertIn(b"papayatack-outcome: answered", answer)
        self.assertEqual(list(self.upstream.runs.values()), [1])
        self.assertEqual(self.owner.ownership.finished, 1)
        self.assertEqual(self.owner.gate.released, 1)

    async def test_refusal_of_the_upstream_counts_as_a_short_service_time(self):
        """What was not run tells nothing of how long the upstream takes."""
        self.upstream.behaviour.shed = True
        self.assertIn(b"papayatack-outcome: not-run", await self.request(self.owner))
        self.assertEqual(set(self.owner.ownership.service_times_s), {None})

    async def test_large_bodies_pass_whole_both_ways(self):
        """Bodies larger than all buffers arrive with their full length."""
        target = "/hiring/v/k1?bytes=1000000"
        for node in (self.owner, self.entry):
            for suffix in ("", "&chunked=1"):
                with self.subTest(node=node.name, suffix=suffix):
                    answer = await self.request(
                        node, "POST", target + suffix, body=b"y" * 700_000
                    )
                    self.assertGreaterEqual(answer.count(b"x"), 1_000_000)

    async def test_callers_cannot_set_the_routers_own_fields(self):
        """A caller's token and shard never reach the upstream."""
        headers = ("Papayatack-Token: 99", "Papayatack-Shard: other")
        answer = await self.request(self.owner, headers=headers)
        self.assertIn(b"HTTP/1.1 200", answer)


class KeylessTests(EngineTestCase):
    """Services without keys."""

    async def test_any_node_of_the_service_answers(self):
        """The request goes to a node of the list, without shard or token."""
        self.entry.ownership.nodes = (self.owner.build_route(local=False),)
        answer = await self.request(self.entry, target="/records/doc")
        self.assertIn(b"papayatack-outcome: answered", answer)
        self.assertEqual(self.owner.ownership.authorized, 0)

    async def test_failing_node_is_left_for_another(self):
        """A request that was not run is attempted at a different node."""
        gone = dataclasses.replace(
            self.owner.build_route(local=False),
            incarnation="127.0.0.1:1#gone",
            address="127.0.0.1:1",
        )
        self.entry.ownership.nodes = (gone, self.owner.build_route(local=False))
        for _ in range(6):
            answer = await self.request(self.entry, "POST", "/records/doc")
            self.assertIn(b"papayatack-outcome: answered", answer)
        self.assertEqual(set(self.upstream.runs.values()), {1})

    async def test_service_without_nodes_is_refused(self):
        """There is nobody to ask."""
        headers = ("Papayatack-Deadline-Ms: 50",)
        answer = await self.request(self.entry, target="/records/x", headers=headers)
        self.assertIn(b"papayatack-error: no-owner", answer)


class UpstreamFailureTests(EngineTestCase):
    """Answers of the upstream that say that it failed."""

    def answer_first(self, *statuses):
        """Let the first answers have these statuses."""
        answers = [
            Response(status=status, body=BytesBody(data=b"failed"))
            for status in statuses
        ]
        real = self.upstream._build_answer

        def build(query):
            return answers.pop(0) if answers else real(query)

        patched = mock.patch.object(self.upstream, "_build_answer", build)
        patched.start()
        self.addCleanup(patched.stop)

    async def test_repeatable_request_is_run_again(self):
        """The caller gets the answer of the further run."""
        self.answer_first(500)
        answer = await self.request(self.entry)
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertEqual(list(self.upstream.runs.values()), [2])

    async def test_failure_is_passed_on_if_no_run_does_better(self):
        """It is the upstream's own answer, not one of the router."""
        self.answer_first(503, 500, 500, 500, 500)
        answer = await self.request(self.entry)
        self.assertIn(b"failed", answer)
        self.assertIn(b"papayatack-outcome: answered", answer)

    async def test_unrepeatable_request_is_run_once(self):
        """Whatever the upstream answers."""
        self.answer_first(500)
        answer = await self.request(self.entry, "POST", body=b"a")
        self.assertIn(b"HTTP/1.1 500", answer)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_failure_is_logged_with_the_grant_under_which_it_ran(self):
        """Also that of a request that is not repeated."""
        self.answer_first(500)
        with self.assertLogs("papayatack.proxy.local", "WARNING") as logs:
            await self.request(self.entry, "POST", body=b"a")
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "UPSTREAM_ERRED")
        self.assertEqual((record.status, record.obstacle), (500, ""))
        self.assertEqual(record.token, 1)
        self.assertGreater(record.lease_left_ms, record.ran_ms)

    async def test_run_whose_caller_has_left_is_logged(self):
        """The line says how long it ran."""
        target = "/hiring/v/k1?sleep_ms=5000"
        asking = asyncio.ensure_future(
            self.request(self.owner, "POST", target, body=b"a")
        )
        await wait_until(lambda: self.upstream.runs)
        with self.assertLogs("papayatack.proxy.local", "WARNING") as logs:
            asking.cancel()
            await wait_until(lambda: logs.records)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "RUN_CUT")
        self.assertEqual(record.reason, "caller-left")

    async def test_unknown_token_is_granted_again(self):
        """An upstream that lost its grants gets them without waiting for a renewal."""
        await self.owner.grant(token=2)
        await self.request(self.owner, "POST", body=b"a")
        self.assertGreaterEqual(self.owner.ownership.renewed, 1)


class SilentOwnerTests(EngineTestCase):
    """An owner's node that reads nothing more while its upstream is at work."""

    async def asyncSetUp(self):
        """Let the owner fall silent once a run has begun."""
        await super().asyncSetUp()
        self.entry.network.limits = PeerLimits(
            probe_after_s=0.01, unresponsive_after_s=0.02
        )

    async def ask(self, method, **kwargs):
        """Return the answer of a request whose owner falls silent."""
        target = f"/hiring/v/k1?sleep_ms={LONG_MS}"
        asking = asyncio.ensure_future(
            self.request(self.entry, method, target, **kwargs)
        )
        await wait_until(lambda: self.upstream.runs)
        for link in self.owner.network._all_links:
            link._transport.pause_reading()
        return await asking

    async def test_unrepeatable_request_gets_the_answer_of_its_run(self):
        """It is run once."""
        answer = await self.ask("POST", body=b"a")
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_first_answer_counts_if_a_further_attempt_is_under_way(self):
        """The first run goes on beside it."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await self.ask("GET")
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertLess(loop.time() - started_s, 1.5 * LONG_MS / 1000)
        self.assertEqual(list(self.upstream.runs.values()), [2])

    async def test_answer_of_the_run_is_passed_on_if_no_further_attempt_is_served(self):
        """A refusal of the further attempt is no reason to cut the run."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL)
        asking = asyncio.ensure_future(self.ask("GET"))
        await wait_until(lambda: self.upstream.runs)
        refuse = mock.AsyncMock(return_value=Failure(refusal))
        with mock.patch.object(self.owner.gate, "acquire", refuse):
            answer = await asking
        refuse.assert_awaited()
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_caller_that_leaves_ends_both_attempts(self):
        """Also the one whose node was silent, once it reads again."""
        asking = asyncio.ensure_future(self.ask("GET"))
        await wait_until(lambda: list(self.upstream.runs.values()) == [2])
        asking.cancel()
        for link in self.owner.network._all_links:
            link._transport.resume_reading()
        loop = asyncio.get_running_loop()
        left_s = loop.time()
        await wait_until(lambda: self.owner.gate.released == 2)
        self.assertLess(loop.time() - left_s, 0.5)

    async def test_run_that_outlasts_the_deadline_ends_with_it(self):
        """The caller is told so, not that a node was silent."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL)
        deadline = ("papayatack-deadline-ms: 1700",)
        asking = asyncio.ensure_future(self.ask("GET", headers=deadline))
        await wait_until(lambda: self.upstream.runs)
        refuse = mock.AsyncMock(return_value=Failure(refusal))
        with mock.patch.object(self.owner.gate, "acquire", refuse):
            answer = await asking
        self.assertIn(b"HTTP/1.1 504", answer)
        self.assertIn(b"papayatack-error: upstream-timeout", answer)


class LateFailureTests(EngineTestCase):
    """A first attempt whose node fell silent, and a second that may have run."""

    async def test_late_refusal_does_not_claim_that_the_other_attempt_has_not_run(self):
        """The late node did not run it; of the other nobody knows."""
        loop = asyncio.get_running_loop()
        late = mock.Mock(response=loop.create_future())
        refused = Failure(Refusal(kind=ErrorKind.QUEUE_FULL))
        results = [ErrorKind.PEER_LOST, ErrorKind.UPSTREAM_TIMEOUT]

        async def exchange(*, on_unresponsive, **kwargs):
            kind = results.pop(0)
            if results:
                on_unresponsive(late)
                loop.call_later(0.3, late.response.set_result, refused)
            return Failure(Refusal(kind=kind))

        with mock.patch.object(self.entry.network, "exchange", exchange):
            answer = await self.request(self.entry, "GET")
        self.assertEqual(results, [])
        self.assertIn(b"papayatack-outcome: unknown", answer)


class RefusalTests(EngineTestCase):
    """Requests that are not answered by the upstream."""

    async def test_stale_token_is_not_run(self):
        """An upstream that knows a higher token refuses, and nothing runs."""
        await self.owner.grant(token=2)
        answer = await self.request(self.entry, "POST", body=b"a")
        self.assertIn(b"papayatack-error: grant-refused", answer)
        self.assertIn(b"papayatack-outcome: not-run", answer)
        self.assertEqual(self.upstream.runs, {})

    async def test_refusal_of_the_gate_is_passed_on(self):
        """A full queue is told to the caller with a time to come back."""
        self.owner.gate.refusal = Refusal(kind=ErrorKind.QUEUE_FULL, retry_after_s=2.5)
        answer = await self.request(self.entry)
        self.assertIn(b"papayatack-error: queue-full", answer)
        self.assertIn(b"retry-after: 3", answer)

    async def test_key_that_may_not_be_served_takes_no_slot(self):
        """Whoever asks again and again must not keep others from the slots."""
        self.owner.ownership.obstacle = Refusal(kind=ErrorKind.LEASE_EXPIRED)
        answer = await self.request(self.owner, "POST", body=b"a")
        self.assertIn(b"papayatack-error: lease-expired", answer)
        self.assertEqual(self.owner.gate.acquired, 0)

    async def test_lease_lost_while_waiting_forwards_nothing(self):
        """Authority is asked for after the wait, right before the forward."""
        self.owner.ownership.refusal = Refusal(kind=ErrorKind.LEASE_EXPIRED)
        answer = await self.request(self.owner, "POST", body=b"a")
        self.assertIn(b"papayatack-error: lease-expired", answer)
        self.assertEqual(self.upstream.runs, {})
        self.assertEqual(self.owner.gate.acquired, self.owner.gate.released)

    async def test_cut_answer_of_unrepeatable_request_is_unknown_and_run_once(self):
        """After a truncated answer the request is not attempted again."""
        self.upstream.behaviour.cut_after_bytes = 10
        answer = await self.request(
            self.entry, "POST", "/hiring/v/k1?bytes=100", body=b"a"
        )
        self.assertIn(b"papayatack-outcome: unknown", answer)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_cut_long_answer_never_looks_whole(self):
        """A long answer that is cut ends without its last chunk."""
        self.upstream.behaviour.cut_after_bytes = 300_000
        for suffix in ("", "&chunked=1"):
            answer = await self.request(
                self.entry, "GET", "/hiring/v/k1?bytes=900000" + suffix
            )
            self.assertNotIn(b"\r\n0\r\n\r\n", answer)
            self.assertLess(answer.count(b"x"), 900_000)

    async def test_frozen_upstream_gives_unknown_at_the_deadline(self):
        """A request that was written and not answered in time is unknown."""
        self.upstream.behaviour.frozen = True
        self.upstream._thawed.clear()
        answer = await self.request(
            self.entry, "POST", body=b"a", headers=("Papayatack-Deadline-Ms: 100",)
        )
        self.assertIn(b"papayatack-outcome: unknown", answer)
        self.assertIn(b"papayatack-error: upstream-timeout", answer)

    async def test_unreachable_peer_is_not_run(self):
        """A request that could not be sent to the owner was not run."""
        await self.owner.stop()
        answer = await self.request(self.entry, "POST", body=b"a")
        self.assertIn(b"papayatack-error: peer-unreachable", answer)
        self.assertIn(b"papayatack-outcome: not-run", answer)

    async def test_unknown_attempt_is_never_followed_by_not_run(self):
        """Once an attempt may have run, a later refusal does not hide it."""
        self.upstream.behaviour.cut_after_bytes = 1
        real_acquire = self.owner.gate.acquire

        async def refuse_second(ticket):
            if self.owner.gate.acquired:
                self.owner.gate.refusal = Refusal(kind=ErrorKind.QUEUE_FULL)
            return await real_acquire(ticket)

        self.owner.gate.acquire = refuse_second
        answer = await self.request(self.entry, "GET")
        self.assertIn(b"papayatack-outcome: unknown", answer)


class CancellationTests(EngineTestCase):
    """Callers that leave."""

    async def test_leaving_caller_cancels_the_work(self):
        """The upstream sees the cancellation through both hops."""
        for node in (self.owner, self.entry):
            before = self.upstream.cancelled
            data = build_request("GET", "/hiring/v/k1?sleep_ms=60000")
            _, writer = await asyncio.open_connection("127.0.0.1", node.callers.port)
            writer.write(data)
            await wait_until(lambda: self.upstream._busy)
            writer.close()
            await wait_until(
                lambda expected=before + 1: self.upstream.cancelled == expected
            )
        self.assertEqual(self.owner.gate.acquired, self.owner.gate.released)
