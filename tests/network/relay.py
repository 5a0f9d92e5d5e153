"""TCP relay on loopback that breaks a connection after a number of bytes."""

import asyncio
import enum
import socket
import struct

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction in which bytes are counted."""

    UP = "towards the server"
    DOWN = "towards the client"


class CutMode(enum.Enum):
    """How a relayed connection fails."""

    RESET = "both connections are reset"
    CLOSE = "both connections are closed in order"
    STALL = "nothing more passes"


class _Side(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, relay, direction):
        self.relay = relay
        self.direction = direction
        self.other = None
        self.transport = None
        self.pending = []

    def connection_made(self, transport):
        self.transport = transport
        self.relay.sides.add(self)

    def data_received(self, data):
        self.relay.pass_on(self, data)

    def connection_lost(self, exc):
        self.relay.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    def write(self, data):
        if self.transport is None:
            self.pending.append(data)
        else:
            self.transport.write(data)


class CuttingRelay:
    """Relays all bytes, and fails once after :meth:`arm`; later connections work."""

    def __init__(self, *, target_port):
        self.target_port = target_port
        self.sides = set()
        self.passed = {Direction.UP: 0, Direction.DOWN: 0}
        self.cut = False
        self._armed = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self.port = 0
        await self._listen()
        return self

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def refuse(self):
        """Reset all connections and refuse new ones until :meth:`accept`."""
        self._server.close()
        self._drop(CutMode.RESET)
        await asyncio.sleep(0)

    async def accept(self):
        """Accept connections again."""
        await self._listen()

    def arm(self, direction, after_bytes, mode):
        """Fail once ``after_bytes`` more have passed in a direction."""
        self.cut = False
        self.passed = {Direction.UP: 0, Direction.DOWN: 0}
        self._armed = (direction, after_bytes, mode)

    def disarm(self):
        """Relay all bytes again, over new connections if one was stalled."""
        self._armed = None
        if self.cut:
            self._drop(CutMode.RESET)
            self.cut = False
        self.passed = {Direction.UP: 0, Direction.DOWN: 0}

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self._drop(CutMode.RESET)

    def _accept(self):
        client_side = _Side(self, Direction.UP)
        task = asyncio.get_running_loop().create_task(self._connect(client_side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client_side

    async def _connect(self, client_side):
        server_side = _Side(self, Direction.DOWN)
        server_side.other, client_side.other = client_side, server_side
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: server_side, "127.0.0.1", self.target_port
            )
        except OSError:
            client_side.transport.abort()
            return
        for data in server_side.pending:
            server_side.write(data)

    def pass_on(self, side, data):
        """Relay bytes, up to the point of failure."""
        if self.cut:
            return
        if self._armed is not None and self._armed[0] is side.direction:
            data = data[: self._armed[1] - self.passed[side.direction]]
        self.passed[side.direction] += len(data)
        if data:
            side.other.write(data)
        if self._armed is not None and self._armed[0] is side.direction:
            self._cut_if_due(side.direction)

    def _cut_if_due(self, direction):
        if self.passed[direction] >= self._armed[1]:
            mode = self._armed[2]
            self._armed = None
            self.cut = mode is CutMode.STALL
            self._drop(mode)

    def _drop(self, mode):
        if mode is CutMode.STALL:
            return
        for side in list(self.sides):
            if mode is CutMode.RESET:
                sock = side.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                side.transport.abort()
            else:
                side.transport.close()
