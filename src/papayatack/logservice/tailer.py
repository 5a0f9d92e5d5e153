"""Tailing of one stream of the log."""

import asyncio
import contextlib
import dataclasses
import logging
import random

from returns.result import Failure, Success

from papayatack.logservice.backoff import Backoff
from papayatack.logservice.interface import (
    LogFailure,
    LogFailureKind,
    LogPage,
    LogService,
)
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["EndReached", "RecordsExpired", "RecordsRead", "TailMessage", "Tailer"]

LOGGER = logging.getLogger(__name__)

PAGE_RECORDS = 500
"""Maximum number of records per read."""

READ_WAIT_S = 2.0
"""Time that the service waits for new records before it responds to a read."""

READ_TIMEOUT_S = 3.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordsRead:
    """Consecutive payloads of a stream.

    Attributes:
        stream: The stream's name.
        first: Offset of the first payload.
        payloads: The payloads, as stored in the log.
        end: Offset of the next append at the time of the read.
        read_s: Event loop time at which the payloads arrived.
    """

    stream: str
    first: int
    payloads: tuple[bytes, ...]
    end: int
    read_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordsExpired:
    """The next records are no longer retained; the tailer skips to the oldest offset.

    Before the reader applies the records that follow, it must load a checkpoint, or
    write one if it already has a state that covers ``first``.

    Attributes:
        stream: The stream's name.
        wanted: Offset that the tailer requested.
        first: Oldest retained offset.
    """

    stream: str
    wanted: int
    first: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndReached:
    """All records that a stream had at a time have been read.

    Attributes:
        stream: The stream's name.
        time_s: That time, on the event loop's clock.
        response_s: How long the service took to answer, in seconds, without the time
            for which it was to wait for records; ``None`` if that is unknown, as the
            records came while it waited.
    """

    stream: str
    time_s: float
    response_s: float | None


TailMessage = RecordsRead | RecordsExpired | EndReached


class Tailer:
    """Follows a stream and puts the records that it reads into a queue.

    Run it as a task, ``asyncio.create_task(tailer.run())``, and cancel the task to stop
    it. The reader takes :data:`TailMessage` items from ``queue``. A full queue
    (``asyncio.Queue(maxsize=...)``) blocks the tailer. :meth:`skip_to` skips records
    that the node received from another source.

    Args:
        log: The log service.
        stream: The stream's name.
        offset: First offset to read.
        queue: Receives the messages.
        metrics: Counts ``log_reads`` by outcome.
        random: Source of the backoff's jitter.
        last_read_s: Event loop time at which the records before ``offset`` were read,
            if they have just been loaded.
        reports_end: Whether to put an :class:`EndReached` into the queue after each
            read that reached the end of the stream.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        offset: int,
        queue: asyncio.Queue[TailMessage],
        metrics: Metrics,
        random: random.Random,
        last_read_s: float | None = None,
        reports_end: bool = False,
    ) -> None:
        self._reports_end = reports_end
        self._log = log
        self._stream = stream
        self._offset = offset
        self._queue = queue
        self._metrics = metrics
        self._backoff = Backoff(
            initial_s=INITIAL_BACKOFF_S, max_s=MAX_BACKOFF_S, random=random
        )
        self._last_read_s = last_read_s
        self._failed_s = float("inf")
        self._answered = asyncio.Event()
        self.available = True

    @property
    def offset(self) -> int:
        """Offset of the next read."""
        return self._offset

    @property
    def last_read_s(self) -> float | None:
        """Event loop time of the service's last response, or ``None`` if there is none.

        A response that the records have expired counts too.
        """
        return self._last_read_s

    def skip_to(self, offset: int) -> None:
        """Skip the records before ``offset``, which came from another source."""
        self._offset = max(self._offset, offset)

    def note_answer(self, time_s: float) -> None:
        """End a pause after a failure: the service answered someone else's later call.

        Args:
            time_s: Event loop time at which that call cannot have been answered yet.
        """
        if time_s > self._failed_s:
            self._answered.set()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            await self.read_once()

    async def read_once(self, *, wait_s: float = READ_WAIT_S) -> None:
        """Read one page, or back off after a failure.

        The first read does not wait for records, so that a new node learns quickly
        whether it has caught up.

        Args:
            wait_s: Time for which the service waits for new records.
        """
        offset = self._offset
        if self._last_read_s is None:
            wait_s = 0.0
        started_s = asyncio.get_running_loop().time()
        result = await self._log.read(
            self._stream,
            offset,
            limit=PAGE_RECORDS,
            wait_s=wait_s,
            timeout_s=READ_TIMEOUT_S,
        )
        spent_s = asyncio.get_running_loop().time() - started_s
        match result:
            case Success(page):
                self._set_available()
                await self._deliver_page(page)
                if self._reports_end:
                    await self._deliver_end(page, started_s, spent_s, wait_s)
            case Failure(failure) if failure.kind is LogFailureKind.EXPIRED:
                self._set_available()
                await self._deliver_expiry(offset, failure)
            case Failure(failure):
                self._set_unavailable(failure)
                await self._pause(started_s)

    async def _pause(self, started_s: float) -> None:
        """Wait before the next read, or until there is news that the service answers.

        Args:
            started_s: Time at which the read that failed began.
        """
        self._answered.clear()
        self._failed_s = started_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._backoff.advance_delay_s()):
                await self._answered.wait()
        self._failed_s = float("inf")

    async def _deliver_page(self, page: LogPage) -> None:
        if page.end < page.first:
            self._metrics.count("log_reads", "regressed")
            await asyncio.sleep(self._backoff.advance_delay_s())
            return
        self._metrics.count("log_reads", "records" if page.payloads else "empty")
        self._backoff.reset()
        skipped = min(max(self._offset - page.first, 0), len(page.payloads))
        payloads = page.payloads[skipped:]
        if not payloads:
            return
        message = RecordsRead(
            stream=self._stream,
            first=page.first + skipped,
            payloads=payloads,
            end=page.end,
            read_s=asyncio.get_running_loop().time(),
        )
        self._offset = message.first + len(payloads)
        await self._queue.put(message)

    async def _deliver_end(
        self, page: LogPage, started_s: float, spent_s: float, wait_s: float
    ) -> None:
        """Deliver when the stream had no further record, if the read shows that.

        A read that returns nothing after ``wait_s`` shows that nothing came meanwhile.

        Args:
            page: What the read returned.
            started_s: Time at which it began.
            spent_s: How long it took.
            wait_s: Time for which it was to wait for records.
        """
        if page.first + len(page.payloads) < page.end:
            return
        has_waited = not page.payloads and spent_s >= wait_s
        message = EndReached(
            stream=self._stream,
            time_s=started_s + wait_s if has_waited else started_s,
            response_s=spent_s - wait_s if has_waited or not wait_s else None,
        )
        await self._queue.put(message)

    async def _deliver_expiry(self, wanted: int, failure: LogFailure) -> None:
        self._metrics.count("log_reads", "expired")
        log_event(
            LOGGER,
            Event.LOG_RECORDS_EXPIRED,
            level=logging.WARNING,
            stream=self._stream,
            wanted=wanted,
            first=failure.first,
        )
        self.skip_to(failure.first)
        message = RecordsExpired(
            stream=self._stream, wanted=wanted, first=failure.first
        )
        await self._queue.put(message)

    def _set_available(self) -> None:
        self._last_read_s = asyncio.get_running_loop().time()
        if not self.available:
            self.available = True
            log_event(LOGGER, Event.LOG_AVAILABLE, stream=self._stream)

    def _set_unavailable(self, failure: LogFailure) -> None:
        self._metrics.count("log_reads", failure.kind.value)
        if self.available:
            self.available = False
            log_event(
                LOGGER,
                Event.LOG_UNAVAILABLE,
                level=logging.WARNING,
                stream=self._stream,
                detail=failure.detail,
            )
