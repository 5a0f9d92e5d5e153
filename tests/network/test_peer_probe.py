"""Tests of papayatack.network.peer_probe on loopback."""

import asyncio
from unittest import mock

from returns.pipeline import is_successful

from papayatack.core.errors import ErrorKind
from papayatack.core.identity import PeerAddress
from papayatack.network.bodies import IncompleteBodyError
from papayatack.network.limits import PeerLimits
from papayatack.network.links import Link
from tests.network.two_networks import (
    DEADLINE_S,
    DEADLINE_TOLERANCE_S,
    TwoNetworksTestCase,
    build_peer_request,
)
from tests.proxy.fakes import wait_until

NOTICE_SLACK_S = 0.15
"""Three checks of the links; a silent peer is unresponsive after two."""


class PeerProbeTests(TwoNetworksTestCase):
    """A peer that does not answer, or takes long."""

    async def test_silent_peer_is_unresponsive_before_the_deadline(self):
        """A frozen process keeps its connection open but sends nothing."""
        frozen = await asyncio.start_server(lambda r, w: r.read(-1), "127.0.0.1", 0)
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        unresponsive = []
        result = await self.first.exchange(
            address=PeerAddress("{}:{}".format(*frozen.sockets[0].getsockname())),
            peer_request=build_peer_request(),
            deadline_s=asyncio.get_running_loop().time() + 30.0,
            on_unresponsive=unresponsive.append,
        )
        self.assertIs(result.failure().kind, ErrorKind.PEER_LOST)
        self.assertFalse(unresponsive[0].response.done())
        frozen.close()

    async def test_silent_connection_is_noticed_within_three_tenths_of_a_second(self):
        """Requests are not waited for until their deadlines, or for the next sweep."""
        self.first.limits = PeerLimits(probe_after_s=0.1, unresponsive_after_s=0.3)
        self.assertTrue(is_successful(await self.exchange()))
        resume = self.pause_reading(self.second)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        result = await self.first.exchange(
            address=PeerAddress(f"127.0.0.1:{self.second.port}"),
            peer_request=build_peer_request(),
            deadline_s=started_s + 30.0,
            on_unresponsive=lambda stream: None,
        )
        self.assertIs(result.failure().kind, ErrorKind.PEER_LOST)
        self.assertLess(loop.time() - started_s, 0.3 + NOTICE_SLACK_S)
        resume()

    async def test_peer_that_works_for_long_is_probed_ever_more_rarely(self):
        self.first.limits = PeerLimits(probe_after_s=0.1, unresponsive_after_s=0.3)
        self.assertTrue(is_successful(await self.exchange()))
        self.second.on_request = self.respond_late
        send_hello = Link._send_hello
        with mock.patch.object(
            Link, "_send_hello", autospec=True, side_effect=send_hello
        ) as send:
            self.assertTrue(is_successful(await self.exchange()))
        probes = [call for call in send.mock_calls if call.kwargs["reply_wanted"]]
        self.assertIn(len(probes), range(3, 7))

    async def test_request_to_a_peer_that_becomes_unresponsive_gets_its_response(self):
        """It may be running and must not be retried, so its response is awaited."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.second.on_request = self.respond_late
        sent = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second.serving.tasks)
        self.addCleanup(self.pause_reading(self.second))
        self.assertEqual((await sent).unwrap().status, 200)

    async def test_request_of_a_peer_that_becomes_unresponsive_is_not_cancelled(self):
        """The peer gets the response once it reads again."""
        self.second.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.second.on_request = self.respond_late
        sent = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second.serving.tasks)
        resume = self.pause_reading(self.first)
        await wait_until(lambda: not self.second.serving.tasks)
        resume()
        self.assertEqual((await sent).unwrap().status, 200)

    async def test_partial_response_of_an_unresponsive_peer_ends_by_the_deadline(self):
        """The head has arrived, but the rest of the body does not."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.body_size = 200_000
        response = (await self.exchange()).unwrap()
        self.pause_reading(self.second)
        with self.assertRaises(IncompleteBodyError):
            async with asyncio.timeout(DEADLINE_S + DEADLINE_TOLERANCE_S):
                while await response.body.read():
                    pass

    async def test_response_to_an_unresponsive_peer_ends_by_the_deadline(self):
        """A peer that is gone without closing its connection reads no more of it."""
        self.second.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.body_size = 200_000
        await self.exchange()
        self.pause_reading(self.first)
        async with asyncio.timeout(DEADLINE_S + DEADLINE_TOLERANCE_S):
            await wait_until(lambda: not self.second.serving.tasks)

    async def test_peer_is_not_unresponsive_because_its_link_was_idle(self):
        """A peer is unresponsive only if it does not answer a probe."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        (await self.exchange()).unwrap().body.close()
        await asyncio.sleep(0.1)

        async def respond_late(peer_request):
            await asyncio.sleep(0.7)
            return await self.respond(peer_request)

        self.second.on_request = respond_late
        result = await self.exchange()
        self.assertEqual(result.unwrap().status, 200)
