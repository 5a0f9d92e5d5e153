"""Restores the records that the store lost when it returned from an older copy."""

import asyncio
import http
import logging
import random

from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.calls import HttpCall, ResponseError
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.platform.history import (
    KEY_PREFIX,
    HistoryLostError,
    HistoryMap,
    HistorySource,
    Restoration,
)
from papayatack.platform.store_calls import TOPICS, StoreCalls
from papayatack.platform.topics import AppendedRecords, StoreRecord

__all__ = ["HistoryKeeper"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
TOPIC = TOPICS[OWNERSHIP_STREAM]
CALL_TIMEOUT_S = 1.0
FOLLOWER_DELAY_S = 1.5
"""Time after which a node restores that does not read the log for the whole fleet."""

PEER_RECORDS_WAIT_S = 1.0
"""Longest wait for records that other nodes have applied and this one has not."""

UNRESTORED_START_S = 3.0
"""Time after which a starting node goes on with the copy, if no node restores."""

COMPARED_RECORDS = 64
WIDENING_FACTOR = 8
"""Records before the end that are compared first, and by how much more next."""

MAX_RESTORED_BYTES = 1_900_000
"""Largest size of a restoration, below the store's limit on one append."""


class HistoryKeeper:
    """Keeps the offsets of the stream while those of the store go back.

    Args:
        calls: Calls to the store.
        metrics: Counts ``history_restorations`` by result.
        random: Source of the jitter of the delay.

    Attributes:
        map: Offsets in the store and in the stream.
        source: The newest records that this node has applied; ``None`` while it loads.
    """

    def __init__(
        self, *, calls: StoreCalls, metrics: Metrics, random: random.Random
    ) -> None:
        self.map = HistoryMap()
        self.source: HistorySource | None = None
        self._calls = calls
        self._metrics = metrics
        self._random = random
        self._known_era: int | None = None
        self._noticed_s = 0.0
        self._delay_s = 0.0
        self._noticed_era: int | None = None
        self._begin_base: int | None = None
        self._must_load = False
        self._lock = asyncio.Lock()

    @property
    def is_known(self) -> bool:
        """Whether the offsets of the store's present era are known."""
        return self._calls.eras.era == self._known_era

    @property
    def begins_era(self) -> bool:
        """Whether the next append of this node begins the history of the era."""
        return self._begin_base is not None and self.is_known

    def adopt(self, position: int, restoration: Restoration) -> None:
        """Use the offsets after a restoration at a store offset."""
        self.map.add(position, restoration)
        if restoration.era == self._calls.eras.era:
            self._known_era = restoration.era
            self._begin_base = None

    def restart(self) -> None:
        """Forget all offsets, to load the stream from its beginning."""
        self._known_era = None
        self._begin_base = None
        self._must_load = True

    def expect_late_start(self) -> None:
        """Have a node that does not read the first records read all restorations."""
        self._must_load = True

    async def load_restorations(self) -> None:
        """Read all restorations of the topic unless the node meets them as it reads."""
        if not self._must_load:
            return
        found = await self._calls.read_keys(
            TOPIC, after=KEY_PREFIX.decode(), timeout_s=CALL_TIMEOUT_S
        )
        self.map = HistoryMap()
        self._must_load = False
        for record in found.records:
            restoration = Restoration.decode(record.key, record.value)
            if restoration is not None:
                self.adopt(record.offset, restoration)

    def allow_start(self, end: int) -> bool:
        """Return whether a starting node that has read up to ``end`` may go on.

        It waits until another node has restored the history of the present era, but not
        for ever: there may be none. In that case its first append begins the history.
        """
        era = self._note_era()
        if not self.is_known and self._measure_wait() > UNRESTORED_START_S:
            self._known_era = era
            self._begin_base = end
        return self.is_known

    async def learn(self, source: HistorySource) -> bool:
        """Learn the offsets of the present era; return whether they are known.

        Args:
            source: The newest records that this node has applied.

        Raises:
            HistoryLostError: The node has applied records that are gone for good.
        """
        async with self._lock:
            if self.is_known:
                return True
            era = self._note_era()
            end, found = await self._find_restoration(era)
            if found is not None:
                await self._follow(*found, end, source)
            elif self._may_restore(source):
                await self._restore(era, source, end)
            return self.is_known

    async def append_beginning(
        self, record: tuple[bytes, bytes], call: HttpCall, timeout_s: float
    ) -> AppendedRecords:
        """Append a record with which the history of the era begins.

        The append is refused if another node has begun the history, until this node has
        read that. The returned offset is that of the record.
        """
        base = self._begin_base
        era = self._calls.eras.era
        end, found = await self._find_restoration(era)
        if found is not None:
            return AppendedRecords(status=http.HTTPStatus.PRECONDITION_FAILED)
        beginning = Restoration(
            era=era, base=base, first=self.map.find_in_stream(base), count=0
        )
        appended = await self._calls.append(
            TOPIC, (beginning.encode(), record), call=call, at=end, timeout_s=timeout_s
        )
        if appended.offset is None or self._calls.eras.era != era:
            return appended
        self.adopt(appended.offset, beginning)
        return AppendedRecords(status=appended.status, offset=appended.offset + 1)

    def _note_era(self) -> int:
        """Return the present era; note when it was first seen."""
        era = self._calls.eras.era
        if era != self._noticed_era:
            self._noticed_era = era
            self._noticed_s = asyncio.get_running_loop().time()
            jitter_s = self._random.random() * FOLLOWER_DELAY_S
            self._delay_s = FOLLOWER_DELAY_S + jitter_s
        return era

    def _measure_wait(self) -> float:
        return asyncio.get_running_loop().time() - self._noticed_s

    async def _follow(
        self,
        position: int,
        restoration: Restoration,
        end: int,
        source: HistorySource,
    ) -> None:
        """Use the offsets of another node's restoration.

        What this node has applied beyond the copy must be what was restored.
        """
        stream_end = restoration.first + end - (position + 1)
        if not restoration.first <= source.end <= stream_end:
            self._fail_lost("records applied that were not restored")
        start = max(restoration.first, source.first)
        begin = position + 1 + start - restoration.first
        records = await self._read_range(begin, begin + source.end - start)
        for offset, record in enumerate(records, start):
            if offset < source.end and record.value != source.read(offset):
                self._fail_lost("other records were restored than this node applied")
        self.adopt(position, restoration)

    def _may_restore(self, source: HistorySource) -> bool:
        waited_s = self._measure_wait()
        if source.end < source.peer_end and waited_s < PEER_RECORDS_WAIT_S:
            return False
        return source.is_lead or waited_s >= self._delay_s

    async def _find_restoration(
        self, era: int
    ) -> tuple[int, tuple[int, Restoration] | None]:
        """Return the end of the topic, and the restoration of an era with its offset.

        The keys of restorations follow those of all other records.
        """
        found = await self._calls.read_keys(
            TOPIC, after=KEY_PREFIX.decode(), timeout_s=CALL_TIMEOUT_S
        )
        if self._calls.eras.era != era:
            raise ResponseError("the era of the store has changed")
        for record in found.records:
            restoration = Restoration.decode(record.key, record.value)
            if restoration is not None and restoration.era == era:
                return found.end, (record.offset, restoration)
        return found.end, None

    async def _restore(self, era: int, source: HistorySource, end: int) -> None:
        """Append the restoration with the lost records, unless another node did."""
        base, first = await self._find_copy_end(source, end)
        payloads = [source.read(offset) for offset in range(first, source.end)]
        if sum(map(len, payloads)) > MAX_RESTORED_BYTES:
            self._fail_lost("too many records were lost")
        restoration = Restoration(era=era, base=base, first=first, count=len(payloads))
        key, value = restoration.encode()
        lost = ((b"lost-%d-%d" % (era, n), item) for n, item in enumerate(payloads))
        appended = await self._calls.append(
            TOPIC,
            ((key, value), *lost),
            call=HttpCall(method="POST", target=""),
            at=end,
            timeout_s=CALL_TIMEOUT_S,
        )
        if appended.offset is None:
            self._metrics.count("history_restorations", f"status-{appended.status}")
            return
        self.adopt(appended.offset, restoration)
        self._metrics.count("history_restorations", "restored")
        log_event(
            LOGGER,
            Event.HISTORY_RESTORED,
            level=logging.WARNING,
            era=era,
            base=base,
            records=len(payloads),
            void=end - base,
            waited_ms=int(self._measure_wait() * MS_PER_S),
        )

    async def _find_copy_end(self, source: HistorySource, end: int) -> tuple[int, int]:
        """Return where the records of the copy end that this node has applied.

        Returns:
            The offset of the next record, in the store and in the stream.
        """
        lowest = self.map.find_in_store(source.first)
        highest = min(end, self.map.find_in_store(source.end))
        size = COMPARED_RECORDS
        while True:
            begin = max(lowest, highest - size)
            if begin == highest:
                return highest, source.first
            if begin > highest:
                break
            found = self._find_last_equal(
                await self._read_range(begin, highest), source
            )
            if found is not None:
                return found[0] + 1, found[1] + 1
            if begin == lowest:
                break
            size *= WIDENING_FACTOR
        if source.first:
            self._fail_lost("the copy has no record that is known")
        return 0, 0

    def _find_last_equal(
        self, records: list[StoreRecord], source: HistorySource
    ) -> tuple[int, int] | None:
        """Return the last record before the first that this node has not applied.

        Returns:
            Its offset in the store and in the stream; ``None`` if there is none.
        """
        found = None
        for record in records:
            if self.map.is_void(record.offset):
                continue
            offset = self.map.find_in_stream(record.offset)
            if record.value != source.read(offset):
                break
            found = record.offset, offset
        return found

    async def _read_range(self, begin: int, end: int) -> list[StoreRecord]:
        """Read the records of a range of store offsets."""
        era = self._calls.eras.era
        records: list[StoreRecord] = []
        while begin + len(records) < end:
            start = begin + len(records)
            page = await self._calls.read(
                TOPIC, start, wait_s=0.0, timeout_s=CALL_TIMEOUT_S
            )
            if self._calls.eras.era != era:
                raise ResponseError("the era of the store has changed")
            if not page.records or page.records[0].offset != start:
                raise ResponseError("records are missing")
            records.extend(page.records)
        return records[: end - begin]

    def _fail_lost(self, detail: str) -> None:
        self._metrics.count("history_restorations", "lost")
        log_event(LOGGER, Event.HISTORY_LOST, level=logging.WARNING, detail=detail)
        if self.source is not None:
            self.source.abandon()
        raise HistoryLostError(detail)
