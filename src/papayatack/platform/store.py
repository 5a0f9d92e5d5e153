"""Implements the product's log service on the platform's store.

The ownership stream is a topic that retains the newest record of each key for ever.
Each record has a unique key, so that the whole stream is retained. The config stream is
the operators' topic, of which only the newest manifest and the orders to evacuate data
centres are used (see :mod:`papayatack.platform.evacuations`).

The store may return from an older copy, in a higher era. Offsets of the config stream
contain the era, since a newer manifest replaces all earlier ones. Those of the
ownership stream go on as before (see :mod:`papayatack.platform.history`).
"""

import http
import random
import uuid

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.calls import HttpCall, ResponseError
from papayatack.logservice.interface import (
    LogFailure,
    LogFailureKind,
    LogPage,
    StoredSnapshot,
)
from papayatack.observability.metrics import Metrics
from papayatack.platform.evacuations import ConfigComposer
from papayatack.platform.history import HistoryLostError, HistorySource, Restoration
from papayatack.platform.read_ahead import ReadAhead
from papayatack.platform.restoration import HistoryKeeper
from papayatack.platform.snapshots import PlatformSnapshots
from papayatack.platform.store_calls import CALL_ERRORS, MAX_READ_KB, TOPICS, StoreCalls
from papayatack.platform.topics import AppendedRecords, TopicPage

__all__ = ["PlatformStore"]

ERA_SHIFT = 40
"""Bits of an offset of the config stream below its era."""

MAX_FIRST_READ_KB = 256
"""Size of the first page of the operators' topic, whose history may be long."""

_OFFSET_MASK = (1 << ERA_SHIFT) - 1
_NOT_RESTORED = "the history of the store is not restored yet"


class PlatformStore:
    """Log service on the store.

    Implements :class:`papayatack.logservice.LogService` and
    :class:`papayatack.logservice.interface.SnapshotStore`.

    Args:
        host: IP address of the store.
        port: TCP port of the store.
        metrics: Counts ``store_calls`` by kind and stream.
        rng: Source of jitter.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self._calls = StoreCalls(host=host, port=port, metrics=metrics)
        self._keeper = HistoryKeeper(
            calls=self._calls, metrics=metrics, random=rng or random.Random()
        )
        self._read_ahead = ReadAhead(calls=self._calls)
        self._snapshots = PlatformSnapshots(calls=self._calls, metrics=metrics)
        self._scanned_offset = 0
        self._scanned_era = 0
        self._composer = ConfigComposer(metrics=metrics)

    def serve_history(self, source: HistorySource) -> None:
        """Restore lost records from those that the node has applied."""
        self._keeper.source = source
        self._read_ahead.clear()

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record to the ownership stream and return its offset.

        A failure of kind ``UNKNOWN`` means that the record may have been appended.
        """
        call = HttpCall(method="POST", target="")
        record = (uuid.uuid4().hex.encode(), payload)
        era = self._calls.eras.era
        try:
            if not await self._knows_offsets():
                return _fail(LogFailureKind.REFUSED, _NOT_RESTORED)
            appended = await self._append_record(stream, record, call, timeout_s)
        except HistoryLostError as error:
            return _fail(LogFailureKind.REFUSED, str(error))
        except CALL_ERRORS as error:
            kind = LogFailureKind.UNKNOWN if call.sent else LogFailureKind.REFUSED
            return _fail(kind, _describe(error))
        if appended.offset is None:
            return _fail_status(appended.status)
        if self._calls.eras.era != era:
            return _fail(LogFailureKind.UNKNOWN, "the era of the store has changed")
        return Success(self._keeper.map.find_in_stream(appended.offset))

    async def _append_record(
        self, stream: str, record: tuple[bytes, bytes], call: HttpCall, timeout_s: float
    ) -> AppendedRecords:
        if stream == OWNERSHIP_STREAM and self._keeper.begins_era:
            return await self._keeper.append_beginning(record, call, timeout_s)
        return await self._calls.append(
            TOPICS[stream], (record,), call=call, timeout_s=timeout_s
        )

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        """Read records from ``offset`` on, waiting up to ``wait_s`` for the first."""
        try:
            if stream == CONFIG_STREAM:
                return Success(await self._read_config(offset, wait_s, timeout_s))
            return await self._read_records(offset, limit, wait_s, timeout_s)
        except HistoryLostError:
            return Failure(self._report_lost(offset))
        except CALL_ERRORS as error:
            return _fail(LogFailureKind.REFUSED, _describe(error))

    async def read_snapshot(
        self, *, timeout_s: float
    ) -> Result[StoredSnapshot | None, LogFailure]:
        """Return the snapshot of the ownership state, ``None`` if there is none."""
        result = await self._snapshots.read_snapshot(timeout_s=timeout_s)
        if is_successful(result) and result.unwrap() is not None:
            self._keeper.expect_late_start()
        return result

    async def write_snapshot(
        self, snapshot: StoredSnapshot, *, timeout_s: float
    ) -> Result[None, LogFailure]:
        """Replace the snapshot of the ownership state.

        It is refused while the offsets of the store's present era are not known: this
        node may have applied records that are no part of the stream any more.
        """
        if not self._keeper.is_known:
            return _fail(LogFailureKind.REFUSED, _NOT_RESTORED)
        return await self._snapshots.write_snapshot(snapshot, timeout_s=timeout_s)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._calls.close()

    async def _read_config(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> LogPage:
        """Return a page with the newest config record, without any other records.

        If the topic has more than fits into a page, the newest record of each key is
        read instead, so that no older manifest is taken for the newest.
        """
        topic = TOPICS[CONFIG_STREAM]
        era = self._calls.eras.era or 0
        is_known = self._scanned_era == era
        if offset >> ERA_SHIFT == era:
            start = max(offset & _OFFSET_MASK, self._scanned_offset * is_known)
            found = await self._calls.read(
                topic,
                start,
                wait_s=wait_s,
                timeout_s=timeout_s,
                max_kb=MAX_READ_KB if start else MAX_FIRST_READ_KB,
            )
            is_known = is_known and self._composer.end >= start
            is_changed = any(map(self._composer.is_relevant, found.records))
            has_more = start + len(found.records) < found.end
            needs_newest = has_more or (is_changed and not is_known)
            if needs_newest and found.newest is None:
                found = await self._calls.read_newest(topic, 0, timeout_s=timeout_s)
        else:
            found = await self._calls.read_newest(topic, 0, timeout_s=timeout_s)
        if (self._calls.eras.era or 0) != era:
            raise ResponseError("the era of the store has changed")
        return self._build_config_page(found, era, is_known=is_known)

    def _build_config_page(
        self, found: TopicPage, era: int, *, is_known: bool
    ) -> LogPage:
        """Return the config record that follows from the records of a page.

        Args:
            found: The page.
            era: The present era of the store.
            is_known: Whether all records before the page are taken in.
        """
        if not is_known:
            self._composer.end = -1
        newest = None
        if found.newest is not None:
            newest = self._composer.load(found)
            self._scanned_offset = self._composer.end
        elif is_known:
            newest = self._composer.add(found.records)
        if found.records and found.newest is None:
            self._scanned_offset = found.records[-1].offset + 1
        if found.records or found.newest is not None:
            self._scanned_era = era
        start = era << ERA_SHIFT
        end = start + max(found.end, self._scanned_offset)
        payload = self._composer.compose() if newest is not None else b""
        if not payload:
            return LogPage(first=end, payloads=(), end=end)
        return LogPage(first=start + newest, payloads=(payload,), end=end)

    async def _read_records(
        self, offset: int, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        if not await self._knows_offsets():
            raise ResponseError(_NOT_RESTORED)
        await self._keeper.load_restorations()
        era = self._calls.eras.era
        start = self._keeper.map.find_in_store(offset)
        found = await self._read_topic(start, limit, wait_s, timeout_s)
        is_first_era = era is None and self._keeper.source is None
        if self._calls.eras.era != era and not is_first_era:
            if self._keeper.source is None:
                raise HistoryLostError("the era of the store has changed")
            raise ResponseError("the era of the store has changed")
        return self._build_page(found, offset, start, limit)

    async def _read_topic(
        self, start: int, limit: int, wait_s: float, timeout_s: float
    ) -> TopicPage:
        if self._keeper.source is None:
            return await self._read_ahead.read(
                start, limit=limit, wait_s=wait_s, timeout_s=timeout_s
            )
        return await self._calls.read(
            TOPICS[OWNERSHIP_STREAM], start, wait_s=wait_s, timeout_s=timeout_s
        )

    async def _knows_offsets(self) -> bool:
        """Return whether records can be read and appended in the store's present era.

        A node that still loads the stream reads on, and waits at its end.
        """
        source = self._keeper.source
        if source is None or self._keeper.is_known:
            return True
        return await self._keeper.learn(source)

    def _build_page(
        self, found: TopicPage, offset: int, start: int, limit: int
    ) -> Result[LogPage, LogFailure]:
        """Return the contiguous records of the stream from ``offset`` on.

        Fails with ``EXPIRED`` if the record at ``offset`` is no longer retained.
        """
        records = found.records[:limit]
        if records and records[0].offset != start:
            first = self._keeper.map.find_in_stream(records[0].offset)
            return Failure(LogFailure(kind=LogFailureKind.EXPIRED, first=first))
        payloads: list[bytes] = []
        position = start
        for record in records:
            if record.offset != position:
                break
            position += 1
            if self._keeper.map.is_void(record.offset):
                continue
            restoration = Restoration.decode(record.key, record.value)
            if restoration is None:
                payloads.append(record.value)
            else:
                self._skip_void(payloads, offset, record.offset, restoration)
        if position >= found.end and not self._may_continue(found.end):
            raise ResponseError(_NOT_RESTORED)
        end = offset + len(payloads) + found.end - position
        return Success(LogPage(first=offset, payloads=tuple(payloads), end=end))

    def _skip_void(
        self,
        payloads: list[bytes],
        offset: int,
        position: int,
        restoration: Restoration,
    ) -> None:
        """Drop the records before a restoration that are no part of the stream."""
        kept = restoration.first - offset
        if not 0 <= kept <= len(payloads):
            raise HistoryLostError("records were read that are void")
        del payloads[kept:]
        self._keeper.adopt(position, restoration)

    def _may_continue(self, end: int) -> bool:
        return (
            self._keeper.source is not None
            or self._keeper.is_known
            or self._keeper.allow_start(end)
        )

    def _report_lost(self, offset: int) -> LogFailure:
        """Return the failure after which the node loads the stream again."""
        if self._keeper.source is not None:
            return LogFailure(kind=LogFailureKind.EXPIRED, first=offset + 1)
        self._keeper.restart()
        self._read_ahead.clear()
        return LogFailure(kind=LogFailureKind.EXPIRED, first=0)


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _fail(kind: LogFailureKind, detail: str) -> Failure[LogFailure]:
    return Failure(LogFailure(kind=kind, detail=detail))


def _fail_status(status: int) -> Failure[LogFailure]:
    is_client_error = 400 <= status < 500
    was_rejected = is_client_error or status == http.HTTPStatus.SERVICE_UNAVAILABLE
    kind = LogFailureKind.REFUSED if was_rejected else LogFailureKind.UNKNOWN
    return _fail(kind, f"status {status}")
