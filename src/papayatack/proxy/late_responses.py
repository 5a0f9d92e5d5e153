"""Answers of peers that have fallen silent, for which their requests still wait."""

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

_Answer = Result[Response, Refusal]
_NOT_WANTED = Refusal(kind=ErrorKind.CALLER_LEFT, detail="answered elsewhere")


class LateResponses:
    """The attempts of one request whose peers have fallen silent.

    Their runs are not cut: a further attempt is made beside them, and the first answer
    counts.

    Attributes:
        added: Attempts that were waited for.
    """

    def __init__(self) -> None:
        self._streams: list[PeerStream] = []
        self.added_count = 0
        self._failure: _Answer | None = None

    def add(self, stream: PeerStream) -> None:
        """Keep an attempt whose answer may still come."""
        self._streams.append(stream)
        self.added_count += 1

    @property
    def pending(self) -> bool:
        """Whether an answer may still come."""
        return bool(self._streams)

    async def race(self, attempt: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Return the result of a further attempt, or a late answer if that is first."""
        task = asyncio.ensure_future(attempt)
        try:
            while not task.done():
                answer = await self._take()
                if answer is not None:
                    return answer
                await self._wait_any(task)
            return task.result()
        finally:
            task.cancel()

    async def wait(self) -> _Answer | None:
        """Return the first late answer, or how an attempt ended without one.

        Returns:
            One that may have run before others; ``None`` if none was under way.
        """
        while self._streams:
            await self._wait_any()
            answer = await self._take()
            if answer is not None:
                return answer
        return self._failure

    def close(self) -> None:
        """Tell the peers that nobody waits any more."""
        for stream in self._streams:
            stream.cancel(_NOT_WANTED.detail)
            stream.fail(_NOT_WANTED)
        self._streams.clear()

    async def _take(self) -> _Answer | None:
        """Return a whole answer that has come, and forget attempts that have failed."""
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

    async def _wait_any(self, *others: "asyncio.Future[_Answer]") -> None:
        awaited = (*(stream.response for stream in self._streams), *others)
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)


def _may_have_run(result: _Answer) -> bool:
    """Tell whether an attempt that has failed may have run."""
    return get_error_response(result.failure().kind).outcome is Outcome.UNKNOWN
