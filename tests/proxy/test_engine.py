"""Tests of papayatack.proxy.engine on loopback."""

import asyncio
import dataclasses
import gc
import re
from unittest import mock

from returns.pipeline import is_successful
from returns.result import Failure

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.shutdown import plan_shutdown
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Response
from papayatack.network.limits import PeerLimits
from tests.proxy.fakes import build_peer_request, build_request, fetch, wait_until
from tests.proxy.two_nodes import TwoNodesTestCase

KEPT_REQUESTS = 100
WORK_MS = 300
LONG_MS = 2_000
"""Work that lasts longer than a node may be unresponsive without being detected."""


class EngineTestCase(TwoNodesTestCase):
    """Two nodes; the second owns the shard."""

    async def request(self, node, method="GET", target="/hiring/v/k1", **kwargs):
        """Send one request and return the raw response."""
        data = build_request(method, target, **kwargs)
        return await fetch(node.callers.port, data)


class ServingTests(EngineTestCase):
    """Requests that are served."""

    async def test_owner_answers_through_its_upstream(self):
        """A local request gets a complete response with the outcome ``answered``."""
        response = await self.request(self.owner)
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertIn(b"papayatack-outcome: answered", response)
        self.assertTrue(response.endswith(b"xx"))
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_other_node_forwards_to_the_owner(self):
        """A node that does not own the key sends the request to the owner."""
        response = await self.request(self.entry, "POST", body=b"abc")
        self.assertIn(b"papayatack-outcome: answered", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])
        self.assertEqual(self.owner.ownership.finished, 1)
        self.assertEqual(self.owner.gate.released, 1)

    async def test_refusal_of_the_upstream_reports_no_service_time(self):
        """A request that did not run reports no service time."""
        self.upstream.behaviour.shed = True
        self.assertIn(b"papayatack-outcome: not-run", await self.request(self.owner))
        self.assertEqual(set(self.owner.ownership.service_times_s), {None})

    async def test_large_bodies_pass_whole_both_ways(self):
        """Bodies larger than all buffers arrive in full length."""
        target = "/hiring/v/k1?bytes=1000000"
        for node in (self.owner, self.entry):
            for suffix in ("", "&chunked=1"):
                with self.subTest(node=node.name, suffix=suffix):
                    response = await self.request(
                        node, "POST", target + suffix, body=b"y" * 700_000
                    )
                    self.assertGreaterEqual(response.count(b"x"), 1_000_000)

    async def test_callers_cannot_set_the_routers_own_fields(self):
        """A caller's token and shard never reach the upstream."""
        headers = ("Papayatack-Token: 99", "Papayatack-Shard: other")
        response = await self.request(self.owner, headers=headers)
        self.assertIn(b"HTTP/1.1 200", response)


class MemoryTests(EngineTestCase):
    """What requests leave behind."""

    async def test_requests_leave_no_garbage_to_the_collector(self):
        """Cycles of references would stay until its next full run."""
        await self.request_often()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        await self.request_often()
        self.assertLess(gc.collect(), KEPT_REQUESTS)

    async def request_often(self):
        """Send requests on one connection, through both nodes."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.entry.callers.port
        )
        for _ in range(KEPT_REQUESTS):
            writer.write(b"GET /hiring/v/k1 HTTP/1.1\r\nHost: test\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            size = re.search(rb"content-length: (\d+)", head.lower())[1]
            await reader.readexactly(int(size))
        writer.close()
        await writer.wait_closed()


class KeylessTests(EngineTestCase):
    """Services without keys."""

    async def test_any_node_of_the_service_answers(self):
        """The request goes to a node of the service, without shard or token."""
        self.entry.ownership.nodes = (self.owner.build_route(local=False),)
        response = await self.request(self.entry, target="/records/doc")
        self.assertIn(b"papayatack-outcome: answered", response)
        self.assertEqual(self.owner.ownership.authorized, 0)

    async def test_request_is_retried_at_another_node(self):
        """A request that did not run is retried at a different node."""
        gone = dataclasses.replace(
            self.owner.build_route(local=False),
            incarnation="127.0.0.1:1#gone",
            address="127.0.0.1:1",
        )
        self.entry.ownership.nodes = (gone, self.owner.build_route(local=False))
        for _ in range(6):
            response = await self.request(self.entry, "POST", "/records/doc")
            self.assertIn(b"papayatack-outcome: answered", response)
        self.assertEqual(set(self.upstream.runs.values()), {1})

    async def test_service_without_nodes_is_refused(self):
        """The error is ``no-owner``."""
        headers = ("Papayatack-Deadline-Ms: 50",)
        response = await self.request(self.entry, target="/records/x", headers=headers)
        self.assertIn(b"papayatack-error: no-owner", response)


class UpstreamFailureTests(EngineTestCase):
    """Server errors of the upstream."""

    def set_first_statuses(self, *statuses):
        """Make the first responses of the upstream have these statuses."""
        responses = [
            Response(status=status, body=BytesBody(data=b"failed"))
            for status in statuses
        ]
        real = self.upstream._build_answer

        def build(query):
            return responses.pop(0) if responses else real(query)

        patched = mock.patch.object(self.upstream, "_build_answer", build)
        patched.start()
        self.addCleanup(patched.stop)

    async def test_repeatable_request_is_run_again(self):
        """The caller gets the response of the second run."""
        self.set_first_statuses(500)
        response = await self.request(self.entry)
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertEqual(list(self.upstream.runs.values()), [2])

    async def test_server_error_is_returned_if_no_run_succeeds(self):
        """The caller gets the upstream's own response, not one of the router."""
        self.set_first_statuses(503, 500, 500, 500, 500)
        response = await self.request(self.entry)
        self.assertIn(b"failed", response)
        self.assertIn(b"papayatack-outcome: answered", response)

    async def test_unrepeatable_request_is_run_once(self):
        """A server error does not lead to a retry."""
        self.set_first_statuses(500)
        response = await self.request(self.entry, "POST", body=b"a")
        self.assertIn(b"HTTP/1.1 500", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_failure_is_logged_with_the_grant_under_which_it_ran(self):
        """The log line has the grant also if the request is not retried."""
        self.set_first_statuses(500)
        with self.assertLogs("papayatack.proxy.run_logs", "WARNING") as logs:
            await self.request(self.entry, "POST", body=b"a")
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "UPSTREAM_ERRED")
        self.assertEqual((record.status, record.obstacle), (500, ""))
        self.assertEqual(record.token, 1)
        self.assertGreater(record.lease_left_ms, record.ran_ms)

    async def test_run_whose_caller_has_left_is_logged(self):
        """The log line has the reason ``caller-left``."""
        target = "/hiring/v/k1?sleep_ms=5000"
        request_task = asyncio.ensure_future(
            self.request(self.owner, "POST", target, body=b"a")
        )
        await wait_until(lambda: self.upstream.runs)
        with self.assertLogs("papayatack.proxy.run_logs", "WARNING") as logs:
            request_task.cancel()
            await wait_until(lambda: logs.records)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "RUN_CUT")
        self.assertEqual(record.reason, "caller-left")

    async def test_response_cut_on_its_way_is_logged_by_both_nodes(self):
        """Request id, reason, source and the bytes that were out say who cut it."""
        self.upstream.behaviour.cut_after_bytes = 300_000
        with self.assertLogs("papayatack", "WARNING") as logs:
            await self.request(self.entry, target="/hiring/v/k1?bytes=1000000")
        (request_id,) = self.upstream.runs
        found = {
            record.getMessage(): record
            for record in logs.records
            if getattr(record, "request", "") == request_id
        }
        run, answer = found["RUN_CUT"], found["ANSWER_CUT"]
        self.assertEqual(run.reason, "response-truncated")
        self.assertIn(run.read_bytes, range(1, 300_001))
        self.assertEqual(answer.reason, "response-truncated")
        self.assertEqual(answer.source, self.owner.address)
        self.assertTrue(answer.begun)
        self.assertGreater(answer.sent_bytes, 0)

    async def test_unknown_token_is_granted_again(self):
        """An upstream without its grants gets them again before the next renewal."""
        await self.owner.grant(token=2)
        await self.request(self.owner, "POST", body=b"a")
        self.assertGreaterEqual(self.owner.ownership.renewed, 1)


class UnresponsiveOwnerTests(EngineTestCase):
    """An owner that stops reading while its upstream processes a request."""

    async def asyncSetUp(self):
        """Reduce the time after which a node counts as unresponsive or lost."""
        await super().asyncSetUp()
        self.entry.network.limits = PeerLimits(
            probe_after_s=0.01, unresponsive_after_s=0.02
        )

    async def request_until_unresponsive(self, method, **kwargs):
        """Return the response to a request whose owner becomes unresponsive."""
        target = f"/hiring/v/k1?sleep_ms={LONG_MS}"
        request_task = asyncio.ensure_future(
            self.request(self.entry, method, target, **kwargs)
        )
        await wait_until(lambda: self.upstream.runs)
        for link in self.owner.network.links:
            link._transport.pause_reading()
        return await request_task

    async def test_unrepeatable_request_gets_the_response_of_its_run(self):
        """The request runs once."""
        response = await self.request_until_unresponsive("POST", body=b"a")
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_first_response_is_used_during_a_second_attempt(self):
        """The first run continues concurrently, and its response is used."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response = await self.request_until_unresponsive("GET")
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertLess(loop.time() - started_s, 1.5 * LONG_MS / 1000)
        self.assertEqual(list(self.upstream.runs.values()), [2])

    async def test_response_of_the_run_is_used_if_the_second_attempt_is_refused(self):
        """A refusal of the second attempt does not cancel the first run."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL)
        request_task = asyncio.ensure_future(self.request_until_unresponsive("GET"))
        await wait_until(lambda: self.upstream.runs)
        refuse = mock.AsyncMock(return_value=Failure(refusal))
        with mock.patch.object(self.owner.gate, "acquire", refuse):
            response = await request_task
        refuse.assert_awaited()
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_caller_that_leaves_ends_both_attempts(self):
        """The unresponsive node cancels its attempt once it reads again."""
        request_task = asyncio.ensure_future(self.request_until_unresponsive("GET"))
        await wait_until(lambda: list(self.upstream.runs.values()) == [2])
        request_task.cancel()
        for link in self.owner.network.links:
            link._transport.resume_reading()
        loop = asyncio.get_running_loop()
        disconnected_s = loop.time()
        await wait_until(lambda: self.owner.gate.released == 2)
        self.assertLess(loop.time() - disconnected_s, 0.5)

    async def test_run_that_outlasts_the_deadline_ends_with_it(self):
        """The caller gets ``upstream-timeout``, not an error about the node."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL)
        deadline = ("papayatack-deadline-ms: 1700",)
        request_task = asyncio.ensure_future(
            self.request_until_unresponsive("GET", headers=deadline)
        )
        await wait_until(lambda: self.upstream.runs)
        refuse = mock.AsyncMock(return_value=Failure(refusal))
        with mock.patch.object(self.owner.gate, "acquire", refuse):
            response = await request_task
        self.assertIn(b"HTTP/1.1 504", response)
        self.assertIn(b"papayatack-error: upstream-timeout", response)


class LateResponseFailureTests(EngineTestCase):
    """A first attempt at an unresponsive node, and a second that may have run."""

    async def test_late_refusal_does_not_hide_an_attempt_that_may_have_run(self):
        """The first node did not run the request; the second may have run it."""
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
            response = await self.request(self.entry, "GET")
        self.assertEqual(results, [])
        self.assertIn(b"papayatack-outcome: unknown", response)


class RefusalTests(EngineTestCase):
    """Requests that are refused."""

    async def test_stale_token_is_not_run(self):
        """An upstream that has a higher token refuses and does not run the request."""
        await self.owner.grant(token=2)
        response = await self.request(self.entry, "POST", body=b"a")
        self.assertIn(b"papayatack-error: grant-refused", response)
        self.assertIn(b"papayatack-outcome: not-run", response)
        self.assertEqual(self.upstream.runs, {})

    async def test_refusal_of_the_gate_is_passed_on(self):
        """A full queue leads to ``queue-full`` with a ``retry-after`` time."""
        self.owner.gate.refusal = Refusal(kind=ErrorKind.QUEUE_FULL, retry_after_s=2.5)
        response = await self.request(self.entry)
        self.assertIn(b"papayatack-error: queue-full", response)
        self.assertIn(b"retry-after: 3", response)

    async def test_key_that_may_not_be_served_takes_no_slot(self):
        """Repeated requests for such a key must not take slots from other requests."""
        self.owner.ownership.obstacle = Refusal(kind=ErrorKind.LEASE_EXPIRED)
        response = await self.request(self.owner, "POST", body=b"a")
        self.assertIn(b"papayatack-error: lease-expired", response)
        self.assertEqual(self.owner.gate.acquired, 0)

    async def test_lease_lost_while_waiting_forwards_nothing(self):
        """The request is authorized after the wait, immediately before forwarding."""
        self.owner.ownership.refusal = Refusal(kind=ErrorKind.LEASE_EXPIRED)
        response = await self.request(self.owner, "POST", body=b"a")
        self.assertIn(b"papayatack-error: lease-expired", response)
        self.assertEqual(self.upstream.runs, {})
        self.assertEqual(self.owner.gate.acquired, self.owner.gate.released)

    async def test_truncated_response_of_unrepeatable_request_is_unknown_and_run_once(
        self,
    ):
        """After a truncated response the request is not retried."""
        self.upstream.behaviour.cut_after_bytes = 10
        response = await self.request(
            self.entry, "POST", "/hiring/v/k1?bytes=100", body=b"a"
        )
        self.assertIn(b"papayatack-outcome: unknown", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_truncated_long_response_never_looks_complete(self):
        """A truncated long response ends without its last chunk."""
        self.upstream.behaviour.cut_after_bytes = 300_000
        for suffix in ("", "&chunked=1"):
            response = await self.request(
                self.entry, "GET", "/hiring/v/k1?bytes=900000" + suffix
            )
            self.assertNotIn(b"\r\n0\r\n\r\n", response)
            self.assertLess(response.count(b"x"), 900_000)

    async def test_frozen_upstream_gives_unknown_at_the_deadline(self):
        """A request that was sent but got no response in time is unknown."""
        self.upstream.behaviour.frozen = True
        self.upstream._thawed.clear()
        response = await self.request(
            self.entry, "POST", body=b"a", headers=("Papayatack-Deadline-Ms: 100",)
        )
        self.assertIn(b"papayatack-outcome: unknown", response)
        self.assertIn(b"papayatack-error: upstream-timeout", response)

    async def test_unreachable_peer_is_not_run(self):
        """A request that could not be sent to the owner is reported as not run."""
        await self.owner.stop()
        response = await self.request(self.entry, "POST", body=b"a")
        self.assertIn(b"papayatack-error: peer-unreachable", response)
        self.assertIn(b"papayatack-outcome: not-run", response)

    async def test_unknown_attempt_is_never_followed_by_not_run(self):
        """Once an attempt may have run, a later refusal does not change the outcome."""
        self.upstream.behaviour.cut_after_bytes = 1
        real_acquire = self.owner.gate.acquire

        async def refuse_second(admission_request):
            if self.owner.gate.acquired:
                self.owner.gate.refusal = Refusal(kind=ErrorKind.QUEUE_FULL)
            return await real_acquire(admission_request)

        self.owner.gate.acquire = refuse_second
        response = await self.request(self.entry, "GET")
        self.assertIn(b"papayatack-outcome: unknown", response)


class ShutdownTests(EngineTestCase):
    """Requests that arrive while the node is being stopped."""

    async def asyncSetUp(self):
        """Measure a request that takes longer than the drain period."""
        await super().asyncSetUp()
        self.target = f"/hiring/v/k1?sleep_ms={WORK_MS}"
        await self.request(self.owner, target=self.target)

    def begin_shutdown(self, *, notice_s, drain_s):
        """Begin the shutdown of the node with the upstream."""
        now = asyncio.get_running_loop().time()
        plan = plan_shutdown(now, notice_s=notice_s, drain_s=drain_s)
        self.owner.engine.begin_shutdown(plan)

    async def serve_peer(self):
        """Return the result of a request without a key that a node forwarded."""
        target = self.target.replace("hiring", "records").encode()
        peer_request = build_peer_request(target=target)
        peer_request.request.headers = ((b"host", b"test"),)
        return await self.owner.engine.serve_peer(peer_request)

    async def test_request_that_cannot_end_in_time_is_not_run(self):
        """It is refused at once, though requests are still accepted."""
        self.begin_shutdown(notice_s=WORK_MS / 2000, drain_s=WORK_MS / 2000)
        response = await self.request(self.owner, target=self.target)
        self.assertIn(b"HTTP/1.1 503", response)
        self.assertIn(b"papayatack-error: node-draining", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_request_that_can_end_in_time_is_run(self):
        """It is served as ever, though most of the grace period has passed."""
        self.begin_shutdown(notice_s=WORK_MS / 2000, drain_s=2 * WORK_MS / 1000)
        response = await self.request(self.owner, target=self.target)
        self.assertIn(b"papayatack-outcome: answered", response)

    async def test_forwarded_request_that_cannot_end_in_time_is_not_run(self):
        """The node that forwarded it is told at once, and may try elsewhere."""
        self.assertTrue(is_successful(await self.serve_peer()))
        runs = dict(self.upstream.runs)
        self.begin_shutdown(notice_s=WORK_MS / 2000, drain_s=WORK_MS / 2000)
        result = await self.serve_peer()
        self.assertIs(result.failure().kind, ErrorKind.NODE_DRAINING)
        self.assertEqual(self.upstream.runs, runs)

    async def test_request_with_a_slow_body_is_not_run_late(self):
        """It is refused if its body is not complete when requests are last sent."""
        self.begin_shutdown(notice_s=0.1, drain_s=0.2)
        data = build_request("POST", self.target, body=b"abc")[:-1]
        response = await fetch(self.owner.callers.port, data)
        self.assertIn(b"HTTP/1.1 503", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_request_without_its_whole_body_is_not_run(self):
        """The clock may still be short of the limit when the time is over."""
        now = asyncio.get_running_loop().time()
        plan = plan_shutdown(now, notice_s=0.5, drain_s=1.0)
        self.entry.engine.begin_shutdown(plan)
        data = build_request("POST", self.target, body=b"abc")[:-1]
        with mock.patch.object(self.entry.engine, "_now", return_value=now):
            response = await fetch(self.entry.callers.port, data)
        self.assertIn(b"HTTP/1.1 503", response)
        self.assertEqual(list(self.upstream.runs.values()), [1])

    async def test_request_whose_body_comes_in_parts_is_served(self):
        """Its body is read whole before it is sent."""
        self.begin_shutdown(notice_s=1.0, drain_s=2.0)
        data = build_request("POST", "/hiring/v/k1", body=b"abc")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.owner.callers.port
        )
        writer.write(data[:-1])
        await asyncio.sleep(0.1)
        self.assertEqual(list(self.upstream.runs.values()), [1])
        writer.write(data[-1:])
        async with asyncio.timeout(10):
            self.assertIn(b"papayatack-outcome: answered", await reader.read(-1))
        writer.close()


class CancellationTests(EngineTestCase):
    """Callers that disconnect."""

    async def test_disconnect_cancels_the_request(self):
        """The request is cancelled at the upstream, also through another node."""
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
