"""One request of a caller and its response."""

import asyncio
from collections.abc import Callable

import h11

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.bodies import BodyQueue
from papayatack.network.exchanges import Request, Response, find_header

__all__ = ["CallerExchange", "check_body_headers"]

SAFE_METHODS = (b"GET", b"HEAD")


class CallerExchange:
    """A request, or bytes that are none, and what is written in response.

    Attributes:
        parser: Parses the request and formats the response.
        request: The request; ``None`` for bytes that are not valid HTTP.
        body: Its body; ``None`` without a request.
        arrived_s: When the bytes that complete its head arrived.
        refusal: Why the request can't be handled, whatever its handler would say.
        response: The response, once the handler has returned it.
        written_bytes: Bytes of the response that were given to the transport.
        head_only: Whether the response has no body, as the method is ``HEAD``.
        task: Handles the request and writes the response; ``None`` while it waits.
        is_ahead: Whether it was started before all earlier ones were answered, and
            some of them still are not.
    """

    __slots__ = (
        "_runs_beside",
        "_turn",
        "arrived_s",
        "body",
        "head_only",
        "is_ahead",
        "parser",
        "refusal",
        "request",
        "response",
        "task",
        "written_bytes",
    )

    def __init__(
        self,
        *,
        parser: h11.Connection,
        arrived_s: float,
        request: Request | None = None,
        body: BodyQueue | None = None,
        refusal: Refusal | None = None,
    ) -> None:
        self.parser = parser
        self.arrived_s = arrived_s
        self.request = request
        self.body = body
        self.refusal = refusal
        self.response: Response | None = None
        self.written_bytes = 0
        self.head_only = request is not None and request.method == b"HEAD"
        self.task: asyncio.Task[None] | None = None
        self.is_ahead = False
        self._turn: asyncio.Future[None] | None = None
        self._runs_beside: bool | None = None

    @property
    def request_id(self) -> str:
        """Id of the request; empty until its handler has set it."""
        return self.request.request_id if self.request is not None else ""

    @property
    def turn(self) -> asyncio.Future[None]:
        """Done once all earlier responses have been written."""
        if self._turn is None:
            self._turn = asyncio.get_running_loop().create_future()
        return self._turn

    def give_turn(self) -> None:
        """Let the response be written."""
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    def runs_beside(self, is_repeatable: Callable[[Request], bool]) -> bool:
        """Return whether it may run beside other requests of the connection."""
        if self._runs_beside is None:
            request = self.request
            is_safe = request is not None and self._is_safe
            self._runs_beside = is_safe and is_repeatable(request)
        return self._runs_beside

    @property
    def _is_safe(self) -> bool:
        """Whether it only reads, has no body and leaves the protocol as it is."""
        request = self.request
        if request is None or request.method not in SAFE_METHODS:
            return False
        if self.parser.they_are_waiting_for_100_continue:
            return False
        for name, value in request.headers:
            if name in (b"transfer-encoding", b"upgrade"):
                return False
            if name == b"content-length" and int(value):
                return False
        return True


def check_body_headers(request: Request, max_body_bytes: int) -> Refusal | None:
    """Return the refusal of a request whose body headers are not acceptable."""
    length = find_header(request.headers, b"content-length")
    if length is None:
        return None
    if find_header(request.headers, b"transfer-encoding") is not None:
        return Refusal(
            kind=ErrorKind.MALFORMED_REQUEST,
            detail="the request has both Content-Length and Transfer-Encoding",
        )
    if int(length) > max_body_bytes:
        return Refusal(
            kind=ErrorKind.BODY_TOO_LARGE,
            detail="the request body exceeds the size limit",
        )
    return None
