"""Appends records to the log and resolves appends whose outcome is in doubt.

An append whose response is lost may have taken effect already or may still do so. The
appender searches the stream for the record's id, starting at the lowest offset that the
record can have. If the id is not found, it appends the same record again. This is safe
because the fold ignores a repeated id. After a repeated append succeeds, the appender
continues the search up to the returned offset. The record takes effect at the first
occurrence of its id that the search finds, otherwise at the returned offset.
"""

import asyncio
import dataclasses
import logging
import math
import random

from returns.result import Failure, Result, Success

from papayatack.core.records import ConfigRecord, OwnershipRecord
from papayatack.logservice.backoff import Backoff
from papayatack.logservice.interface import LogFailure, LogFailureKind, LogService
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import decode_record, encode_record

__all__ = ["Appender", "Pacer"]

LOGGER = logging.getLogger(__name__)

APPENDS_PER_S = 5.0
"""Default sustained append rate."""

BURST_APPENDS = 10
"""Default number of appends that may be sent at once after an idle period."""

CALL_TIMEOUT_S = 1.0
"""Timeout of one append or read."""

PAGE_RECORDS = 500
"""Maximum number of records per read."""

MAX_UNRESOLVED = 1000
"""Maximum number of records in doubt whose search offset is saved."""

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class Pacer:
    """Limits the append rate to a node's share of the log's capacity.

    Args:
        rate_per_s: Sustained rate, in appends per second.
        burst: Number of appends that may be sent at once after an idle period.
    """

    def __init__(
        self, *, rate_per_s: float = APPENDS_PER_S, burst: int = BURST_APPENDS
    ) -> None:
        self._interval_s = 1 / rate_per_s
        self._credit_s = (burst - 1) * self._interval_s
        self._next_s = -math.inf

    async def wait(self) -> None:
        """Wait until the next append is allowed."""
        now_s = asyncio.get_running_loop().time()
        due_s = max(self._next_s, now_s - self._credit_s)
        self._next_s = due_s + self._interval_s
        if due_s > now_s:
            await asyncio.sleep(due_s - now_s)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Search:
    """Progress of the search for a record whose append is in doubt.

    Attributes:
        record_id: Id of the record.
        offset: Next offset to read.
    """

    record_id: str
    offset: int


class Appender:
    """Appends records to one stream, one at a time.

    Create one instance per stream and process, and call :meth:`observe` with the
    offsets that the tailer reads, so that a search starts near the end of the stream.
    A successful append only means that the record is in the log. Whether it took
    effect is known from the fold once it has applied the returned offset.

    Args:
        log: The log service.
        stream: The stream's name.
        metrics: Counts ``log_appends`` by outcome.
        random: Source of the backoff's jitter.
        pacer: Limits the append rate.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        metrics: Metrics,
        random: random.Random,
        pacer: Pacer | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._metrics = metrics
        self._random = random
        self._pacer = pacer or Pacer()
        self._lock = asyncio.Lock()
        self._known_end = 0
        self._unresolved: dict[str, int] = {}

    def observe(self, end: int) -> None:
        """Record that the stream extends at least up to ``end`` (exclusive)."""
        self._known_end = max(self._known_end, end)

    async def append(
        self, record: OwnershipRecord | ConfigRecord, *, deadline_s: float
    ) -> Result[int, LogFailure]:
        """Append a record and return the offset at which it takes effect.

        Args:
            record: The record. The same record may be passed again after a failure.
            deadline_s: Event loop time at which to give up.

        Returns:
            The offset, or a failure: ``REFUSED`` if the record was certainly not
            appended, ``UNKNOWN`` if the outcome was still in doubt at the deadline.
        """
        payload = encode_record(record)
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._lock.acquire()
        except TimeoutError:
            return self._give_up(LogFailureKind.REFUSED, record.record_id)
        try:
            return await self._append_locked(record.record_id, payload, deadline_s)
        finally:
            self._lock.release()

    async def _append_locked(
        self, record_id: str, payload: bytes, deadline_s: float
    ) -> Result[int, LogFailure]:
        earlier_offset = self._unresolved.pop(record_id, None)
        state = _AppendState(in_doubt=earlier_offset is not None)
        start = self._known_end if earlier_offset is None else earlier_offset
        search = _Search(record_id=record_id, offset=start)
        try:
            async with asyncio.timeout_at(deadline_s):
                offset = await self._append_until_resolved(payload, search, state)
        except TimeoutError:
            if not state.in_doubt:
                return self._give_up(LogFailureKind.REFUSED, record_id)
            self._remember_unresolved(search)
            return self._give_up(LogFailureKind.UNKNOWN, record_id)
        self.observe(offset + 1)
        return Success(offset)

    async def _append_until_resolved(
        self, payload: bytes, search: _Search, state: "_AppendState"
    ) -> int:
        backoff = Backoff(
            initial_s=INITIAL_BACKOFF_S,
            max_s=MAX_BACKOFF_S,
            random=self._random,
        )
        while True:
            await self._pacer.wait()
            result = await self._call_append(payload, state)
            match result:
                case Success(offset) if not state.in_doubt:
                    return offset
                case Success(offset):
                    found = await self._search_to_end(search, backoff, offset)
                    return offset if found is None else found
                case Failure(failure):
                    self._metrics.count("log_appends", failure.kind.value)
            if state.in_doubt:
                found = await self._search_once(search)
                if found is not None:
                    self._metrics.count("log_appends", "found")
                    return found
            await asyncio.sleep(backoff.advance_delay_s())

    async def _call_append(self, payload: bytes, state: "_AppendState"):
        was_in_doubt = state.in_doubt
        state.in_doubt = True
        result = await self._log.append(self._stream, payload, timeout_s=CALL_TIMEOUT_S)
        match result:
            case Success(_):
                self._metrics.count("log_appends", "appended")
                state.in_doubt = was_in_doubt
            case Failure(failure) if failure.kind is not LogFailureKind.UNKNOWN:
                state.in_doubt = was_in_doubt
        return result

    async def _search_to_end(
        self, search: _Search, backoff: Backoff, end: int
    ) -> int | None:
        """Return the id's first offset before ``end``, retrying failed reads."""
        while search.offset < end:
            found = await self._search_once(search)
            if found is not None:
                return found
            if search.offset < end:
                await asyncio.sleep(backoff.advance_delay_s())
        return None

    async def _search_once(self, search: _Search) -> int | None:
        """Read until the id is found, the stream ends or a read fails."""
        while True:
            result = await self._log.read(
                self._stream,
                search.offset,
                limit=PAGE_RECORDS,
                wait_s=0.0,
                timeout_s=CALL_TIMEOUT_S,
            )
            match result:
                case Failure(failure) if failure.kind is LogFailureKind.EXPIRED:
                    search.offset = max(search.offset, failure.first)
                    continue
                case Failure(_):
                    return None
                case Success(page):
                    pass
            for index, payload in enumerate(page.payloads):
                if _has_id(self._stream, payload, search.record_id):
                    return page.first + index
            search.offset = max(search.offset, page.first + len(page.payloads))
            if not page.payloads:
                return None

    def _remember_unresolved(self, search: _Search) -> None:
        """Save the search offset for a later append of the same record."""
        self._unresolved[search.record_id] = search.offset
        if len(self._unresolved) > MAX_UNRESOLVED:
            del self._unresolved[next(iter(self._unresolved))]

    def _give_up(self, kind: LogFailureKind, record_id: str) -> Result[int, LogFailure]:
        self._metrics.count("log_appends", f"gave-up-{kind.value}")
        if kind is LogFailureKind.UNKNOWN:
            log_event(
                LOGGER,
                Event.LOG_APPEND_UNKNOWN,
                level=logging.WARNING,
                stream=self._stream,
                record_id=record_id,
            )
        return Failure(LogFailure(kind=kind, detail="deadline"))


@dataclasses.dataclass(slots=True, kw_only=True)
class _AppendState:
    """State of the append of one record.

    Attributes:
        in_doubt: Whether a call without a response may have appended the record.
    """

    in_doubt: bool = False


def _has_id(stream: str, payload: bytes, record_id: str) -> bool:
    match decode_record(stream, payload):
        case Success(record):
            return record.record_id == record_id
    return False
