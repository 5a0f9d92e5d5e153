"""TCP relay on loopback that holds bytes back for a while."""

import asyncio

__all__ = ["SlowRelay"]

RECENT_S = 0.05
"""Time after a delivery for which its delay counts as that of what is processed."""


class _Side(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, relay, *, is_client):
        self.relay = relay
        self.is_client = is_client
        self.other = None
        self.transport = None
        self.due_s = 0.0
        self.pending = []

    def connection_made(self, transport):
        self.transport = transport
        self.relay.sides.add(self)
        for data in self.pending:
            transport.write(data)

    def data_received(self, data):
        self._call_later(self.other.write, data)

    def connection_lost(self, exc):
        self.relay.sides.discard(self)
        self._call_later(self.other.close)

    def _call_later(self, function, *args):
        """Act on the other side after the delay, in order."""
        loop = asyncio.get_running_loop()
        delay_s = self.relay.delay_s if self.is_client else 0.0
        self.due_s = max(self.due_s, loop.time() + delay_s)
        delay_s = self.due_s - loop.time()
        loop.call_at(self.due_s, self._act, delay_s, function, *args)

    def _act(self, delay_s, function, *args):
        if self.is_client:
            self.relay.note_delivery(delay_s)
        function(*args)

    def write(self, data):
        if self.transport is None:
            self.pending.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def close(self):
        if self.transport is not None:
            self.transport.close()


class SlowRelay:
    """Relays all bytes, those towards the server ``delay_s`` late.

    What a client sent before it ended arrives all the same.

    Attributes:
        delay_s: Time for which bytes are held back.
        port: Port on which it listens.
    """

    def __init__(self):
        self.target_port = 0
        self.delay_s = 0.0
        self.sides = set()
        self._delivered = []
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for side in list(self.sides):
            side.transport.abort()

    def note_delivery(self, delay_s):
        """Record that bytes were delivered after a delay."""
        now = asyncio.get_running_loop().time()
        self._delivered = [
            (time_s, known_s)
            for time_s, known_s in self._delivered
            if now - time_s < RECENT_S
        ]
        self._delivered.append((now, delay_s))

    def find_delay_s(self):
        """Return the longest delay of what was delivered just now."""
        now = asyncio.get_running_loop().time()
        return max(
            (known_s for time_s, known_s in self._delivered if now - time_s < RECENT_S),
            default=0.0,
        )

    def _accept(self):
        client = _Side(self, is_client=True)
        server = _Side(self, is_client=False)
        client.other, server.other = server, client
        task = asyncio.get_running_loop().create_task(self._connect(client, server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client

    async def _connect(self, client, server):
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: server, "127.0.0.1", self.target_port
            )
        except OSError:
            client.transport.abort()
