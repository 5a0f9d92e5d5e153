"""Tests of papayatack.proxy.late_responses."""

import asyncio
import unittest

from returns.result import Success

from papayatack.network.exchanges import Response
from papayatack.proxy.late_responses import LateResponses


class FakeStream:
    """A stream of a peer, whose response is still awaited."""

    def __init__(self):
        self.response = asyncio.get_running_loop().create_future()
        self.is_cancelled = False

    def cancel(self, detail):
        """Note that the attempt was cancelled."""
        self.is_cancelled = True

    def fail(self, refusal):
        """Note that the stream was ended."""
        self.is_cancelled = True


class LateResponsesTests(unittest.IsolatedAsyncioTestCase):
    """Attempts whose peers became unresponsive."""

    async def test_response_of_a_peer_that_was_silent_twice_is_not_cut(self):
        """The response is used, so that its stream must stay open."""
        late = LateResponses()
        stream = FakeStream()
        late.add(stream)
        late.add(stream)
        response = Success(Response(status=200))
        stream.response.set_result(response)
        self.assertEqual((await late.wait()).unwrap().status, 200)
        late.close()
        self.assertFalse(stream.is_cancelled)
        self.assertEqual(late.added_count, 1)
