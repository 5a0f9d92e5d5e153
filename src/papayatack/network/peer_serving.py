"""Requests that other nodes send to this one."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns.pipeline import is_successful
from returns.result import Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId
from papayatack.core.inventory import RequestClass
from papayatack.network.bodies import IncompleteBodyError
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.network.limits import PeerLimits
from papayatack.network.request_heads import decode_request_head
from papayatack.network.start_limiter import StartLimiter
from papayatack.network.streams import US_PER_S, PeerStream, encode_headers
from papayatack.network.told_loads import LoadExchange
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.wire.errors import WireError
from papayatack.wire.schema import schema

__all__ = ["PeerServing", "RequestHandler", "ServingOwner"]

_logger = logging.getLogger(__name__)

_REQUEST_CLASS_VALUES = frozenset(item.value for item in RequestClass)

RequestHandler = Callable[[PeerRequest], Awaitable[Result[Response, Refusal]]]


class ServingOwner(Protocol):
    """Interface of the network whose requests are served."""

    incarnation: IncarnationId
    limits: PeerLimits
    metrics: Metrics
    loads: LoadExchange
    on_request: RequestHandler


class PeerServing:
    """Has requests of peers handled, each in a task of its own.

    Attributes:
        tasks: Tasks of the requests in flight.
    """

    def __init__(self, *, owner: ServingOwner) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self._owner = owner
        self._starts = StartLimiter()

    def start(self, stream: PeerStream, head: Any) -> None:
        """Start a task that serves a request."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        stream.deadline_s = now + (head.deadline_us or 0) / US_PER_S
        task = loop.create_task(self._serve(stream, head, now))
        stream.task = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_done(self, until_s: float) -> None:
        """Wait until all requests have been served, at most until a time."""
        loop = asyncio.get_running_loop()
        while self.tasks and (left_s := until_s - loop.time()) > 0:
            timeout_s = left_s if math.isfinite(left_s) else None
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def _serve(self, stream: PeerStream, head: Any, received_s: float) -> None:
        loop = asyncio.get_running_loop()
        await self._starts.wait()
        try:
            await self._handle(stream, head, loop.time() - received_s)
        except Exception as error:  # an error in one request must not close the link
            log_event(
                _logger, Event.REQUEST_FAILED, level=logging.ERROR, error=repr(error)
            )
            stream.send_failure(Refusal(kind=ErrorKind.INTERNAL))
        stream.finish()

    async def _handle(self, stream: PeerStream, head: Any, waited_s: float) -> None:
        refusal = self._check_head(head)
        if refusal is not None:
            self._owner.metrics.count("peer_requests_refused", refusal.kind.value)
            stream.send_failure(refusal)
            return
        stream.read_load = self._owner.loads.encode
        peer_request = decode_request_head(stream.inbound, head)
        peer_request.delay_s = stream.delay_s
        peer_request.subtract_time(waited_s)
        result = await self._owner.on_request(peer_request)
        if is_successful(result):
            await self._send_response(stream, result.unwrap())
        else:
            stream.send_failure(result.failure())

    def _check_head(self, head: Any) -> Refusal | None:
        if head.recipient and head.recipient != self._owner.incarnation:
            return Refusal(
                kind=ErrorKind.NOT_OWNER, detail="addressed to another incarnation"
            )
        if len(self.tasks) > self._owner.limits.streams:
            return Refusal(
                kind=ErrorKind.QUEUE_FULL, detail="too many requests in flight"
            )
        if head.request_class not in _REQUEST_CLASS_VALUES:
            return Refusal(
                kind=ErrorKind.MALFORMED_REQUEST, detail="unknown request class"
            )
        return None

    async def _send_response(self, stream: PeerStream, response: Response) -> None:
        head = schema.ResponseHead(
            status=response.status,
            reason=response.reason,
            headers=encode_headers(response.headers),
            load=self._owner.loads.encode(),
        )
        frame = schema.Frame(stream=stream.stream_id, response=head)
        try:
            await stream.send(frame, response.body)
        except IncompleteBodyError as error:
            stream.send_failure(Refusal(kind=error.kind, detail=error.detail))
        except WireError as error:
            stream.send_failure(
                Refusal(kind=ErrorKind.RESPONSE_TRUNCATED, detail=str(error))
            )
        finally:
            response.body.close()
