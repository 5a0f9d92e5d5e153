"""Tests of papayatack.network.hangups on loopback."""

import asyncio
import socket
import unittest

from papayatack.network.hangups import HangupWatch
from tests.proxy.fakes import wait_until

PEERS = 100
SETTLE_S = 0.3


class HangupWatchTests(unittest.IsolatedAsyncioTestCase):
    """Pairs of connected sockets, of which nothing is read."""

    def setUp(self):
        self.left = []

    def connect(self, watch, name):
        """Watch one end of a connection; return both ends."""
        own, peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        self.addCleanup(own.close)
        self.addCleanup(peer.close)
        peer.sendall(b"unread")
        watch.add(own.fileno(), lambda: self.left.append(name))
        return own, peer

    async def test_each_peer_that_hangs_up_is_reported_once(self):
        """Peers that stay are not, however many leave at once."""
        watch = HangupWatch()
        pairs = [self.connect(watch, number) for number in range(PEERS)]
        for _, peer in pairs[1:]:
            peer.close()
        await wait_until(lambda: len(self.left) == PEERS - 1)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(sorted(self.left), list(range(1, PEERS)))

    async def test_removed_socket_is_not_reported(self):
        """Its peer hangs up after it was removed."""
        watch = HangupWatch()
        own, peer = self.connect(watch, "removed")
        watch.remove(own.fileno())
        watch.remove(own.fileno())
        peer.close()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.left, [])

    async def test_handler_may_remove_other_sockets(self):
        """Two peers leave at once; the first handler removes the second socket."""
        watch = HangupWatch()
        ends = []

        def handle_hangup():
            self.left.append("one of them")
            for own, _ in ends:
                watch.remove(own.fileno())

        for _ in range(2):
            own, peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
            self.addCleanup(own.close)
            watch.add(own.fileno(), handle_hangup)
            ends.append((own, peer))
        for _, peer in ends:
            peer.close()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.left, ["one of them"])
