"""The state and the faults of the log service's stand-in, without sockets.

:class:`LogStore` keeps the streams; :class:`InProcessLog` is a client of a store
in the same process, with the faults that an operator of the stand-in asked for.
"""

import asyncio
import dataclasses
import enum
from collections import deque

from returns.result import Failure, Result, Success

from papayatack.logservice.interface import LogFailure, LogFailureKind, LogPage

__all__ = ["Faults", "InProcessLog", "LogStore", "Outage", "Stream"]


class Outage(enum.StrEnum):
    """How an outage of the service shows."""

    NONE = "none"
    REFUSE = "refuse"
    """Calls are answered at once that the service is not available."""

    HANG = "hang"
    """Calls are never answered and have no effect."""

    CLOSE = "close"
    """Connections are closed without an answer; calls have no effect."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that are in force.

    Attributes:
        outage: How calls fail, if they do.
        delay_s: Time by which every call is slowed down.
        lose_answers: Number of the next appends that take effect without an answer.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    lose_answers: int = 0

    def take_lost_answer(self) -> bool:
        """Return whether the answer of the current append is lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


@dataclasses.dataclass(slots=True, kw_only=True)
class Stream:
    """The kept records of one stream.

    Attributes:
        first: Offset of the oldest kept record.
        records: Pairs of append time and payload.
        changed: Set and replaced at each append, to wake readers.
    """

    first: int = 0
    records: deque[tuple[float, bytes]] = dataclasses.field(default_factory=deque)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset that the next append gets."""
        return self.first + len(self.records)


class LogStore:
    """All streams of a log service, in memory."""

    def __init__(
        self, *, retention_s: float | None = None, max_records: int | None = None
    ) -> None:
        self.retention_s = retention_s
        self.max_records = max_records
        self.faults = Faults()
        self.streams: dict[str, Stream] = {}
        self.append_count = 0
        self.read_count = 0

    def get_stream(self, name: str) -> Stream:
        """Return a stream without the records that have expired."""
        stream = self.streams.setdefault(name, Stream())
        self._expire_old(stream)
        return stream

    def append(self, name: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        stream = self.get_stream(name)
        offset = stream.end
        stream.records.append((asyncio.get_running_loop().time(), payload))
        self.append_count += 1
        self._expire_old(stream)
        stream.changed.set()
        stream.changed = asyncio.Event()
        return offset

    def read(self, name: str, offset: int, *, limit: int) -> Result[LogPage, int]:
        """Return a page, or the oldest kept offset if ``offset`` has expired."""
        self.read_count += 1
        stream = self.get_stream(name)
        if offset < stream.first:
            return Failure(stream.first)
        start = offset - stream.first
        stop = min(start + limit, len(stream.records))
        payloads = tuple(stream.records[index][1] for index in range(start, stop))
        return Success(LogPage(first=offset, payloads=payloads, end=stream.end))

    async def wait_for(self, name: str, offset: int, *, wait_s: float) -> None:
        """Return once a record at ``offset`` exists, or after ``wait_s``."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + wait_s
        while self.get_stream(name).end <= offset:
            remaining_s = give_up_at - loop.time()
            if remaining_s <= 0:
                return
            changed = self.get_stream(name).changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                return

    def expire(self, name: str, before: int) -> None:
        """Drop the records before an offset."""
        stream = self.get_stream(name)
        while stream.records and stream.first < before:
            stream.records.popleft()
            stream.first += 1

    def _expire_old(self, stream: Stream) -> None:
        if self.retention_s is not None:
            oldest_kept = asyncio.get_running_loop().time() - self.retention_s
            while stream.records and stream.records[0][0] < oldest_kept:
                stream.records.popleft()
                stream.first += 1
        if self.max_records is not None:
            while len(stream.records) > self.max_records:
                stream.records.popleft()
                stream.first += 1


class InProcessLog:
    """A :class:`papayatack.logservice.LogService` on a store in the same process."""

    def __init__(self, *, store: LogStore) -> None:
        self._store = store

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        failure = await self._fail_by_fault(timeout_s, hung=LogFailureKind.UNKNOWN)
        if failure is not None:
            return Failure(failure)
        offset = self._store.append(stream, payload)
        if self._store.faults.take_lost_answer():
            return Failure(
                LogFailure(kind=LogFailureKind.UNKNOWN, detail="answer lost")
            )
        return Success(offset)

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        """Return records from ``offset`` on, waiting up to ``wait_s`` for the first."""
        failure = await self._fail_by_fault(timeout_s, hung=LogFailureKind.REFUSED)
        if failure is not None:
            return Failure(failure)
        await self._store.wait_for(stream, offset, wait_s=wait_s)
        return self._store.read(stream, offset, limit=limit).alt(
            lambda first: LogFailure(kind=LogFailureKind.EXPIRED, first=first)
        )

    async def _fail_by_fault(
        self, timeout_s: float, *, hung: LogFailureKind
    ) -> LogFailure | None:
        faults = self._store.faults
        if faults.outage is Outage.REFUSE:
            return LogFailure(kind=LogFailureKind.REFUSED, detail="outage")
        if faults.outage is Outage.CLOSE:
            return LogFailure(kind=hung, detail="connection closed")
        if faults.outage is Outage.HANG or faults.delay_s >= timeout_s:
            await asyncio.sleep(timeout_s)
            return LogFailure(kind=hung, detail="timeout")
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        return None
