"""Accepts connections, several in each turn of the event loop.

The event loop itself may accept one connection in a turn. A busy node takes long turns,
so that connections would wait for seconds, and be dropped once the kernel's queue is
full.
"""

import asyncio
import logging
import socket
from collections.abc import Callable

from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["Listener"]

LOGGER = logging.getLogger(__name__)

QUEUED_CONNECTIONS = 1024
"""Number of connections that the kernel keeps until they are accepted."""

ACCEPTED_PER_TURN = 64
"""Maximum number of connections accepted in one turn of the event loop."""

PAUSE_S = 0.1
"""Time for which nothing is accepted after the process has run out of descriptors."""


class Listener:
    """A listening socket.

    Args:
        host: Address to listen on.
        port: Port to listen on, 0 for any.
        build_protocol: Returns the protocol of a new connection.
        metrics: Counts ``accepts`` by outcome.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        build_protocol: Callable[[], asyncio.Protocol],
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._port = port
        self._build_protocol = build_protocol
        self._metrics = metrics
        self._socket: socket.socket | None = None
        self._resuming: asyncio.TimerHandle | None = None
        self._opening: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port on which connections are accepted."""
        return self._port

    @property
    def is_accepting(self) -> bool:
        """Whether new connections are accepted."""
        return self._socket is not None and self._resuming is None

    def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The address cannot be used.
        """
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        self._socket = socket.create_server(
            (self._host, self._port), family=family, backlog=QUEUED_CONNECTIONS
        )
        self._socket.setblocking(False)
        self._port = self._socket.getsockname()[1]
        self._watch()

    def close(self) -> None:
        """Stop listening; connections that were accepted stay open."""
        if self._socket is None:
            return
        if self._resuming is not None:
            self._resuming.cancel()
            self._resuming = None
        else:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def _watch(self) -> None:
        self._resuming = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._accept_waiting)

    def _accept_waiting(self) -> None:
        """Accept the connections that wait, up to a number."""
        for _ in range(ACCEPTED_PER_TURN):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except (ConnectionError, InterruptedError):
                self._metrics.count("accepts", "ended-before")
                continue
            except OSError as error:
                self._pause(error)
                return
            self._open(connection)
        self._metrics.count("accepts", "more-waiting")

    def _open(self, connection: socket.socket) -> None:
        """Serve a connection that was accepted."""
        self._metrics.count("accepts", "accepted")
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.ensure_future(self._serve(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._build_protocol, connection)
        except OSError:
            self._metrics.count("accepts", "not-opened")
            connection.close()

    def _pause(self, error: OSError) -> None:
        """Accept nothing for a while: there is no descriptor, or no memory."""
        self._metrics.count("accepts", "paused")
        log_event(
            LOGGER,
            Event.ACCEPT_PAUSED,
            level=logging.WARNING,
            port=self._port,
            detail=str(error),
        )
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        self._resuming = loop.call_later(PAUSE_S, self._watch)
