"""Processor time and memory of callers' connections, without sockets.

Requests are given to the protocol of a connection, one at a time or several sent ahead,
and a handler answers at once; what is measured is parsing, the task of each request and
the writing of its response.

    python -m bench.callers --requests=20000 --rounds=5 --ahead=1
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from typing import Any

import uvloop
from absl import app, flags

from papayatack.network.bodies import BytesBody
from papayatack.network.caller_connection import CallerConnection
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Request, Response
from papayatack.observability.metrics import Metrics

__all__ = ["main"]

REQUEST = (
    b"GET /hiring/v/k1 HTTP/1.1\r\nHost: bench\r\nX-Partner: caribe\r\n"
    b"X-Request-Id: 0123456789abcdef\r\n\r\n"
)
BODY = b"x" * 200
HEADERS = ((b"content-length", b"200"), (b"content-type", b"text/plain"))
CONNECTIONS = 2_000
US_PER_S = 1_000_000

FLAGS = flags.FLAGS


class _Transport:
    """Counts the responses that are written."""

    def __init__(self) -> None:
        self.responses = 0
        self.wanted = 0
        self.done: asyncio.Future[None] | None = None

    def write(self, data: bytes) -> None:
        """Count responses; wake the bench after the last."""
        self.responses += data.count(b"HTTP/1.1 200")
        if self.done is not None and self.responses >= self.wanted:
            self.done.set_result(None)
            self.done = None

    def get_extra_info(self, name: str) -> None:
        """There is no socket."""

    def set_write_buffer_limits(self, *, high: int) -> None:
        """Nothing is buffered."""

    def get_write_buffer_size(self) -> int:
        """Nothing is buffered."""
        return 0

    def is_closing(self) -> bool:
        """It stays open."""
        return False

    def pause_reading(self) -> None:
        """Nothing is read."""

    def resume_reading(self) -> None:
        """Nothing is read."""


async def _handle(request: Request) -> Response:
    return Response(status=200, headers=HEADERS, body=BytesBody(data=BODY))


def _build_server() -> CallerServer:
    return CallerServer(host="", port=0, handler=_handle, metrics=Metrics())


def _connect(server: CallerServer) -> tuple[CallerConnection, _Transport]:
    connection = CallerConnection(owner=server)
    transport = _Transport()
    connection.connection_made(transport)
    return connection, transport


async def _measure_time(requests: int, ahead: int) -> float:
    """Return microseconds of processor time for one request."""
    connection, transport = _connect(_build_server())
    loop = asyncio.get_running_loop()
    data = REQUEST * ahead
    started_s = time.process_time()
    for _ in range(requests // ahead):
        transport.wanted = transport.responses + ahead
        transport.done = loop.create_future()
        connection.data_received(data)
        await transport.done
    return (time.process_time() - started_s) / requests * US_PER_S


async def _measure_memory() -> float:
    """Return the bytes of one connection that has served a request and is idle."""
    server = _build_server()
    server.limits = _raise_connections(server)
    kept: list[Any] = []
    for part in (10, CONNECTIONS):
        tracemalloc.start()
        for _ in range(part):
            connection, transport = _connect(server)
            transport.wanted = 1
            transport.done = asyncio.get_running_loop().create_future()
            done = transport.done
            connection.data_received(REQUEST)
            await done
            kept.append((connection, transport))
        await asyncio.sleep(0)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return size / CONNECTIONS


def _raise_connections(server: CallerServer) -> Any:
    return type(server.limits)(connections=2 * CONNECTIONS)


def main(_: list[str]) -> None:
    """Measure and print one line."""
    uvloop.install()
    samples = [
        asyncio.run(_measure_time(FLAGS.requests, FLAGS.ahead))
        for _ in range(FLAGS.rounds)
    ]
    memory_bytes = asyncio.run(_measure_memory())
    print(
        f"{FLAGS.ahead} ahead: {min(samples):.1f} us least,"
        f" {statistics.median(samples):.1f} us median a request;"
        f" {memory_bytes:.0f} bytes a connection at rest"
    )


if __name__ == "__main__":
    flags.DEFINE_integer("requests", 20_000, "Requests in a round.")
    flags.DEFINE_integer("rounds", 5, "Rounds.")
    flags.DEFINE_integer("ahead", 1, "Requests that are sent together.")
    app.run(main)
