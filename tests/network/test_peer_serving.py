"""Tests of papayatack.network.peer_serving on loopback."""

import asyncio
import time

from returns.result import Failure

from papayatack.core.errors import ErrorKind, Refusal
from tests.network.two_networks import TwoNetworksTestCase

BURST = 150
WORK_S = 0.006
"""Processor time that each request of a burst takes."""
PATIENCE_S = 0.3
WITHDRAW_S = 0.3
"""Time of six turns in which as many requests are begun as a turn allows: a cancel is
written, read and handled in turns of their own."""


class PeerServingTests(TwoNetworksTestCase):
    """Requests that are begun, refused and withdrawn at the node that serves them."""

    async def test_delivery_delay_is_subtracted_from_the_remaining_time(self):
        """Time spent in the buffers of a paused process counts as used."""
        await self.exchange()
        left = []

        async def record(peer_request):
            left.append(peer_request.remaining_s)
            return await self.respond(peer_request)

        self.second.on_request = record
        for link in self.second.links:
            link._transport.pause_reading()
        sent = asyncio.ensure_future(self.exchange())
        await asyncio.sleep(0.3)
        for link in self.second.links:
            link._transport.resume_reading()
        await sent
        self.assertLessEqual(left[0], 5.0 - 0.28)

    async def test_request_for_another_incarnation_is_not_run(self):
        """A request is run only by the incarnation to which it is addressed."""
        result = await self.exchange(recipient="gone")
        self.assertIs(result.failure().kind, ErrorKind.NOT_OWNER)

    async def test_refusal_is_transmitted_with_its_retry_time(self):
        """Kind, detail and retry time arrive unchanged."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL, detail="full", retry_after_s=1.5)

        async def refuse(peer_request):
            return Failure(refusal)

        self.second.on_request = refuse
        result = await self.exchange()
        self.assertEqual(result.failure(), refusal)

    async def test_exception_in_a_handler_is_an_internal_error(self):
        """The request fails with an internal error, which is logged."""

        async def fail(peer_request):
            raise KeyError("fault")

        self.second.on_request = fail
        with self.assertLogs("papayatack.network.peer_serving", "ERROR"):
            result = await self.exchange()
        self.assertIs(result.failure().kind, ErrorKind.INTERNAL)

    async def test_time_until_a_request_begins_is_subtracted_from_what_it_has_left(
        self,
    ):
        """More come at once than begin in one turn."""
        loop = asyncio.get_running_loop()
        left = []

        async def work(peer_request):
            left.append((loop.time(), peer_request.remaining_s))
            time.sleep(WORK_S)  # noqa: ASYNC251
            return await self.respond(peer_request)

        await self.exchange()
        self.second.on_request = work
        sent = []

        async def send():
            sent.append(loop.time())
            await self.exchange()

        await asyncio.gather(*(send() for _ in range(BURST)))
        for sent_s, (begun_s, remaining_s) in zip(sent, left, strict=True):
            self.assertAlmostEqual(remaining_s, 5.0 - (begun_s - sent_s), delta=0.1)

    async def test_requests_withdrawn_while_others_are_begun_are_not_begun(self):
        """The node has less time than all of them take."""
        begun_s = []

        async def work(peer_request):
            begun_s.append(time.monotonic())
            time.sleep(WORK_S)  # noqa: ASYNC251
            return await self.respond(peer_request)

        await self.exchange()
        self.second.on_request = work
        sent = [asyncio.ensure_future(self.exchange()) for _ in range(BURST)]
        await asyncio.sleep(PATIENCE_S)
        left_s = time.monotonic()
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        await asyncio.sleep(BURST * WORK_S)
        late = [at_s for at_s in begun_s if at_s > left_s + WITHDRAW_S]
        self.assertEqual(late, [])
        self.assertLess(left_s, begun_s[0] + 2 * PATIENCE_S)
