"""Responses of unresponsive peers that may still arrive during a retry."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result

from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.network.exchanges import Response
from papayatack.network.streams import PeerStream
from papayatack.proxy.buffering import buffer_response

__all__ = ["LateResponses"]

_ResponseResult = Result[Response, Refusal]
_SUPERSEDED = Refusal(
    kind=ErrorKind.CALLER_LEFT, detail="the request ended before this attempt"
)


class LateResponses:
    """The attempts of one request whose peers have become unresponsive.

    These attempts are not cancelled: a further attempt runs concurrently, and the first
    response is used.

    Attributes:
        added_count: Number of attempts that were added.
    """

    def __init__(self) -> None:
        self._streams: list[PeerStream] = []
        self.added_count = 0
        self._failure: _ResponseResult | None = None

    def add(self, stream: PeerStream) -> None:
        """Add an attempt whose response may still arrive, unless it was added before.

        A peer may become unresponsive more than once before it responds.
        """
        if stream in self._streams:
            return
        self._streams.append(stream)
        self.added_count += 1

    @property
    def pending(self) -> bool:
        """Whether a response may still arrive."""
        return bool(self._streams)

    async def race(
        self, attempt: Coroutine[Any, Any, _ResponseResult]
    ) -> _ResponseResult:
        """Return the result of a further attempt, or an earlier late response."""
        task = asyncio.ensure_future(attempt)
        try:
            while not task.done():
                response = await self._take_response()
                if response is not None:
                    return response
                await self._wait_any(task)
            return task.result()
        finally:
            task.cancel()

    async def wait(self) -> _ResponseResult | None:
        """Return the first late response, or the failure if no attempt succeeds.

        Returns:
            Of several failures, one after which the request may have run, if there is
            one; ``None`` if no attempt was added.
        """
        while self._streams:
            await self._wait_any()
            response = await self._take_response()
            if response is not None:
                return response
        return self._failure

    def close(self) -> None:
        """Cancel the attempts that are still pending."""
        for stream in self._streams:
            stream.cancel(_SUPERSEDED.detail)
            stream.fail(_SUPERSEDED)
        self._streams.clear()

    async def _take_response(self) -> _ResponseResult | None:
        """Return a complete response that has arrived, and remove failed attempts."""
        for stream in [item for item in self._streams if item.response.done()]:
            self._streams.remove(stream)
            result = stream.response.result()
            if is_successful(result):
                result = await buffer_response(result.unwrap())
            if is_successful(result):
                return result
            if self._failure is None or _may_have_run(result):
                self._failure = result
        return None

    async def _wait_any(self, *others: "asyncio.Future[_ResponseResult]") -> None:
        futures = (*(stream.response for stream in self._streams), *others)
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)


def _may_have_run(result: _ResponseResult) -> bool:
    """Return whether a failed attempt may have run."""
    return get_error_response(result.failure().kind).outcome is Outcome.UNKNOWN
