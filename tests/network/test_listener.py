"""Tests of papayatack.network.listener, on the event loop of the platform's program."""

import asyncio
import errno
import random
import select
import socket
import time
import unittest
from unittest import mock

import uvloop

from papayatack.core.identity import IncarnationId
from papayatack.network.callers import CallerServer
from papayatack.network.listener import PAUSE_S
from papayatack.network.peers import PeerNetwork
from papayatack.observability.metrics import Metrics

WAITING = 90
MAX_TURNS = 20
QUEUED = 300
QUEUED_WITHIN_S = 0.9
"""Less than the second after which a first packet that was dropped is sent again."""

BUSY_TURN_S = 0.02


async def _handle(request):
    raise AssertionError("no request is sent")


def build_callers():
    """Return a server of callers and a function that counts its connections."""
    server = CallerServer(host="127.0.0.1", port=0, handler=_handle, metrics=Metrics())
    return server, lambda: len(server._connections)


def build_peers():
    """Return the connections to peers and a function that counts those accepted."""
    network = PeerNetwork(
        incarnation=IncarnationId("127.0.0.1:0#1"),
        host="127.0.0.1",
        port=0,
        metrics=Metrics(),
        rng=random.Random(1),
    )
    return network, lambda: len(list(network.links))


def run_on_uvloop(coroutine):
    """Run a coroutine on the event loop of the platform's program."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


def stand_still(duration_s):
    """Take the time of the event loop."""
    time.sleep(duration_s)


async def stop(server):
    """Stop a server of either kind."""
    if isinstance(server, CallerServer):
        await server.stop(timeout_s=0.0)
    else:
        await server.close(until_s=0.0)


class ListenerTests(unittest.TestCase):
    """Many connections that come at once to a busy node."""

    def connect(self, port, count):
        """Begin to open connections, without a turn of the event loop."""
        clients = []
        for _ in range(count):
            client = socket.socket()
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", port))
            clients.append(client)
        return clients

    def check_turns(self, build):
        """Check that all waiting connections are accepted in a few long turns."""

        async def run():
            server, count = build()
            await server.start()
            self.connect(server.port, WAITING)
            turns = 0
            while count() < WAITING and turns <= WAITING:
                stand_still(BUSY_TURN_S)
                turns += 1
                await asyncio.sleep(0)
            await stop(server)
            return turns

        self.assertLessEqual(run_on_uvloop(run()), MAX_TURNS)

    def check_queue(self, build):
        """Check that connections wait at a node that is busy for a while."""

        async def run():
            server, _ = build()
            await server.start()
            clients = self.connect(server.port, QUEUED)
            until_s = time.monotonic() + QUEUED_WITHIN_S
            opening = set(clients)
            while opening and time.monotonic() < until_s:
                _, opened, _ = select.select([], opening, [], 0.05)
                opening -= set(opened)
            await stop(server)
            return len(opening)

        self.assertEqual(run_on_uvloop(run()), 0)

    def test_callers_do_not_wait_a_turn_for_each_of_them(self):
        """A turn of a busy node takes long."""
        self.check_turns(build_callers)

    def test_peers_do_not_wait_a_turn_for_each_of_them(self):
        """All nodes come at once after a return."""
        self.check_turns(build_peers)

    def test_callers_are_not_dropped_while_a_node_is_busy(self):
        """More of them wait than the usual queue has room for."""
        self.check_queue(build_callers)

    def test_peers_are_not_dropped_while_a_node_is_busy(self):
        """A large fleet has more nodes than the usual queue has room for."""
        self.check_queue(build_peers)

    def test_listener_goes_on_once_there_are_descriptors_again(self):
        """Meanwhile it neither spins nor says that it accepts."""

        async def run():
            server, count = build_callers()
            await server.start()
            listening = server._listener._socket
            lacking = mock.Mock(wraps=listening)
            lacking.accept.side_effect = OSError(errno.EMFILE, "too many open files")
            server._listener._socket = lacking
            self.connect(server.port, 1)
            await asyncio.sleep(PAUSE_S / 2)
            self.assertFalse(server.is_accepting)
            await asyncio.sleep(PAUSE_S * 3)
            self.assertLessEqual(lacking.accept.call_count, 5)
            self.assertEqual(count(), 0)
            server._listener._socket = listening
            await asyncio.sleep(PAUSE_S * 2)
            self.assertEqual(count(), 1)
            self.assertTrue(server.is_accepting)
            await stop(server)
            self.assertFalse(server.is_accepting)

        run_on_uvloop(run())
